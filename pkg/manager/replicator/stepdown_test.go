package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// electionBound is the time within which a group with a quorum has a leader: two election timeouts with their spread, and
// a lost round.
const electionBound = 4 * manager.Second

// A rolling stop reaches the leader, and the replica that takes over loses power while the former leader still finishes
// its calls. A former leader that leads again would refuse all work until its process ends.
func TestStoppingReplicaDoesNotLeadAgain(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(seed, 5)
		s.run(4_000)
		stopping := s.leader()
		require.NotNil(t, stopping)
		stopping.replica.StepDown(s.clock(stopping))
		successor := s.awaitOtherLeader(stopping, electionBound)
		require.NotNil(t, successor, "seed %d", seed)
		s.crash(successor, false)
		for lost := s.now; s.now.Sub(lost) < electionBound; {
			s.run(10)
			require.False(t, stopping.replica.LeaderReady(), "seed %d: the stopping replica leads", seed)
		}
		require.NotNil(t, s.leader(), "seed %d: no replica leads", seed)
		require.NoError(t, s.failure)
	}
}

// Without a quorum of other replicas that hold the log, a stopping replica is better than none: it leads until another
// has caught up.
func TestStoppingReplicaLeadsWhereNoOtherCan(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.run(4_000)
		stopping := s.leader()
		require.NotNil(t, stopping)
		behind, lost := s.others(stopping)
		s.block(behind.id, stopping.id)
		s.block(behind.id, lost.id)
		s.propose(stopping, stopping.register.Value)
		s.run(500)
		s.crash(lost, true)
		s.blocked = map[[2]manager.ReplicaID]bool{}
		stopping.replica.StepDown(s.clock(stopping))
		next := s.awaitOtherLeader(stopping, 2*electionBound)
		require.NotNil(t, next, "seed %d", seed)
		require.Equal(t, behind.id, next.id, "seed %d", seed)
		require.NoError(t, s.failure)
	}
}

// awaitOtherLeader runs until a node other than the given one leads, and returns nil after the limit.
func (s *sim) awaitOtherLeader(than *simNode, limit manager.Duration) *simNode {
	for until := s.now.Add(limit); s.now < until; {
		s.run(10)
		if l := s.leader(); l != nil && l != than {
			return l
		}
	}
	return nil
}

// others returns the two other nodes of a group of three.
func (s *sim) others(n *simNode) (*simNode, *simNode) {
	var list []*simNode
	for _, id := range s.order {
		if id != n.id {
			list = append(list, s.nodes[id])
		}
	}
	return list[0], list[1]
}

// block cuts two nodes from each other.
func (s *sim) block(a, b manager.ReplicaID) {
	s.blocked[[2]manager.ReplicaID{a, b}], s.blocked[[2]manager.ReplicaID{b, a}] = true, true
}

// The voters elect the target of a transfer although they have just heard the leader, so that a leader which misses that
// election must not act on their earlier answers.
func TestLeaderIsNotConfirmedAfterItsTransfer(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.run(4_000)
		old := s.leader()
		require.NotNil(t, old)
		old.replica.TransferLeadership(s.clock(old))
		for _, id := range s.order {
			s.blocked[[2]manager.ReplicaID{id, old.id}] = true
		}
		for range 60 {
			s.run(10)
			if next := s.leader(); next == nil || next == old {
				continue
			}
			at, confirmed := old.replica.ConfirmedAt()
			require.False(t, confirmed && s.clock(old).Sub(at) < old.replica.Options.ElectionTimeout, "seed %d", seed)
		}
		require.NotEqual(t, old, s.leader(), "seed %d", seed)
		require.NoError(t, s.failure)
	}
}

// A transfer whose target is lost must not leave the leader unconfirmed.
func TestLeaderIsConfirmedAgainAfterAFailedTransfer(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.run(4_000)
		leader := s.leader()
		require.NotNil(t, leader)
		leader.replica.TransferLeadership(s.clock(leader))
		first, _ := s.others(leader)
		s.block(first.id, leader.id)
		s.run(200)
		s.blocked = map[[2]manager.ReplicaID]bool{}
		s.run(electionBound)
		require.NotNil(t, s.leader(), "seed %d", seed)
		_, confirmed := s.leader().replica.ConfirmedAt()
		require.True(t, confirmed, "seed %d", seed)
		require.NoError(t, s.failure)
	}
}
