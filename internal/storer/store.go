package storer

import (
	"context"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Store commits commands and reads the committed state.
type Store interface {
	// Propose returns the result of a command once it is committed.
	Propose(ctx context.Context, c manager.Command) (manager.Result, error)
	// Read calls f with the state while no command is applied, once this replica is confirmed as the leader.
	Read(ctx context.Context, f func(manager.Applier)) error
	// Wait returns once the configuration's revision is greater than after, or ctx ends.
	Wait(ctx context.Context, after manager.Revision)
	// Leader returns the leader's address and whether it is this replica.
	Leader() (manager.Address, bool)
	// Close closes the store.
	Close() error
}

// Peer is a Store that is one replica of a group.
type Peer interface {
	// Exchange handles another replica's messages and returns the answers.
	Exchange(ctx context.Context, e Exchange) (Exchange, error)
	// Probe returns which disk this replica has and whether it belongs to a group.
	Probe() manager.BootstrapAnswer
	// Ready returns the reason why this replica can't take part in its group, or nil.
	Ready() error
	// Status returns this replica's role, term, log position and members of the group.
	Status() replicator.Status
	// StepDown transfers leadership before a planned stop; it returns early when ctx ends.
	StepDown(ctx context.Context)
	// AddReplica adds a running replica with an empty disk.
	AddReplica(ctx context.Context, m manager.ReplicaMember) error
	// RemoveReplica removes a replica permanently.
	RemoveReplica(ctx context.Context, id manager.ReplicaID) error
}

// relaxedReader is a Store that can read without sending messages for each read.
type relaxedReader interface {
	ReadRecent(ctx context.Context, f func(manager.Applier)) error
	ReadAtHeartbeat(ctx context.Context, f func(manager.Applier)) error
}

// ReadRecent reads a state that was the latest within the last election timeout. It suits control loops,
// whose commands are checked again when they are applied.
func ReadRecent(ctx context.Context, s Store, f func(manager.Applier)) error {
	if r, ok := s.(relaxedReader); ok {
		return r.ReadRecent(ctx, f)
	}
	return s.Read(ctx, f)
}

// ReadAtHeartbeat reads the latest state; it may wait for the next heartbeat to confirm leadership.
func ReadAtHeartbeat(ctx context.Context, s Store, f func(manager.Applier)) error {
	if r, ok := s.(relaxedReader); ok {
		return r.ReadAtHeartbeat(ctx, f)
	}
	return s.Read(ctx, f)
}
