package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// The evidence of one lost disk must not let two replicas lead: half of four voters can commit only if it knows that a voter
// of the other half has ended.
func TestHalfOfFourVotersCommitsOnlyBesideALostDisk(t *testing.T) {
	for seed := range uint64(20) {
		s := newFoundedSim(t, seed)
		s.run(manager.Second)
		nodes := s.members(t)
		first, second := nodes[:2], nodes[2:]
		for _, a := range first {
			for _, b := range second {
				s.block(a.id, b.id)
			}
		}
		s.run(4 * manager.Second)
		before := s.highestCommitted
		for _, n := range nodes {
			s.propose(n, n.register.Value)
		}
		s.run(2 * manager.Second)
		require.Equal(t, before, s.highestCommitted, "seed %d", seed)
		lost := s.wipe(first[seed%2])
		s.start(lost)
		s.awaitLeader(t)
		require.Contains(t, second, s.leader())
		require.NoError(t, s.failure)
	}
}

// Guards against an election that leaves a voter out although the members that allow it were never committed: the others may have
// committed entries without them.
func TestUncommittedMembersAllowNoExclusion(t *testing.T) {
	for seed := range uint64(20) {
		s := buildSim(seed, 3, fleetOptions, true)
		s.run(3 * manager.Second)
		successor := s.addNode(4)
		s.start(successor)
		leader := s.leader()
		for len(s.votersOf(leader)) < 4 && s.now < 10*manager.Time(manager.Second) {
			s.requestJoin(successor)
			s.run(simStep)
		}
		// The leader and the successor hold the change, the others don't.
		var others []*simNode
		for _, id := range s.order {
			if n := s.nodes[id]; n != leader && n != successor {
				others = append(others, n)
				s.cut(n.id, leader.id, successor.id)
			}
		}
		require.Len(t, others, 2)
		s.run(3 * manager.Second)
		next := s.awaitLeader(t)
		require.Contains(t, others, next)
		s.cut(others[0].id, others[1].id)
		s.blocked[[2]manager.ReplicaID{leader.id, others[1].id}] = false
		s.blocked[[2]manager.ReplicaID{others[1].id, leader.id}] = false
		lost := s.wipe(others[1])
		s.start(lost)
		s.run(5 * manager.Second)
		require.NoError(t, s.failure, "seed %d", seed)
		s.blocked = map[[2]manager.ReplicaID]bool{}
		s.awaitLeader(t)
		require.NoError(t, s.failure, "seed %d", seed)
	}
}

// cut blocks the ways between a node and others.
func (s *sim) cut(a manager.ReplicaID, others ...manager.ReplicaID) {
	for _, b := range others {
		s.block(a, b)
	}
}
