package replicator_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// TestEntryOfEarlierTermIsNotCommittedByCounting checks that an entry of an earlier term which a quorum
// holds is not committed before an entry of the leader's own term follows.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	members := manager.Members{LastReplica: 3}
	for id := manager.ReplicaID(1); id <= 3; id++ {
		members.List = append(members.List, manager.ReplicaMember{Replica: id, Disk: "d", Address: "a"})
	}
	stored := replicator.BootstrapState(members)
	stored.HardState.Term = 3
	stored.Entries = append(stored.Entries, manager.Entry{Index: 2, Term: 2, Kind: manager.EntryCommand, Data: []byte(`1`)})
	r := &replicator.Replica{Group: "g", ID: 1, Disk: "d", Rand: rand.New(rand.NewPCG(1, 1))}
	r.Start(0, stored)
	now := manager.Time(10_000)
	step := func(m manager.ReplicaMessage) replicator.Ready {
		m.Group, m.From, m.To, m.Disk, m.FromDisk, m.Term = "g", 2, 1, "d", "d", 4
		r.Step(now, m)
		ready := r.Ready(now)
		r.Persisted(now, ready)
		return ready
	}
	r.Tick(now)
	step(manager.ReplicaMessage{Kind: manager.MessagePreVoteAnswer})
	step(manager.ReplicaMessage{Kind: manager.MessageVoteAnswer})
	require.Equal(t, replicator.RoleLeader, r.Status().Role)
	step(manager.ReplicaMessage{Kind: manager.MessageAppendAnswer, Index: 2})
	require.Zero(t, r.Status().Commit)
	step(manager.ReplicaMessage{Kind: manager.MessageAppendAnswer, Index: 3})
	require.Equal(t, manager.Index(3), r.Status().Commit)
}
