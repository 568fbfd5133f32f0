package storer

import (
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// Machine is a deterministic state that the entries of the log change.
type Machine interface {
	// Apply applies a committed entry.
	Apply(entry []byte) (manager.Result, error)
	// Snapshot encodes the state and Restore replaces it by such an encoding.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// commandMachine is the applier's state behind typed commands.
type commandMachine struct {
	state *applier.State
}

func (m commandMachine) Apply(entry []byte) (manager.Result, error) {
	var c manager.Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return manager.Result{}, fmt.Errorf("decode command: %w", err)
	}
	return m.state.Apply(c), nil
}

func (m commandMachine) Snapshot() ([]byte, error) {
	data, err := m.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return data, nil
}

func (m commandMachine) Restore(data []byte) error {
	if err := m.state.Restore(data); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return nil
}
