package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// newListFleet returns a fleet of two workers whose dispatcher has heard all of them.
func newListFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(6 * manager.Second)
	return f
}

// answerList delivers a list that was requested at a time and shows the given VMs.
func (f *fleet) answerList(asked manager.Time, pages int, vms ...manager.VMID) {
	l := dispatcher.Listing{AskedAt: asked, Pages: pages, VMs: map[manager.VMID]dispatcher.ListedVM{}}
	for _, vm := range vms {
		l.VMs[vm] = dispatcher.ListedVM{Pool: pool, Up: true, Capacity: cores(4000)}
	}
	f.send(dispatcher.Event{Listing: &l})
	f.run(100)
}

func (f *fleet) startWave(wave uint64, vms ...manager.VMID) {
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: wave, VMs: vms, DurationMs: 30_000, Cap: 1}})
	f.run(100)
}

// Guards against a wave that is completed without the maintenance of a VM which was added after the list was requested.
func TestListOlderThanTheWaveProvesNothing(t *testing.T) {
	f := newListFleet(t)
	asked := f.now
	f.run(500)
	f.startWave(1, "vm-new")
	f.startWave(2, "vm-w1", "vm-new")
	f.answerList(asked, 1, "vm-w1", "vm-w2")
	require.False(t, f.state.Waves[1].Completed(), "the list was requested before the wave was accepted")
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[2].State["vm-new"])
	require.True(t, f.d.WantsListing(f.now.Add(2*manager.Second)), "another list is read")
	f.run(100)
	f.answerList(f.now, 1, "vm-w1", "vm-w2")
	require.True(t, f.state.Waves[1].Completed(), "the VM is gone")
	require.Equal(t, recorder.MaintenanceDone, f.state.Waves[2].State["vm-new"])
	asked = f.now
	f.startWave(3, "vm-new", "vm-gone")
	f.answerList(asked, 1, "vm-w1", "vm-w2")
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[3].State["vm-new"], "a later wave needs a later list")
	f.answerList(f.now, 1, "vm-w1", "vm-w2", "vm-new")
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[3].State["vm-new"])
	require.Equal(t, recorder.MaintenanceDone, f.state.Waves[3].State["vm-gone"])
}

// Guards against a new dispatcher that takes a list as news which its predecessor on the node has requested.
func TestListOfAnEarlierDispatcherProvesNothing(t *testing.T) {
	f := newListFleet(t)
	asked := f.now
	f.run(200)
	f.startWave(1, "vm-new")
	f.elect(2, 300)
	f.run(6 * manager.Second)
	f.answerList(asked, 1, "vm-w1", "vm-w2")
	require.False(t, f.state.Waves[1].Completed())
	f.answerList(f.now, 1, "vm-w1", "vm-w2")
	require.True(t, f.state.Waves[1].Completed(), "a VM that is gone ends its maintenance after a change of the leader")
}

// Guards against a VM that is taken for gone by a list requested before its worker reported.
func TestListOlderThanAReportProvesNothing(t *testing.T) {
	f := newListFleet(t)
	f.startWave(1, "vm-w3")
	f.run(100)
	asked := f.now
	f.run(100)
	w := f.worker("w3", pool, 4000)
	f.platformOrders = nil
	f.run(500)
	w.report.Draining = true
	f.run(600)
	f.send(dispatcher.Event{Leave: &w.report.Instance})
	f.run(100)
	w.silent = true
	f.run(1 * manager.Second)
	f.answerList(asked, 1, "vm-w1", "vm-w2")
	require.False(t, f.state.Waves[1].Completed(), "the VM was there after the list was requested")
	f.run(30 * manager.Second)
	f.answerList(f.now, 1, "vm-w1", "vm-w2")
	require.True(t, f.state.Waves[1].Completed())
}

// Guards against an older list that replaces a newer one, as both were under way.
func TestListsAnsweredInTheOtherOrder(t *testing.T) {
	f := newListFleet(t)
	first := f.now
	f.run(2 * manager.Second)
	f.startWave(1, "vm-new")
	f.run(100)
	second := f.now
	f.answerList(second, 1, "vm-w1", "vm-w2", "vm-new")
	f.answerList(first, 1, "vm-w1", "vm-w2")
	require.False(t, f.state.Waves[1].Completed())
	step := task(1000, 1)
	step.Requires = "ssd"
	l := dispatcher.Listing{AskedAt: f.now, VMs: map[manager.VMID]dispatcher.ListedVM{
		"vm-off": {Pool: spare, Up: true, Capacity: cores(4000), Labels: []manager.Label{"ssd"}},
	}}
	f.send(dispatcher.Event{Listing: &l})
	f.run(100)
	f.answerList(first, 1, "vm-w1", "vm-w2")
	f.submit("s", step)
	f.run(3 * manager.Second)
	require.Contains(t, f.state.Moves, manager.VMID("vm-off"), "the newest list shows a VM for the step")
}

// Guards against a VM that moves to another page while a list of several pages is read.
func TestListOfSeveralPagesNeedsAnother(t *testing.T) {
	f := newListFleet(t)
	f.startWave(1, "vm-moved", "vm-gone")
	f.run(100)
	f.answerList(f.now, 3, "vm-w1", "vm-w2")
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-moved"])
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-gone"])
	f.run(2 * manager.Second)
	f.answerList(f.now, 3, "vm-w1", "vm-w2", "vm-moved")
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-moved"])
	require.Equal(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-gone"])
}

// Guards against the late outcome of an earlier dispatcher's order that ends a move of this one.
func TestOutcomeOfAnEarlierDispatchersOrderIsIgnored(t *testing.T) {
	f := newListFleet(t)
	order := dispatcher.PlatformOrder{VM: "vm-off", Pool: other, Token: 1}
	f.elect(2, 300)
	f.state.Apply(recorder.Changes{At: f.now, Move: []recorder.Move{{VM: "vm-off", Pool: pool, From: spare}}})
	f.run(100)
	f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: dispatcher.OutcomeBusy}})
	f.run(100)
	require.Equal(t, pool, f.state.Moves["vm-off"])
}

// Guards against a list, requested before a VM arrived in its pool, that takes the VM out of reach until the next list.
func TestListOlderThanAnArrivalKeepsThePool(t *testing.T) {
	f := newListFleet(t)
	vms := func(p manager.PoolID) map[manager.VMID]dispatcher.ListedVM {
		return map[manager.VMID]dispatcher.ListedVM{"vm-off": {Pool: p, Up: true, Capacity: cores(4000), Labels: []manager.Label{"ssd"}}}
	}
	asked := f.now
	f.run(200)
	f.state.Apply(recorder.Changes{At: f.now, Move: []recorder.Move{{VM: "vm-off", Pool: spare, From: other}}})
	f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{
		Order: dispatcher.PlatformOrder{VM: "vm-off", Pool: spare, Token: 1}, Outcome: dispatcher.OutcomeAccepted,
	}})
	f.run(100)
	require.Empty(t, f.state.Moves)
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: asked, VMs: vms(other)}})
	f.run(3 * manager.Second)
	step := task(1000, 1)
	step.Requires = "ssd"
	f.submit("s", step)
	f.run(3 * manager.Second)
	require.Equal(t, pool, f.state.Moves["vm-off"], "the VM is switched off and can be lent")
}

// Guards against a VM that is never lent again, as one of the same name was refused before.
func TestRefusedMoveIsForgottenOnceTheVMIsGone(t *testing.T) {
	f := newListFleet(t)
	f.answerList(f.now, 1, "vm-w1", "vm-w2")
	f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{
		Order: dispatcher.PlatformOrder{VM: "vm-off", Pool: pool, Token: 1}, Outcome: dispatcher.OutcomeInvalid,
	}})
	f.run(100)
	f.answerList(f.now, 1, "vm-w1", "vm-w2")
	f.run(1 * manager.Second)
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: map[manager.VMID]dispatcher.ListedVM{
		"vm-off": {Pool: spare, Up: true, Capacity: cores(4000), Labels: []manager.Label{"ssd"}},
	}}})
	f.run(100)
	step := task(1000, 1)
	step.Requires = "ssd"
	f.submit("s", step)
	f.run(3 * manager.Second)
	require.Equal(t, pool, f.state.Moves["vm-off"])
}
