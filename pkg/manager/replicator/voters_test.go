package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// addLearner adds a replica with an empty disk and returns it.
func (s *sim) addLearner(t *testing.T) *simNode {
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

func newOddVotersSim(seed uint64) *sim {
	s := newTunedSim(seed, 3, func(o *replicator.Options) { o.OddVoters = true })
	s.run(4 * manager.Second)
	return s
}

// A fourth voter would not allow another failure, and a partition into halves would stop the group.
func TestSingleLearnerIsNotPromotedBesideOddVoters(t *testing.T) {
	s := newOddVotersSim(1)
	s.addLearner(t)
	require.Equal(t, []manager.ReplicaID{1, 2, 3}, s.voters())
	s.addLearner(t)
	require.Equal(t, []manager.ReplicaID{1, 2, 3, 4, 5}, s.voters())
	require.NoError(t, s.failure)
}

func TestLearnerReplacesSilentVoter(t *testing.T) {
	s := newOddVotersSim(2)
	learner := s.addLearner(t)
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

// With four replicas partitioned into halves, the half that holds two of the three voters can commit.
func TestHalfWithMostVotersCommits(t *testing.T) {
	for seed := range uint64(20) {
		s := newOddVotersSim(seed)
		learner := s.addLearner(t)
		other := s.order[seed%3]
		for _, a := range []manager.ReplicaID{learner.id, other} {
			for _, b := range s.order {
				if b != learner.id && b != other {
					s.blocked[[2]manager.ReplicaID{a, b}], s.blocked[[2]manager.ReplicaID{b, a}] = true, true
				}
			}
		}
		s.run(4 * manager.Second)
		before := s.highestCommitted
		leader := s.leader()
		require.NotNil(t, leader)
		s.propose(leader, leader.register.Value)
		s.run(1 * manager.Second)
		require.Greater(t, s.highestCommitted, before, "seed %d", seed)
		require.NoError(t, s.failure)
	}
}

// A learner that was removed while it was cut off kept naming its last leader, so that its node never noticed the removal.
func TestRemovedLearnerForgetsItsLeader(t *testing.T) {
	s := newOddVotersSim(3)
	learner := s.addLearner(t)
	for _, id := range s.order {
		s.block(learner.id, id)
	}
	s.run(6 * manager.Second)
	leader := s.leader()
	require.NoError(t, leader.replica.RemoveMember(s.clock(leader), learner.id))
	s.run(manager.Second)
	s.blocked = map[[2]manager.ReplicaID]bool{}
	s.run(6 * manager.Second)
	require.Zero(t, learner.replica.Status().Leader)
	require.NoError(t, s.failure)
}

func TestMembersArePendingUntilCommitted(t *testing.T) {
	s := newOddVotersSim(4)
	learner, leader := s.addLearner(t), s.leader()
	require.False(t, leader.replica.Status().MembersPending)
	require.NoError(t, leader.replica.RemoveMember(s.clock(leader), learner.id))
	require.True(t, leader.replica.Status().MembersPending)
	s.run(manager.Second)
	require.False(t, leader.replica.Status().MembersPending)
	require.NoError(t, s.failure)
}
