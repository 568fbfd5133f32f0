package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// Single is the baseline Store: one replica that writes and syncs each command separately.
type Single struct {
	Address manager.Address
	Journal *journaler.Journal

	mu      sync.Mutex
	state   *applier.State
	changed chan struct{}
}

var _ Store = (*Single)(nil)

// Open replays the journal.
func (s *Single) Open() error {
	s.state = applier.New()
	s.changed = make(chan struct{})
	err := s.Journal.Open(func(record []byte) error {
		var c manager.Command
		if err := json.Unmarshal(record, &c); err != nil {
			return fmt.Errorf("decode command: %w", err)
		}
		s.state.Apply(c)
		return nil
	})
	if err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	return nil
}

// Propose returns the result of a command once it is committed.
func (s *Single) Propose(_ context.Context, c manager.Command) (manager.Result, error) {
	record, err := json.Marshal(c)
	if err != nil {
		return manager.Result{}, fmt.Errorf("encode command: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Journal.Append(record); err != nil {
		return manager.Result{}, fmt.Errorf("append command: %w", err)
	}
	result := s.state.Apply(c)
	close(s.changed)
	s.changed = make(chan struct{})
	return result, nil
}

// Read calls f with the state while no command is applied.
func (s *Single) Read(_ context.Context, f func(manager.Applier)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
	return nil
}

// Wait returns once the configuration's revision is greater than after, or ctx ends.
func (s *Single) Wait(ctx context.Context, after manager.Revision) {
	waitFor(ctx, after, func() (manager.Revision, <-chan struct{}) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.state.ConfigurationRevision(), s.changed
	})
}

// Leader returns this replica.
func (s *Single) Leader() (manager.Address, bool) { return s.Address, true }

// Close closes the journal.
func (s *Single) Close() error { return s.Journal.Close() }
