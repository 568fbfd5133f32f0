package replicator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// isolateLeader partitions the leader from the others and stops its clock, so that it still believes that it
// leads.
func isolateLeader(t *testing.T, s *sim) *simNode {
	t.Helper()
	s.run(4_000)
	old := s.leader()
	require.NotNil(t, old)
	for _, id := range s.order {
		s.blocked[[2]manager.ReplicaID{id, old.id}] = true
		s.blocked[[2]manager.ReplicaID{old.id, id}] = true
	}
	old.offset, old.rate = manager.Duration(s.clock(old)), 0
	s.run(6_000)
	return old
}

func TestIsolatedLeaderAnswersNoReadAndCommitsNothing(t *testing.T) {
	s := newSim(1, 3)
	old := isolateLeader(t, s)
	require.Equal(t, replicator.RoleLeader, old.replica.Status().Role)
	next := s.leader()
	require.NotEqual(t, old.id, next.id)
	s.propose(next, next.register.Value)
	s.run(1_000)
	applied := old.register.Index
	s.read(old, replicator.ConfirmNow)
	s.propose(old, old.register.Value)
	s.run(2_000)
	require.Len(t, old.reads, 1, "a read was answered without a quorum")
	require.Len(t, old.proposals, 1, "a proposal was answered without a quorum")
	require.Equal(t, applied, old.register.Index)
	old.rate, old.offset = 1, 0
	s.blocked = map[[2]manager.ReplicaID]bool{}
	s.run(5_000)
	require.NoError(t, s.failure)
	require.Equal(t, s.nodes[next.id].register, old.register, "what was never committed is dropped")
	require.NoError(t, s.linearizable())
}

// TestLeaderLossToNextCommit limits the time without a leader to a configuration lease minus the longest
// time that a gateway's request is held.
func TestLeaderLossToNextCommit(t *testing.T) {
	const bound = 3 * manager.Second
	for _, n := range []int{3, 5} {
		for seed := range uint64(50) {
			s := newSim(seed, n)
			s.run(4_000)
			old := s.leader()
			require.NotNil(t, old)
			s.crash(old, false)
			lost := s.now
			before := s.highestCommitted
			for s.highestCommitted == before && s.now.Sub(lost) < 4*bound {
				s.run(10)
			}
			require.LessOrEqual(t, s.now.Sub(lost), bound, "replicas %d seed %d", n, seed)
		}
	}
}

func BenchmarkLeaderLossToNextCommit(b *testing.B) {
	for b.Loop() {
		var worst, sum manager.Duration
		const seeds = 200
		for seed := range uint64(seeds) {
			s := newSim(seed, 3)
			s.run(4_000)
			s.crash(s.leader(), false)
			lost, before := s.now, s.highestCommitted
			for s.highestCommitted == before {
				s.run(10)
			}
			worst = max(worst, s.now.Sub(lost))
			sum += s.now.Sub(lost)
		}
		b.ReportMetric(float64(sum)/seeds, "virtual-ms/mean")
		b.ReportMetric(float64(worst), "virtual-ms/worst")
	}
}

// BenchmarkIdleGroup counts the messages of an idle group and their size as JSON.
func BenchmarkIdleGroup(b *testing.B) {
	for _, n := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, n)
				s.run(5_000)
				s.sentMessages, s.sentBytes, s.countBytes = 0, 0, true
				const seconds = 60
				s.run(seconds * manager.Second)
				b.ReportMetric(float64(s.sentMessages)/seconds, "messages/s")
				b.ReportMetric(float64(s.sentBytes)/seconds, "JSON-bytes/s")
			}
		})
	}
}
