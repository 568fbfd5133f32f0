package coordinator

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// Machine makes the recorded state the state machine of a replicated store.
type Machine struct {
	State *recorder.State
}

var _ storer.StateMachine = Machine{}

// Apply applies a committed entry.
func (m Machine) Apply(entry []byte) (manager.Result, error) {
	if err := m.State.ApplyEntry(entry); err != nil {
		return manager.Result{}, fmt.Errorf("apply changes: %w", err)
	}
	return manager.Result{}, nil
}

// Snapshot encodes the state.
func (m Machine) Snapshot() ([]byte, error) {
	data, err := m.State.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state.
func (m Machine) Restore(data []byte) error {
	if err := m.State.Restore(data); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return nil
}
