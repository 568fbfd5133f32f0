package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGroupSurvivesLostDiskAfterReplacement guards against the end of a group of three voters whose successor has run for
// its time to catch up when one of them is removed for good, and another node loses its disk after that: at once if the
// removed one stopped as planned, else when its loss can have been noticed.
func TestGroupSurvivesLostDiskAfterReplacement(t *testing.T) {
	t.Parallel()
	// noticed covers an election and the heartbeats that a voter misses before it counts as gone.
	const noticed = 3 * time.Second
	for _, planned := range []bool{true, false} {
		for i, removed := range []string{"leader", "follower"} {
			for k, lost := range []string{"voter", "successor"} {
				t.Run(fmt.Sprintf("planned=%t,removed=%s,lost=%s", planned, removed, lost), func(t *testing.T) {
					t.Parallel()
					s := &soak{t: t}
					defer s.close()
					s.start(uint64(61+2*i+k), 4)
					g := s.groupWithLearner()
					gone, rest := g.Leader, others(g.Voters, g.Leader)
					if removed == "follower" {
						gone, rest = rest[0], append(rest[1:], g.Leader)
					}
					next := rest[0]
					if lost == "successor" {
						next = g.Learners[0]
					}
					if planned {
						require.NoError(t, s.fleet.Terminate(gone))
					} else {
						require.NoError(t, s.fleet.Kill(gone))
						time.Sleep(noticed)
					}
					s.loseNextDisk(next, gone)
				})
			}
		}
	}
}

// TestGroupSurvivesLostDiskAfterLateSuccessor guards against the end of a group whose successor starts after a voter is gone
// for good: another voter loses its disk once the successor has had its time to catch up.
func TestGroupSurvivesLostDiskAfterLateSuccessor(t *testing.T) {
	t.Parallel()
	const catchUp = 4 * time.Second
	for i, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned=%t", planned), func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t}
			defer s.close()
			s.start(uint64(71+i), 4)
			successor := s.groupWithLearner().Learners[0]
			require.NoError(t, s.fleet.Kill(successor))
			require.NoError(t, s.fleet.Wipe(successor))
			var g Group
			require.True(t, s.watch.await(patience, func() bool {
				g = s.fleet.Group()
				return g.Leader != nil && len(g.Voters) == 3 && len(g.Learners) == 0
			}), "the learner is still a member")
			gone, next := g.Voters[0], g.Voters[1]
			if planned {
				require.NoError(t, s.fleet.Terminate(gone))
			} else {
				require.NoError(t, s.fleet.Kill(gone))
			}
			require.NoError(t, s.fleet.Launch(successor, false))
			time.Sleep(catchUp)
			s.loseNextDisk(next, gone)
		})
	}
}

// TestGroupSurvivesLostDiskBesideRemoval guards against the end of a group when a node is removed without notice, its successor
// has run for its time to catch up, and another node loses its disk right before or after the removal.
func TestGroupSurvivesLostDiskBesideRemoval(t *testing.T) {
	t.Parallel()
	const catchUp = 4 * time.Second
	for i, removed := range []string{"leader", "follower"} {
		for k, lost := range []string{"founder", "successor"} {
			t.Run(fmt.Sprintf("removed=%s,lost=%s", removed, lost), func(t *testing.T) {
				t.Parallel()
				s := &soak{t: t}
				defer s.close()
				s.start(uint64(81+2*i+k), 3)
				successor, err := s.fleet.AddCore()
				require.NoError(t, err)
				time.Sleep(catchUp)
				g := s.fleet.Group()
				require.NotNil(t, g.Leader)
				gone, rest := g.Leader, others(others(g.Voters, g.Leader), successor)
				if removed == "follower" {
					gone, rest = rest[0], append(rest[1:], g.Leader)
				}
				next := rest[0]
				if lost == "successor" {
					next = successor
				}
				require.NoError(t, s.fleet.Kill(gone))
				time.Sleep(time.Duration(k) * 400 * time.Millisecond)
				s.loseNextDisk(next, gone)
			})
		}
	}
}

// loseNextDisk lets a node lose its disk after another one was removed, and requires that the rest serve and end all work.
func (s *soak) loseNextDisk(n, gone *Node) {
	require.NoError(s.t, s.fleet.Kill(n))
	require.NoError(s.t, s.fleet.Wipe(n))
	time.Sleep(time.Second)
	require.NoError(s.t, s.fleet.Launch(n, false))
	s.serves("after " + gone.Name + " was removed and " + n.Name + " lost its disk")
	s.settle("at the end")
}

// groupWithLearner waits for a group of three voters and a learner.
func (s *soak) groupWithLearner() Group {
	var g Group
	require.True(s.t, s.watch.await(patience, func() bool {
		g = s.fleet.Group()
		return g.Leader != nil && len(g.Voters) == 3 && len(g.Learners) == 1
	}), "not three voters and a learner: %+v", &g)
	return g
}
