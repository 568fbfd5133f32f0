package storer

import (
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// StateMachine is a deterministic state machine to which the committed entries of the log are applied.
type StateMachine interface {
	// Apply applies a committed entry.
	Apply(entry []byte) (manager.Result, error)
	// Snapshot encodes the state; Restore replaces the state by a decoded snapshot.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// commandStateMachine decodes entries as commands and applies them to the applier's state.
type commandStateMachine struct {
	state *applier.State
}

func (m commandStateMachine) Apply(entry []byte) (manager.Result, error) {
	var c manager.Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return manager.Result{}, fmt.Errorf("decode command: %w", err)
	}
	return m.state.Apply(c), nil
}

func (m commandStateMachine) Snapshot() ([]byte, error) {
	data, err := m.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return data, nil
}

func (m commandStateMachine) Restore(data []byte) error {
	if err := m.state.Restore(data); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return nil
}
