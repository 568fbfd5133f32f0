package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// restartTime is how long a machine that has lost its disk is down.
const restartTime = manager.Second

// newFoundedSim returns a group of three founders and the successor of one of them, which has caught up.
func newFoundedSim(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := buildSim(seed, 3, fleetOptions, true)
	s.run(3 * manager.Second)
	s.join(t)
	require.Len(t, s.members(t), 4)
	return s
}

// remove ends a machine for good.
func (s *sim) remove(n *simNode) {
	s.crash(n, true)
	n.gone = true
}

// wipe takes a machine's disk. The machine is back later with an empty disk, which is not a member yet.
func (s *sim) wipe(n *simNode) *simNode {
	s.remove(n)
	next := s.addNode(manager.ReplicaID(len(s.order) + 1))
	next.home = n.home
	return next
}

// admit starts a node with an empty disk and lets it ask for membership, as the coordinator does, until it has it.
func (s *sim) admit(t *testing.T, n *simNode) {
	t.Helper()
	s.start(n)
	for end := s.now.Add(catchUp); s.now < end; s.run(250) {
		s.requestJoin(n)
	}
	require.NoError(t, s.failure)
}

// requestJoin removes the member that had the node's address, or adds the node.
func (s *sim) requestJoin(n *simNode) {
	l := s.leader()
	if l == nil || !n.up {
		return
	}
	members := l.replica.Status().Members
	if slices.ContainsFunc(members.List, func(m manager.ReplicaMember) bool { return m.Disk == n.disk.id }) {
		return
	}
	for _, m := range members.List {
		if s.nodes[m.Replica].home == n.home {
			_ = l.replica.RemoveMember(s.clock(l), m.Replica)
			return
		}
	}
	_ = l.replica.AddMember(s.clock(l), manager.ReplicaMember{Replica: n.id, Address: n.home, Disk: n.disk.id})
}

// Guards against the end of a group when a machine is removed without notice and another one loses its disk right before or
// after it, although the successor of the first one has caught up.
func TestLostDiskBesideARemovalIsBorne(t *testing.T) {
	pauses := []manager.Duration{-900, -400, 0, 100, 400, 700, 1000, 1500}
	for seed, pause := range pauses {
		for removed := range 4 {
			for wiped := range 4 {
				if removed == wiped {
					continue
				}
				t.Run(fmt.Sprintf("pause=%d,removed=%d,wiped=%d", pause, removed, wiped), func(t *testing.T) {
					s := newFoundedSim(t, uint64(seed))
					nodes := leaderFirst(s.leader(), s.members(t))
					s.loseTwo(t, nodes[removed], nodes[wiped], pause)
					// The machine without its disk counts as lost for catchUp; another one may be lost after it.
					next := leaderFirst(s.leader(), s.members(t))
					require.Len(t, next, 3)
					last := s.wipe(next[(removed+wiped)%3])
					s.run(restartTime)
					s.admit(t, last)
					s.awaitLeader(t)
					require.NoError(t, s.failure)
				})
			}
		}
	}
}

func leaderFirst(leader *simNode, nodes []*simNode) []*simNode {
	slices.SortStableFunc(nodes, func(a, b *simNode) int {
		return map[bool]int{true: 0, false: 1}[a == leader] - map[bool]int{true: 0, false: 1}[b == leader]
	})
	return nodes
}

// loseTwo removes one machine and wipes another one the pause later, or before it if the pause is negative.
func (s *sim) loseTwo(t *testing.T, removed, wiped *simNode, pause manager.Duration) {
	t.Helper()
	var next *simNode
	if pause < 0 {
		next = s.wipe(wiped)
		s.run(-pause)
		s.remove(removed)
		s.run(restartTime + pause)
	} else {
		s.remove(removed)
		s.run(pause)
		next = s.wipe(wiped)
		s.run(restartTime)
	}
	s.admit(t, next)
	s.awaitLeader(t)
	require.NoError(t, s.failure)
}

// A founder that is down is no reason to give a learner of the first start a vote.
func TestLearnerOfTheFirstStartGetsNoVoteBesideOddVoters(t *testing.T) {
	s := buildSim(5, 3, fleetOptions, true)
	s.run(3 * manager.Second)
	n := s.addNode(4)
	s.start(n)
	require.NoError(t, s.leader().replica.AddFounder(s.clock(s.leader()), manager.ReplicaMember{Replica: 4, Address: "4", Disk: n.disk.id}))
	s.run(2 * manager.Second)
	require.Equal(t, []manager.ReplicaID{1, 2, 3}, s.voters())
	s.join(t)
	require.Len(t, s.voters(), 5, "a successor and the learner")
	require.NoError(t, s.failure)
}

// TestRemovalsBesideLostDisks checks that the group goes on after each removal beside a lost disk, in any order and beside cuts
// into halves and transfers of the leadership.
func TestRemovalsBesideLostDisks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &faults{sim: buildSim(rapid.Uint64().Draw(rt, "seed"), 3, fleetOptions, true), t: rt}
		f.run(3 * manager.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "rounds") {
			joining, voters := f.playReplacement(rt, []func(){f.operate, f.halves, f.healNetwork, f.transferLeader})
			require.True(rt, f.settle(joining, voters), "the group does not settle at %d: %s", f.now, f.describe())
		}
		require.NoError(rt, f.linearizable())
	})
}

// halves cuts the members into two halves.
func (f *faults) halves() {
	var up []manager.ReplicaID
	for _, n := range f.list() {
		if !n.gone {
			up = append(up, n.id)
		}
	}
	first := rapid.Permutation(up).Draw(f.t, "halves")[:len(up)/2]
	for _, a := range up {
		for _, b := range up {
			f.blocked[[2]manager.ReplicaID{a, b}] = slices.Contains(first, a) != slices.Contains(first, b)
		}
	}
}

// TestRemovalsAndLostDisksUnderFaults checks that one replica leads in a term, that no committed entry is lost and that no
// leader holds a lease beside another one, while machines are removed, lose their disks, are cut off, stop and restart.
func TestRemovalsAndLostDisksUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &faults{sim: buildSim(rapid.Uint64().Draw(rt, "seed"), 3, fleetOptions, true), t: rt}
		f.run(3 * manager.Second)
		faults := []func(){
			f.operate, f.operate, f.crashOne, f.restart, f.partition, f.halves, f.oneWay, f.healNetwork, f.stepDown, f.transferLeader,
			f.toggleDiskHang, f.degradeNetwork,
		}
		for settled, rounds := true, rapid.IntRange(1, 3).Draw(rt, "rounds"); settled && rounds > 0; rounds-- {
			// More than one replica may count as lost, so that the group may stand still for good.
			joining, voters := f.playReplacement(rt, faults)
			settled = f.settle(joining, voters) && voters == 3
		}
		f.endFaults()
		f.run(10 * manager.Second)
		require.NoError(rt, f.failure)
		require.NoError(rt, f.linearizable())
	})
}

// TestLostDiskWhileASuccessorJoins checks the same while a successor joins: its vote must not count before its group has
// committed it. No other machine is lost, so that the group goes on in the end.
func TestLostDiskWhileASuccessorJoins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &faults{sim: buildSim(rapid.Uint64().Draw(rt, "seed"), 3, fleetOptions, true), t: rt}
		f.run(3 * manager.Second)
		successor := f.addNode(4)
		f.start(successor)
		var next *simNode
		faults := []func(){
			f.operate, f.operate, f.partition, f.halves, f.oneWay, f.healNetwork, f.healNetwork, f.transferLeader, f.crashOne, f.restart,
			func() {
				if next == nil {
					next = f.wipe(f.nodes[manager.ReplicaID(rapid.IntRange(1, 3).Draw(rt, "wiped"))])
				}
			},
		}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			rapid.SampledFrom(faults).Draw(rt, "fault")()
			for range rapid.IntRange(1, 20).Draw(rt, "pause") {
				f.run(30)
				f.checkLeases()
				f.requestJoin(successor)
				if next != nil {
					f.requestJoin(next)
				}
			}
			require.NoError(rt, f.failure)
		}
		joining := []*simNode{successor}
		if next != nil {
			joining = append(joining, next)
		}
		require.True(rt, f.settle(joining, 4), "the group does not settle at %d: %v %s", f.now, f.failure, f.describe())
		require.NoError(rt, f.linearizable())
	})
}

// playReplacement adds a successor, waits until it counts, and then plays a removal and a lost disk among other faults. It
// returns the nodes of the machines that have lost their disks and the number of voters that remain.
func (f *faults) playReplacement(t *rapid.T, faults []func()) (joining []*simNode, voters int) {
	successor := f.addNode(manager.ReplicaID(len(f.order) + 1))
	f.start(successor)
	require.True(t, f.settle([]*simNode{successor}, 4), "the successor gets no vote: %s", f.describe())
	nodes := f.members()
	require.Len(t, nodes, 4)
	removed := rapid.IntRange(0, 3).Draw(t, "removed")
	wiped := (removed + rapid.IntRange(1, 3).Draw(t, "wiped")) % 4
	both := len(faults) > 4 && rapid.Bool().Draw(t, "wipe both")
	events := []func(){func() {
		if both {
			joining = append(joining, f.wipe(nodes[removed]))
			return
		}
		f.remove(nodes[removed])
	}, func() { joining = append(joining, f.wipe(nodes[wiped])) }}
	if rapid.Bool().Draw(t, "wiped first") {
		slices.Reverse(events)
	}
	for range rapid.IntRange(2, 14).Draw(t, "steps") {
		if len(events) > 0 && rapid.Bool().Draw(t, "loss") {
			events[0]()
			events = events[1:]
		} else {
			rapid.SampledFrom(faults).Draw(t, "fault")()
		}
		for range rapid.IntRange(1, 40).Draw(t, "pause") {
			f.run(30)
			f.checkLeases()
			for _, n := range joining {
				f.requestJoin(n)
			}
		}
		require.NoError(t, f.failure)
	}
	for _, event := range events {
		event()
	}
	f.stopNodes()
	return joining, 2 + len(joining)
}

// members returns the nodes of the leader's members.
func (f *faults) members() []*simNode {
	var list []*simNode
	for _, m := range f.leader().replica.Status().Members.List {
		list = append(list, f.nodes[m.Replica])
	}
	return list
}

func (f *faults) list() []*simNode {
	var list []*simNode
	for _, id := range f.order {
		list = append(list, f.nodes[id])
	}
	return list
}

// settle ends all faults and waits until the group has the given number of voters, which agree, and no other members.
func (f *faults) settle(joining []*simNode, voters int) bool {
	f.endFaults()
	f.delay = 20
	for end := f.now.Add(30 * manager.Second); f.now < end && f.failure == nil; f.run(250) {
		for _, n := range joining {
			f.requestJoin(n)
		}
		l := f.leader()
		if l == nil {
			continue
		}
		members := l.replica.Status().Members
		for _, m := range members.List {
			if n := f.nodes[m.Replica]; m.Learner && n.gone {
				_ = l.replica.RemoveMember(f.clock(l), m.Replica)
			}
		}
		if len(members.List) == voters && len(f.votersOf(l)) == voters && members.Confirmed && !l.replica.Status().MembersPending && f.agree(members) {
			f.run(500)
			return f.failure == nil
		}
	}
	return false
}

func (s *sim) votersOf(n *simNode) []manager.ReplicaID {
	var list []manager.ReplicaID
	for _, m := range n.replica.Status().Members.List {
		if !m.Learner {
			list = append(list, m.Replica)
		}
	}
	return list
}

// agree reports whether all members have applied the same entries.
func (s *sim) agree(m manager.Members) bool {
	l := s.leader()
	return !slices.ContainsFunc(m.List, func(m manager.ReplicaMember) bool { return s.nodes[m.Replica].register != l.register })
}

func (s *sim) describe() []string {
	var list []string
	for _, id := range s.order {
		n := s.nodes[id]
		if n.up {
			st := n.replica.Status()
			list = append(list, fmt.Sprintf("%d %s term %d leader %d last %d commit %d members %+v", id, st.Role, st.Term, st.Leader, st.Last, st.Commit, st.Members.List))
		}
	}
	return list
}
