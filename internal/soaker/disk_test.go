package soaker

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// timeBack is the time in which a node that returned has to take part again.
const timeBack = 6 * time.Second

// timeToReplace is the time in which a voter that never returns has to be replaced by a learner.
const timeToReplace = 10 * time.Second

// group waits for a leader and returns the group.
func (s *soak) group() Group {
	var g Group
	found := func() bool {
		g = s.fleet.Group()
		return g.Leader != nil
	}
	require.True(s.t, s.watch.await(patience, found), "no node names a leader")
	return g
}

// serves waits until more jobs are completed.
func (s *soak) serves(when string) {
	served := s.watch.completed()
	require.True(s.t, s.watch.await(patience, func() bool { return s.watch.completed() > served+3 }), "nothing is served %s", when)
}

// TestGroupSurvivesLostDiskAfterFailedWrite refuses the writes of one replica for a moment and then loses another one.
func TestGroupSurvivesLostDiskAfterFailedWrite(t *testing.T) {
	t.Parallel()
	for i, place := range []string{"follower", "leader"} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t}
			defer s.close()
			s.start(uint64(1+i), 3)
			g := s.group()
			require.Len(t, g.Voters, 3)
			refused := others(g.Voters, g.Leader)[0]
			if place == "leader" {
				refused = g.Leader
			}
			require.NoError(t, s.fleet.RefuseWrites(refused, true))
			const limit = 5 * time.Second
			s.watch.await(limit, func() bool {
				n, err := s.fleet.Logged(refused, manager.LogReplicaStopped)
				return err == nil && n > 0
			})
			require.NoError(t, s.fleet.RefuseWrites(refused, false))
			time.Sleep(timeBack)
			lost := others(g.Voters, refused)[0]
			require.NoError(t, s.fleet.Kill(lost))
			require.NoError(t, s.fleet.Wipe(lost))
			s.serves("with " + lost.Name + " lost after a failed write of " + refused.Name)
			s.settle("at the end")
		})
	}
}

// TestGroupSurvivesLostDisksAfterLearnerWasCutOff cuts a learner off until it is removed, and then loses two of three
// voters for good, each once the learner has had its time to come back.
func TestGroupSurvivesLostDisksAfterLearnerWasCutOff(t *testing.T) {
	t.Parallel()
	s := &soak{t: t}
	defer s.close()
	s.start(3, 4)
	gone := s.loseLearnerAndVoter()
	time.Sleep(timeToReplace)
	s.finalFault(gone)
	s.serves("after the final fault with " + gone.Name + " lost")
	s.settle("at the end")
}

// TestGroupSurvivesLostDiskAfterFailedWriteWithoutLearner plays the incident of a group of four disks: the learner is cut
// off until it is removed, a voter's disk refuses writes for a moment, and another voter is lost with its disk.
func TestGroupSurvivesLostDiskAfterFailedWriteWithoutLearner(t *testing.T) {
	t.Parallel()
	s := &soak{t: t}
	defer s.close()
	s.start(5, 4)
	g := s.removeLearner()
	refused := others(g.Voters, g.Leader)[0]
	require.NoError(t, s.fleet.RefuseWrites(refused, true))
	const refusal = 3 * time.Second
	time.Sleep(refusal)
	require.NoError(t, s.fleet.RefuseWrites(refused, false))
	time.Sleep(timeBack)
	lost := others(g.Voters, refused)[0]
	require.NoError(t, s.fleet.Kill(lost))
	require.NoError(t, s.fleet.Wipe(lost))
	s.serves("with " + lost.Name + " lost after a failed write of " + refused.Name)
	s.settle("at the end")
}

// loseLearnerAndVoter cuts the learner off until it is removed and, once it has had time to come back, kills a voter for
// good, which is returned.
func (s *soak) loseLearnerAndVoter() *Node {
	g := s.removeLearner()
	gone := g.Voters[s.extra.IntN(len(g.Voters))]
	require.NoError(s.t, s.fleet.Kill(gone))
	require.NoError(s.t, s.fleet.Wipe(gone))
	return gone
}

// removeLearner cuts the learner off until it is removed, gives it time to come back, and returns the group as it was
// without the learner.
func (s *soak) removeLearner() Group {
	g := s.groupWithLearner()
	learner := g.Learners[0]
	s.isolate(learner, true)
	const minimum, limit = 6 * time.Second, 12 * time.Second
	time.Sleep(minimum)
	removed := s.watch.await(limit, func() bool {
		g = s.fleet.Group()
		return g.Leader != nil && len(g.Voters) == 3 && len(g.Learners) == 0
	})
	s.isolate(learner, false)
	require.True(s.t, removed, "%s is still a member", learner.Name)
	time.Sleep(timeBack)
	return g
}

// isolate cuts a node off from all others both ways, or ends that.
func (s *soak) isolate(n *Node, on bool) {
	change := s.fleet.Network.Heal
	if on {
		change = s.fleet.Network.Cut
	}
	for _, o := range others(s.fleet.Nodes, n) {
		change(o.Listen, n.Listen)
		change(n.Listen, o.Listen)
	}
}

// finalFault kills every process right after a job was accepted and wipes the disk of one voter; all but the node that is
// gone are launched again, each at its own time.
func (s *soak) finalFault(gone *Node) {
	wiped := s.group().Voters
	if gone != nil {
		wiped = others(wiped, gone)
	}
	lost := wiped[s.extra.IntN(len(wiped))]
	accepted := s.watch.accepted()
	require.True(s.t, s.watch.await(patience, func() bool { return s.watch.accepted() > accepted }), "no job is accepted")
	nodes := others(s.fleet.Nodes, gone)
	var kills, launches sync.WaitGroup
	for _, n := range nodes {
		kills.Go(func() { s.must(s.fleet.Kill(n)) })
	}
	kills.Wait()
	require.NoError(s.t, s.fleet.Wipe(lost))
	s.t.Logf("all are killed, %s loses its disk", lost.Name)
	for _, n := range nodes {
		down := time.Duration(500+s.extra.IntN(2500)) * time.Millisecond
		launches.Go(func() {
			time.Sleep(down)
			s.must(s.fleet.Launch(n, false))
		})
	}
	launches.Wait()
}

// addedFault makes the disk of some node refuse writes for a moment, once in a dozen calls.
func (s *soak) addedFault(d time.Duration) {
	n := s.fleet.Nodes[s.extra.IntN(s.fleet.Core)]
	if s.extra.IntN(12) > 0 {
		return
	}
	s.refused = true
	s.t.Logf("%s refuses writes for %v", n.Name, d)
	s.must(s.fleet.RefuseWrites(n, true))
	s.later(d, func() { s.must(s.fleet.RefuseWrites(n, false)) })
}

// playFinalFault plays the final fault of a seed, where there is a learner after the learner and a voter had their losses.
func (s *soak) playFinalFault(t *testing.T) {
	whole := s.t
	s.t = t
	defer func() { s.t = whole }()
	time.Sleep(timeBack)
	var g Group
	complete := func() bool {
		g = s.fleet.Group()
		return g.Leader != nil && len(g.Voters)+len(g.Learners) == s.fleet.Core
	}
	require.True(t, s.watch.await(patience, complete), "%d of %d core nodes are members", len(g.Voters)+len(g.Learners), s.fleet.Core)
	var gone *Node
	if len(g.Learners) > 0 {
		gone = s.loseLearnerAndVoter()
		time.Sleep(timeToReplace)
	}
	s.finalFault(gone)
	s.settle("after the final fault")
	s.serves("after the final fault")
}

// others returns the nodes but one.
func others(list []*Node, but *Node) []*Node {
	var rest []*Node
	for _, n := range list {
		if n != but {
			rest = append(rest, n)
		}
	}
	return rest
}
