package storer

import (
	"context"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Store commits commands and reads the committed state.
type Store interface {
	// Propose returns the result of a command once it is committed.
	Propose(ctx context.Context, c manager.Command) (manager.Result, error)
	// Read calls f with the state while nothing is applied, once this replica is known to lead.
	Read(ctx context.Context, f func(manager.Applier)) error
	// Wait returns once the state's revision is above after, or ctx ends.
	Wait(ctx context.Context, after manager.Revision)
	// Leader returns the leader's address and whether it is this replica.
	Leader() (manager.Address, bool)
	// Close ends the store.
	Close() error
}
