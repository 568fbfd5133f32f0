package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// catchUp is the time after its start in which a replica with an empty disk has to take part.
	catchUp = 4 * manager.Second
	// stopTime is how long a process takes to stop.
	stopTime = 2 * manager.Second
	// detection is the time in which the loss of a replica is noticed without notice: an election and some heartbeats.
	detection = 2 * manager.Second
	// leaderBound is the time within which a group that lost one voter has a leader.
	leaderBound = 8 * manager.Second
)

// fleetOptions sets the options of a fleet's replicas.
func fleetOptions(o *replicator.Options) {
	o.OddVoters, o.HeartbeatPeriod, o.ElectionTimeout = true, 150, 700
}

// newFleetSim returns a group of three voters with the options of a fleet, and the learner of a fourth node.
func newFleetSim(t *testing.T, seed uint64) (*sim, *simNode) {
	t.Helper()
	s := newTunedSim(seed, 3, fleetOptions)
	s.run(3 * manager.Second)
	return s, s.join(t)
}

// join lets a node with an empty disk ask for membership until it has it.
func (s *sim) join(t *testing.T) *simNode {
	t.Helper()
	s.awaitLeader(t)
	n := s.addNode(manager.ReplicaID(len(s.order) + 1))
	s.start(n)
	for end := s.now.Add(catchUp); s.now < end; s.run(300) {
		l := s.leader()
		if l == nil || slices.ContainsFunc(l.replica.Status().Members.List, func(m manager.ReplicaMember) bool { return m.Disk == n.disk.id }) {
			continue
		}
		_ = l.replica.AddMember(s.clock(l), manager.ReplicaMember{Replica: n.id, Address: "a", Disk: n.disk.id})
	}
	return n
}

// awaitLeader waits until the group commits an entry, and returns its leader.
func (s *sim) awaitLeader(t *testing.T) *simNode {
	t.Helper()
	for end := s.now.Add(leaderBound); s.now < end; s.run(50) {
		l := s.leader()
		if l == nil {
			continue
		}
		before := s.highestCommitted
		s.propose(l, l.register.Value)
		s.run(200)
		if s.leader() == l && s.highestCommitted > before {
			return l
		}
	}
	require.NoError(t, s.failure)
	require.Fail(t, "no leader commits an entry", "at %d", s.now)
	return nil
}

// stop ends a node's process for good, after notice or without.
func (s *sim) stop(n *simNode, planned bool) {
	if planned {
		n.replica.StepDown(s.clock(n))
		s.run(stopTime)
	}
	s.crash(n, true)
}

// members returns the nodes that are members, as the leader knows them.
func (s *sim) members(t *testing.T) []*simNode {
	t.Helper()
	var list []*simNode
	for _, m := range s.awaitLeader(t).replica.Status().Members.List {
		if n := s.nodes[m.Replica]; n.up {
			list = append(list, n)
		}
	}
	return list
}

// forEachPair plays a case for each node of a fleet that is stopped and each other one that is lost after it.
func forEachPair(t *testing.T, play func(t *testing.T, s *sim, stopped, lost *simNode)) {
	t.Helper()
	for seed := range uint64(4) {
		for i := range 4 {
			for k := range 3 {
				s, _ := newFleetSim(t, seed)
				leader := s.awaitLeader(t)
				nodes := s.members(t)
				// The leader comes first.
				slices.SortStableFunc(nodes, func(a, b *simNode) int {
					return map[bool]int{true: 0, false: 1}[a == leader] - map[bool]int{true: 0, false: 1}[b == leader]
				})
				stopped := nodes[i]
				lost := slices.Delete(slices.Clone(nodes), i, i+1)[k]
				t.Run(fmt.Sprintf("seed=%d,stopped=%d,lost=%d", seed, stopped.id, lost.id), func(t *testing.T) { play(t, s, stopped, lost) })
			}
		}
	}
}

// Guards against the end of a group whose voter stopped as planned: another replica is lost right after its process ended,
// while its successor is still a learner.
func TestPlannedStopHandsItsVoteOver(t *testing.T) {
	forEachPair(t, func(t *testing.T, s *sim, stopped, lost *simNode) {
		t.Helper()
		s.stop(stopped, true)
		s.crash(lost, true)
		s.awaitLeader(t)
		require.NoError(t, s.failure)
	})
}

// Guards against the end of a group whose voter was removed without notice, once that can have been noticed.
func TestVoterLostWithoutNoticeIsReplaced(t *testing.T) {
	forEachPair(t, func(t *testing.T, s *sim, stopped, lost *simNode) {
		t.Helper()
		s.stop(stopped, false)
		s.run(detection)
		s.crash(lost, true)
		s.awaitLeader(t)
		require.NoError(t, s.failure)
	})
}

// Guards against the end of a group whose successor starts only after the voter is gone: it counts after its time to catch
// up.
func TestSuccessorOfALostVoterCountsOnceItCaughtUp(t *testing.T) {
	for seed := range uint64(10) {
		s, _ := newFleetSim(t, seed)
		nodes := s.members(t)
		s.stop(nodes[seed%4], seed%2 == 0)
		s.run(detection)
		s.stop(s.members(t)[seed%3], false)
		s.join(t)
		s.crash(s.members(t)[0], true)
		s.awaitLeader(t)
		require.NoError(t, s.failure)
	}
}

// A replica that restarts after its vote was handed over takes part again, and keeps its disk.
func TestRestartedReplicaTakesPartAgain(t *testing.T) {
	for seed := range uint64(10) {
		s, _ := newFleetSim(t, seed)
		for _, n := range s.members(t) {
			s.stop(n, seed%2 == 0)
			s.run(1500)
			s.start(n)
			s.run(3 * manager.Second)
			require.Len(t, s.voters(), 3, "seed %d: %v", seed, s.voters())
			require.Len(t, s.leader().replica.Status().Members.List, 4)
		}
		require.NoError(t, s.failure)
	}
}

// TestReplacementsInSeries replaces replicas again and again, as planned or without notice, before or after their
// successors have started, and loses disks between; no more than one replica counts as lost at a time.
func TestReplacementsInSeries(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s, _ := newFleetSim(t, seed)
			rng := rand.New(rand.NewPCG(seed, 13))
			for range 6 {
				nodes := s.members(t)
				n := nodes[rng.IntN(len(nodes))]
				switch rng.IntN(3) {
				case 0:
					s.join(t)
					s.stop(n, true)
				case 1:
					s.join(t)
					s.stop(n, false)
					s.run(detection)
				case 2:
					// Its disk is lost: it is removed and returns under another ID.
					s.crash(n, true)
					s.run(manager.Duration(rng.IntN(2000)))
					l := s.awaitLeader(t)
					_ = l.replica.RemoveMember(s.clock(l), n.id)
					s.join(t)
				}
				s.removeSilent(t)
			}
			s.awaitLeader(t)
			require.NoError(t, s.failure)
			require.NoError(t, s.linearizable())
		})
	}
}

// removeSilent removes the learners that have been silent, as their nodes may be gone for good.
func (s *sim) removeSilent(t *testing.T) {
	t.Helper()
	l := s.awaitLeader(t)
	for _, m := range l.replica.Status().Members.List {
		if n := s.nodes[m.Replica]; m.Learner && !n.up {
			_ = l.replica.RemoveMember(s.clock(l), m.Replica)
			s.run(100)
		}
	}
}
