package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// A voter that restarts has forgotten that it recently heard a leader. Its vote must not elect another
// leader while the old one may still hold a lease from its answers.
func TestRestartedVoterWaitsForTheOldLease(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(seed, 3)
		s.run(6_000)
		old := s.leader()
		require.NotNil(t, old)
		var others []*simNode
		for _, id := range s.order {
			if id != old.id {
				others = append(others, s.nodes[id])
			}
		}
		// One follower is isolated from the leader. The other one restarts and is isolated too, just before
		// the first one starts an election.
		isolate := func(n *simNode) {
			s.blocked[[2]manager.ReplicaID{old.id, n.id}], s.blocked[[2]manager.ReplicaID{n.id, old.id}] = true, true
		}
		isolate(others[0])
		s.run(manager.Duration(1000 + 10*seed))
		s.crash(others[1], true)
		isolate(others[1])
		s.start(others[1])
		for end := s.now.Add(4_000); s.now < end; {
			s.run(10)
			if next := s.leader(); next != nil && next != old {
				at, ok := old.replica.ConfirmedAt()
				require.False(t, ok && s.clock(old).Sub(at) < replicator.DefaultElectionTimeout,
					"seed %d: replica %d leads while %d may still act", seed, next.id, old.id)
			}
		}
		require.NoError(t, s.failure)
	}
}

// If every voter has restarted and answers, no earlier leader can act, and the next election need not wait.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		for seed := range uint64(50) {
			s := newSim(seed, n)
			s.run(4_000)
			require.NotNil(t, s.leader())
			for _, id := range s.order {
				s.crash(s.nodes[id], true)
			}
			s.run(2_000)
			for _, id := range s.order {
				s.start(s.nodes[id])
			}
			began := s.now
			for s.leader() == nil && s.now.Sub(began) < manager.Minute {
				s.run(10)
			}
			require.LessOrEqual(t, s.now.Sub(began), replicator.DefaultElectionTimeout, "replicas %d seed %d", n, seed)
			require.NoError(t, s.failure)
		}
	}
}
