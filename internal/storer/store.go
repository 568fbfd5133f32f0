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
	// Read calls f with the state while nothing is applied, once this replica is known to lead.
	Read(ctx context.Context, f func(manager.Applier)) error
	// Wait returns once the revision of the configuration is above after, or ctx ends.
	Wait(ctx context.Context, after manager.Revision)
	// Leader returns the leader's address and whether it is this replica.
	Leader() (manager.Address, bool)
	// Close ends the store.
	Close() error
}

// Peer is a Store that is one replica of a group.
type Peer interface {
	// Exchange takes another replica's messages and returns the answers.
	Exchange(ctx context.Context, e Exchange) (Exchange, error)
	// Probe says which disk this replica has and whether it belongs to a group.
	Probe() manager.BootstrapAnswer
	// Ready returns why this replica can't take part, or nil.
	Ready() error
	// Status returns what this replica knows of the group.
	Status() replicator.Status
	// StepDown hands leadership over before a planned stop, or returns when ctx ends.
	StepDown(ctx context.Context)
	// AddReplica adds a replica that runs with a fresh disk.
	AddReplica(ctx context.Context, m manager.ReplicaMember) error
	// RemoveReplica removes a replica for good.
	RemoveReplica(ctx context.Context, id manager.ReplicaID) error
}

// relaxedReader is a Store that can read without a message for each read.
type relaxedReader interface {
	ReadRecent(ctx context.Context, f func(manager.Applier)) error
	ReadAtHeartbeat(ctx context.Context, f func(manager.Applier)) error
}

// ReadRecent reads a state that was the latest within an election time-out; it suits loops, whose
// commands are checked again when they are applied.
func ReadRecent(ctx context.Context, s Store, f func(manager.Applier)) error {
	if r, ok := s.(relaxedReader); ok {
		return r.ReadRecent(ctx, f)
	}
	return s.Read(ctx, f)
}

// ReadAtHeartbeat reads the latest state, but may wait for the next heartbeat to confirm it.
func ReadAtHeartbeat(ctx context.Context, s Store, f func(manager.Applier)) error {
	if r, ok := s.(relaxedReader); ok {
		return r.ReadAtHeartbeat(ctx, f)
	}
	return s.Read(ctx, f)
}
