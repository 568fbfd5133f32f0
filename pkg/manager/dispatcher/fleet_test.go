package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

func (f *fleet) sendListing(vms map[manager.VMID]dispatcher.ListedVM) {
	for _, w := range f.workers {
		vms[w.report.VM] = dispatcher.ListedVM{Pool: w.report.Pool, Up: true, Capacity: w.report.Capacity}
	}
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: vms}})
	f.runCycle()
}

// notRunning counts the tasks of the first step of a job that no worker runs.
func (f *fleet) notRunning(id manager.GraphID) int {
	n := 0
	for i := range f.state.Jobs[id].Tasks[0] {
		at := false
		for _, w := range f.workers {
			_, ok := w.runs[manager.TaskID{Graph: id, Task: i}]
			at = at || ok
		}
		if !at {
			n++
		}
	}
	return n
}

// Evacuating VMs for maintenance stops long-running tasks only within their budget, and no more VMs are down than the
// cap allows.
func TestWaveKeepsBudgetAndCap(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4", "w5"} {
		f.worker(id, pool, 4000)
	}
	f.run(200)
	f.submit("a", longRunning(1000, 3, 1))
	f.run(4 * manager.Second)
	require.Zero(t, f.notRunning("a"))
	wave := manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2", "vm-w3", "vm-w4", "vm-w5"}, DurationMs: 30_000, Cap: 1}
	f.send(dispatcher.Event{Wave: &wave})
	down := map[manager.VMID]manager.Time{}
	for range 600 {
		f.run(50)
		require.LessOrEqual(t, f.notRunning("a"), 1, "more tasks are unavailable than the budget of the step allows")
		for _, order := range f.platformOrders {
			require.Equal(t, uint64(1), order.Wave)
			down[order.VM] = f.now
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: dispatcher.OutcomeAccepted}})
		}
		f.platformOrders = nil
		require.LessOrEqual(t, len(down), 1, "more VMs are down than the cap allows")
		f.restartVMs(down)
	}
	require.True(t, f.state.Waves[1].Completed())
}

// restartVMs keeps the workers of VMs that are down silent and gives them a new instance after two seconds.
func (f *fleet) restartVMs(down map[manager.VMID]manager.Time) {
	for _, w := range f.workers {
		at, ok := down[w.report.VM]
		if !ok {
			continue
		}
		w.silent = f.now.Sub(at) < 2*manager.Second
		require.Empty(f.t, w.runs, "a VM went down with runs on it")
		if !w.silent {
			w.report.Instance.StartedAt, w.report.Sequence, w.report.Ended, w.lastEnd, w.call = f.now, 0, nil, 0, 0
			delete(down, w.report.VM)
		}
	}
}

func TestOrderWithUnknownOutcomeIsRepeated(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(4 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(500)
	require.Len(t, f.platformOrders, 1)
	f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: f.platformOrders[0], Outcome: dispatcher.OutcomeUnknown}})
	f.run(1 * manager.Second)
	require.Len(t, f.platformOrders, 2)
	require.Equal(t, f.platformOrders[0], f.platformOrders[1])
	require.Equal(t, recorder.MaintenanceOrdered, f.state.Waves[1].State["vm-w1"])
	f.startDispatcher(2)
	f.run(2 * manager.Second)
	require.Len(t, f.platformOrders, 2, "the order was sent too soon after one of another dispatcher")
	f.run(2 * manager.Second)
	require.Len(t, f.platformOrders, 3)
	require.Equal(t, manager.FencingToken(2), f.platformOrders[2].Token)
}

// A queue at its peak needs several times the capacity of its pool: VMs are switched on for it and off again
// afterwards.
func TestOverloadedPoolGetsStandbyVMs(t *testing.T) {
	f := newFleet(t)
	f.acceptOrders = true
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.worker("w3", other, 4000)
	f.run(4 * manager.Second)
	off := manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20}
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{
		"vm-w8": {Pool: spare, Up: true, Capacity: off}, "vm-w9": {Pool: spare, Up: true, Capacity: off},
	})
	f.submit("first", task(100, 1))
	f.run(3 * manager.Second)
	require.Empty(t, f.platformOrders, "no pool lacks capacity")
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		f.submit(id, task(1000, 6))
	}
	f.run(500)
	require.Len(t, f.platformOrders, 2)
	for _, order := range f.platformOrders {
		require.Equal(t, pool, order.Pool)
	}
	f.platformOrders = nil
	f.worker("w8", pool, 4000)
	f.worker("w9", pool, 4000)
	f.run(4 * manager.Second)
	require.Empty(t, f.state.Moves)
	require.NotEmpty(t, f.workers[3].started)
	f.run(8 * manager.Second)
	require.Len(t, f.platformOrders, 2, "not all lent VMs were switched off again")
	for _, order := range f.platformOrders {
		require.Equal(t, spare, order.Pool)
	}
}

func TestLongRunningTasksArePackedOnOneWorker(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4"} {
		f.worker(id, pool, 4000)
	}
	f.run(700)
	for _, id := range []manager.GraphID{"a", "b", "c"} {
		f.submit(id, longRunning(1000, 1, 1))
	}
	f.run(1 * manager.Second)
	busy := 0
	for _, w := range f.workers {
		if len(w.runs) > 0 {
			busy++
		}
	}
	require.Equal(t, 1, busy)
}

// A worker whose address is used by a worker on another VM is gone, and its VM may no longer exist.
func TestReusedAddressEndsMaintenanceOfOldVM(t *testing.T) {
	f := newFleet(t)
	f.acceptOrders = true
	old := f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(8 * manager.Second)
	old.silent = true
	f.run(100)
	f.worker("w3", pool, 4000).report.Address = old.report.Address
	f.run(1 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(1 * manager.Second)
	require.True(t, f.d.WantsListing(f.now), "the list of VMs is not requested")
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: map[manager.VMID]dispatcher.ListedVM{}}})
	f.run(1 * manager.Second)
	require.True(t, f.state.Waves[1].Completed())
}

// A new dispatcher sends orders at once for VMs that its predecessor sent none for long enough, and delays the others.
func TestNewDispatcherDelaysOrdersForRecentlyOrderedVMs(t *testing.T) {
	f := newFleet(t)
	f.acceptOrders = true
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(4 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(500)
	require.Len(t, f.platformOrders, 1)
	// The VM is down for maintenance.
	f.run(1100)
	f.workers[0].silent = false
	f.workers[0].restart()
	f.run(300)
	require.True(t, f.state.Waves[1].Completed())
	f.startDispatcher(2)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 2, VMs: []manager.VMID{"vm-w1", "vm-w2"}, DurationMs: 20_000, Cap: 2}})
	f.run(1 * manager.Second)
	require.Len(t, f.platformOrders, 2)
	require.Equal(t, manager.VMID("vm-w2"), f.platformOrders[1].VM, "vm-w1 had its last order less than OrderGapMs ago")
	f.run(4 * manager.Second)
	require.Len(t, f.platformOrders, 3)
	require.Equal(t, manager.VMID("vm-w1"), f.platformOrders[2].VM)
}

// A worker's leave message names no instance. A late one must not end the runs of an instance that keeps working.
func TestLateLeaveMessageEndsNoRuns(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.taskTime = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	f.send(dispatcher.Event{Leave: &manager.WorkerInstance{Worker: "w1"}})
	f.run(100)
	require.Len(t, f.state.Runs(w.report.Instance), 1)
	w.report.Draining = true
	f.run(1 * manager.Second)
	w.silent = true
	f.send(dispatcher.Event{Leave: &manager.WorkerInstance{Worker: "w1"}})
	f.run(leaseTimeout - 300)
	require.Len(t, f.state.Runs(w.report.Instance), 1, "its lease may not have expired")
	f.run(500)
	require.Empty(t, f.state.Runs(w.report.Instance))
}

// With more workers than connections that the leader can hold, the rest reports through other nodes, whose calls must
// not be held either.
func TestWorkersBeyondMaxDirectReportElsewhere(t *testing.T) {
	f := newFleet(t)
	f.d = dispatcher.New(f.state, 1, dispatcher.Options{Address: "leader", MaxDirect: 2}, f.now)
	report := func(id manager.WorkerID, sequence manager.Sequence, forwarded bool) dispatcher.CallID {
		return f.send(dispatcher.Event{Forwarded: forwarded, Report: &manager.WorkerReport{
			Instance: manager.WorkerInstance{Worker: id, StartedAt: 1}, Sequence: sequence, VM: manager.VMID("vm-" + id), Pool: pool, Address: manager.Address(id),
		}})
	}
	asked := report("w1", 1, true)
	f.runCycle()
	f.now = f.now.Add(700)
	f.runCycle()
	require.Equal(t, manager.Address("leader"), f.answers[asked].Orders.ReportTo)
	report("w1", 2, false)
	report("w2", 1, false)
	f.runCycle()
	third := report("w3", 1, true)
	f.runCycle()
	require.NotNil(t, f.answers[third].Orders, "a forwarded report is held although connections are scarce")
	require.Empty(t, f.answers[third].Orders.ReportTo)
	f.now = f.now.Add(3000)
	again := report("w1", 3, true)
	f.runCycle()
	f.now = f.now.Add(700)
	f.runCycle()
	require.Equal(t, manager.Address("leader"), f.answers[again].Orders.ReportTo, "another worker may report directly again")
}

// Thousands of workers that report three times a second would use up the leader's processor.
func TestReportsOfALargeFleetAreSpread(t *testing.T) {
	for _, c := range []struct {
		workers int
		want    manager.Duration
	}{{100, dispatcher.DefaultNext}, {2000, 1500}, {5000, 2000}} {
		f := newFleet(t)
		var call dispatcher.CallID
		for i := range c.workers {
			id := manager.WorkerID(fmt.Sprintf("w%d", i))
			call = f.send(dispatcher.Event{Report: &manager.WorkerReport{
				Instance: manager.WorkerInstance{Worker: id, StartedAt: 1}, Sequence: 1, VM: manager.VMID(id), Pool: pool, Address: manager.Address(id),
			}})
		}
		f.runCycle()
		f.now = f.now.Add(700)
		f.runCycle()
		require.Equal(t, c.want, f.answers[call].Orders.NextMs)
	}
}

func task(cores manager.MilliCores, count int) manager.GraphStep {
	return manager.GraphStep{Count: count, EstimateMs: 1000, PerTask: manager.Resources{ProcessorMilliCores: cores, MemoryMegaBytes: 100}}
}

func longRunning(cores manager.MilliCores, count, unavailable int) manager.GraphStep {
	s := task(cores, count)
	s.LongRunning, s.MaxUnavailable, s.MaxPerWorker = true, unavailable, 1
	return s
}
