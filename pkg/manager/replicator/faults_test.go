package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// faults draws random actions with rapid; each is followed by some virtual time.
type faults struct {
	*sim
	t *rapid.T
}

func (f *faults) node() *simNode {
	return f.nodes[rapid.SampledFrom(f.order).Draw(f.t, "node")]
}

func (f *faults) step() {
	actions := []func(){
		f.operate, f.operate, f.operate, f.operate, f.crashOne, f.crashAll, f.restart, f.partition, f.oneWay, f.healNetwork,
		f.degradeNetwork, f.skewClock, f.jumpClock, f.toggleDiskHang, f.longOutage, f.loseTwoInTurn, f.changeMembers, f.transferLeader,
		f.stepDown,
	}
	names := []string{
		"operate", "operate", "operate", "operate", "crash", "crash all", "restart", "partition", "one way", "heal network",
		"lossy", "skew", "jump", "toggle disk hang", "long outage", "lose two in turn", "members", "transfer",
		"step down",
	}
	i := rapid.IntRange(0, len(actions)-1).Draw(f.t, "action")
	f.t.Log(f.now, names[i])
	actions[i]()
	f.run(manager.Duration(rapid.IntRange(10, 2_000).Draw(f.t, "pause")))
}

// operate lets concurrent operators change and read the register at every node that accepts it.
func (f *faults) operate() {
	for range rapid.IntRange(1, 8).Draw(f.t, "operations") {
		for _, id := range f.order {
			n := f.nodes[id]
			if !n.up {
				continue
			}
			f.propose(n, n.register.Value)
			f.propose(n, n.register.Value)
			f.read(n, replicator.ReadTiming(f.rng.IntN(2)))
		}
		f.run(manager.Duration(f.rng.IntN(100)))
	}
}

func (f *faults) crashOne() { f.crash(f.node(), f.rng.IntN(2) == 0) }

func (f *faults) crashAll() {
	for _, id := range f.order {
		f.crash(f.nodes[id], f.rng.IntN(2) == 0)
	}
	f.restart()
}

func (f *faults) restart() {
	for _, id := range f.order {
		if n := f.nodes[id]; !n.up && !n.gone {
			f.start(n)
		}
	}
}

func (f *faults) partition() {
	side := map[manager.ReplicaID]bool{}
	for _, id := range f.order {
		side[id] = rapid.Bool().Draw(f.t, "side")
	}
	for _, a := range f.order {
		for _, b := range f.order {
			f.blocked[[2]manager.ReplicaID{a, b}] = side[a] != side[b]
		}
	}
}

func (f *faults) oneWay() {
	f.blocked[[2]manager.ReplicaID{f.node().id, f.node().id}] = true
}

func (f *faults) healNetwork() {
	f.blocked = map[[2]manager.ReplicaID]bool{}
	f.loss, f.duplicate, f.delay = 0, 0, 20
}

func (f *faults) degradeNetwork() {
	f.loss = rapid.IntRange(0, 40).Draw(f.t, "loss")
	f.duplicate = rapid.IntRange(0, 30).Draw(f.t, "repeat")
	f.delay = int64(rapid.IntRange(1, 600).Draw(f.t, "delay"))
}

func (f *faults) skewClock() {
	n := f.node()
	old := f.clock(n)
	n.rate = rapid.Float64Range(0.5, 2).Draw(f.t, "rate")
	n.offset += old.Sub(f.clock(n))
}

func (f *faults) jumpClock() {
	f.node().offset += manager.Duration(rapid.IntRange(-5_000, 60_000).Draw(f.t, "jump"))
}

// toggleDiskHang makes a disk hang or work again; a node whose disk hangs answers nothing.
func (f *faults) toggleDiskHang() {
	n := f.node()
	n.diskHangs = !n.diskHangs
}

// longOutage keeps a node down until the others have compacted the entries that it lacks.
func (f *faults) longOutage() {
	n := f.node()
	f.crash(n, false)
	for range 60 {
		if l := f.leader(); l != nil {
			f.propose(l, l.register.Value)
		}
		f.run(50)
	}
	if !n.up {
		f.start(n)
	}
}

// loseTwoInTurn crashes a second node right after the first has restarted.
func (f *faults) loseTwoInTurn() {
	first, second := f.node(), f.node()
	f.crash(first, true)
	f.run(3_000)
	if !first.up {
		f.start(first)
	}
	f.crash(second, true)
	f.run(3_000)
	if !second.up {
		f.start(second)
	}
}

// changeMembers adds a replica with a new ID, or removes one; the group has at most 6 members.
func (f *faults) changeMembers() {
	l := f.leader()
	if l == nil {
		return
	}
	members := l.replica.Status().Members
	if len(members.List) >= 6 || len(members.List) > 2 && rapid.Bool().Draw(f.t, "remove") {
		m := rapid.SampledFrom(members.List).Draw(f.t, "removed")
		_ = l.replica.RemoveMember(f.clock(l), m.Replica)
		return
	}
	id := members.LastReplica + 1
	if _, ok := f.nodes[id]; ok || len(f.order) >= 12 {
		return
	}
	n := f.addNode(id)
	f.start(n)
	_ = l.replica.AddMember(f.clock(l), manager.ReplicaMember{Replica: id, Address: "new", Disk: n.disk.id})
}

func (f *faults) transferLeader() {
	if l := f.leader(); l != nil {
		l.replica.TransferLeadership(f.clock(l))
	}
}

// stepDown prepares a node for the end of its process, which comes with a later action or when all faults end.
func (f *faults) stepDown() {
	if n := f.node(); n.up {
		n.replica.StepDown(f.clock(n))
		n.stopping = true
	}
}

// stopNodes ends the processes of the nodes that were prepared for it.
func (f *faults) stopNodes() {
	for _, id := range f.order {
		if n := f.nodes[id]; n.stopping && n.up {
			f.crash(n, true)
		}
	}
}

// checkRecovery ends all faults and requires that the group commits again and that all members agree.
func (f *faults) checkRecovery() {
	f.stopNodes()
	f.endFaults()
	f.delay = 20
	f.run(15_000)
	require.NoError(f.t, f.failure)
	l := f.leader()
	require.NotNil(f.t, l, "no leader after all faults ended")
	before := l.register.Index
	f.propose(l, l.register.Value)
	f.run(5_000)
	require.NoError(f.t, f.failure)
	l = f.leader()
	require.NotNil(f.t, l)
	require.Greater(f.t, l.register.Index, before, "nothing commits after all faults ended")
	for _, m := range l.replica.Status().Members.List {
		require.Equal(f.t, l.register, f.nodes[m.Replica].register, "replica %d", m.Replica)
	}
	require.NoError(f.t, f.linearizable())
}

func runFaults(n int, tune func(*replicator.Options)) func(*rapid.T) {
	return func(t *rapid.T) {
		f := &faults{sim: newTunedSim(rapid.Uint64().Draw(t, "seed"), n, tune), t: t}
		f.run(3_000)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			f.step()
			require.NoError(t, f.failure)
		}
		f.checkRecovery()
	}
}

func TestReplicasUnderFaults(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(map[int]string{1: "one", 3: "three", 5: "five"}[n], func(t *testing.T) {
			rapid.Check(t, runFaults(n, nil))
		})
	}
}

// TestReplicasThatPassVotesUnderFaults plays the same with votes that pass between voters and learners.
func TestReplicasThatPassVotesUnderFaults(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(map[int]string{3: "three", 5: "five"}[n], func(t *testing.T) {
			rapid.Check(t, runFaults(n, fleetOptions))
		})
	}
}

// TestLeasesWhileVotesPass checks that a leader which a quorum has confirmed within an election timeout is the only one,
// while replicas with sound clocks are cut off, stop, crash and pass their votes.
func TestLeasesWhileVotesPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faults{sim: newTunedSim(rapid.Uint64().Draw(t, "seed"), 3, fleetOptions), t: t}
		f.run(3_000)
		for range 2 {
			f.changeMembers()
			f.run(1_000)
		}
		actions := []func(){f.operate, f.crashOne, f.restart, f.partition, f.oneWay, f.healNetwork, f.healNetwork, f.stepDown, f.transferLeader, f.toggleDiskHang}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			for range rapid.IntRange(1, 60).Draw(t, "pause") {
				f.run(30)
				f.checkLeases()
			}
			require.NoError(t, f.failure)
		}
	})
}

// checkLeases fails if a leader holds a lease while another one leads in a later term.
func (f *faults) checkLeases() {
	for _, id := range f.order {
		n := f.nodes[id]
		if !n.up {
			continue
		}
		at, confirmed := n.replica.ConfirmedAt()
		if !confirmed || f.clock(n).Sub(at) >= n.replica.Options.ElectionTimeout {
			continue
		}
		if l := f.leader(); l != n && l.replica.Status().Term > n.replica.Status().Term {
			f.fail("leader %d holds a lease, confirmed at %d, while %d leads", n.id, at, l.id)
		}
	}
}
