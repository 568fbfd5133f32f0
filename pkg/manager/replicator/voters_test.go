package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// join adds a replica with an empty disk and returns it.
func (s *sim) join(t *testing.T) *simNode {
	t.Helper()
	n := s.addNode(manager.ReplicaID(len(s.order) + 1))
	s.start(n)
	require.NoError(t, s.leader().replica.AddMember(s.now, manager.ReplicaMember{Replica: n.id, Address: "a", Disk: n.disk.id}))
	s.run(3 * manager.Second)
	return n
}

func (s *sim) voters() []manager.ReplicaID {
	var list []manager.ReplicaID
	for _, m := range s.leader().replica.Status().Members.List {
		if !m.Learner {
			list = append(list, m.Replica)
		}
	}
	return list
}

func newOddSim(seed uint64) *sim {
	s := newSim(seed, 3)
	for _, n := range s.nodes {
		n.replica.Options.OddVoters = true
	}
	s.run(4 * manager.Second)
	return s
}

// A fourth replica would add no loss that can be borne, and a cut in halves would stop the group.
func TestSingleLearnerBesideOddVotersWaits(t *testing.T) {
	s := newOddSim(1)
	s.join(t)
	require.Equal(t, []manager.ReplicaID{1, 2, 3}, s.voters())
	s.join(t)
	require.Equal(t, []manager.ReplicaID{1, 2, 3, 4, 5}, s.voters())
	require.NoError(t, s.failure)
}

func TestLearnerStandsInForASilentVoter(t *testing.T) {
	s := newOddSim(2)
	learner := s.join(t)
	leader := s.leader()
	for _, id := range s.order {
		if n := s.nodes[id]; n != leader && n != learner {
			s.crash(n, true)
			break
		}
	}
	s.run(8 * manager.Second)
	require.Contains(t, s.voters(), learner.id)
	require.NoError(t, s.failure)
}

// With four replicas cut in halves, the half with two voters of three goes on.
func TestHalfOfFourGoesOn(t *testing.T) {
	for seed := range uint64(20) {
		s := newOddSim(seed)
		learner := s.join(t)
		other := s.order[seed%3]
		for _, a := range []manager.ReplicaID{learner.id, other} {
			for _, b := range s.order {
				if b != learner.id && b != other {
					s.blocked[[2]manager.ReplicaID{a, b}], s.blocked[[2]manager.ReplicaID{b, a}] = true, true
				}
			}
		}
		s.run(4 * manager.Second)
		before := s.highest
		leader := s.leader()
		require.NotNil(t, leader)
		s.propose(leader, leader.machine.Value)
		s.run(1 * manager.Second)
		require.Greater(t, s.highest, before, "seed %d", seed)
		require.NoError(t, s.failure)
	}
}
