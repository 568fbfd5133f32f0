package coordinator

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// Machine makes a book the state of a replicated store.
type Machine struct {
	Book *recorder.State
}

var _ storer.StateMachine = Machine{}

// Apply applies a committed entry.
func (m Machine) Apply(entry []byte) (manager.Result, error) {
	if err := m.Book.ApplyEntry(entry); err != nil {
		return manager.Result{}, fmt.Errorf("apply changes: %w", err)
	}
	return manager.Result{}, nil
}

// Snapshot encodes the book.
func (m Machine) Snapshot() ([]byte, error) {
	data, err := m.Book.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the book.
func (m Machine) Restore(data []byte) error {
	if err := m.Book.Restore(data); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return nil
}
