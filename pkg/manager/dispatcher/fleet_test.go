package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

func (f *fleet) list(vms map[manager.VMID]dispatcher.ListedVM) {
	for _, w := range f.workers {
		vms[w.report.VM] = dispatcher.ListedVM{Pool: w.report.Pool, Up: true, Capacity: w.report.Capacity}
	}
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: vms}})
	f.step()
}

// away counts the tasks of the first step of a job that no worker has at work.
func (f *fleet) away(id manager.GraphID) int {
	n := 0
	for i := range f.book.Jobs[id].Tasks[0] {
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

// Emptying VMs for their upkeep takes lasting tasks from work within their budget only, and no more VMs
// are down than the cap allows.
func TestWaveKeepsBudgetAndCap(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4", "w5"} {
		f.worker(id, pool, 4000)
	}
	f.run(200)
	f.submit("a", lasting(1000, 3, 1))
	f.run(4 * manager.Second)
	require.Zero(t, f.away("a"))
	wave := manager.UpkeepWave{Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2", "vm-w3", "vm-w4", "vm-w5"}, DurationMs: 30_000, Cap: 1}
	f.send(dispatcher.Event{Wave: &wave})
	down := map[manager.VMID]manager.Time{}
	for range 600 {
		f.run(50)
		require.LessOrEqual(t, f.away("a"), 1, "the budget of the step is spent")
		for _, duty := range f.duties {
			require.Equal(t, uint64(1), duty.Wave)
			down[duty.VM] = f.now
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: duty, Outcome: dispatcher.OutcomeAccepted}})
		}
		f.duties = nil
		require.LessOrEqual(t, len(down), 1, "more VMs are down than the cap allows")
		f.comeBack(down)
	}
	require.True(t, f.book.Waves[1].Completed())
}

// comeBack gives the VMs that were down for two seconds a new life.
func (f *fleet) comeBack(down map[manager.VMID]manager.Time) {
	for _, w := range f.workers {
		at, ok := down[w.report.VM]
		if !ok {
			continue
		}
		w.silent = f.now.Sub(at) < 2*manager.Second
		require.Empty(f.t, w.runs, "a VM went down with work on it")
		if !w.silent {
			w.report.Life.Born, w.report.Sequence, w.report.Ended, w.ends, w.ticket = f.now, 0, nil, 0, 0
			delete(down, w.report.VM)
		}
	}
}

func TestOrderThatMayHaveBeenTakenGoesOutAgain(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(4 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(500)
	require.Len(t, f.duties, 1)
	f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: f.duties[0], Outcome: dispatcher.OutcomeUnknown}})
	f.run(1 * manager.Second)
	require.Len(t, f.duties, 2)
	require.Equal(t, f.duties[0], f.duties[1])
	require.Equal(t, recorder.MaintenanceOrdered, f.book.Waves[1].State["vm-w1"])
	f.lead(2)
	f.run(2 * manager.Second)
	require.Len(t, f.duties, 2, "the platform was called too soon after another dispatcher")
	f.run(2 * manager.Second)
	require.Len(t, f.duties, 3)
	require.Equal(t, manager.OrderToken(2), f.duties[2].Token)
}

// A queue in its turn asks several times what its pool holds: VMs that are off come and go.
func TestSurgeGetsTheVMsThatAreOff(t *testing.T) {
	f := newFleet(t)
	f.answerDuty = true
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.worker("w3", other, 4000)
	f.run(4 * manager.Second)
	off := manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20}
	f.list(map[manager.VMID]dispatcher.ListedVM{
		"vm-w8": {Pool: spare, Up: true, Capacity: off}, "vm-w9": {Pool: spare, Up: true, Capacity: off},
	})
	f.submit("first", task(100, 1))
	f.run(3 * manager.Second)
	require.Empty(t, f.duties, "nothing lacks room")
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		f.submit(id, task(1000, 6))
	}
	f.run(500)
	require.Len(t, f.duties, 2)
	for _, duty := range f.duties {
		require.Equal(t, pool, duty.Pool)
	}
	f.duties = nil
	f.worker("w8", pool, 4000)
	f.worker("w9", pool, 4000)
	f.run(4 * manager.Second)
	require.Empty(t, f.book.Moves)
	require.NotEmpty(t, f.workers[3].started)
	f.run(8 * manager.Second)
	require.Len(t, f.duties, 2, "as many VMs as were lent are switched off again")
	for _, duty := range f.duties {
		require.Equal(t, spare, duty.Pool)
	}
}

func TestLastingTasksFillOneWorkerAfterTheOther(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4"} {
		f.worker(id, pool, 4000)
	}
	f.run(700)
	for _, id := range []manager.GraphID{"a", "b", "c"} {
		f.submit(id, lasting(1000, 1, 1))
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

// A worker whose address went to one of another VM is gone, and so may its VM be.
func TestReusedAddressEndsTheUpkeepOfTheOldVM(t *testing.T) {
	f := newFleet(t)
	f.answerDuty = true
	old := f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(8 * manager.Second)
	old.silent = true
	f.run(100)
	f.worker("w3", pool, 4000).report.Address = old.report.Address
	f.run(1 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(1 * manager.Second)
	require.True(t, f.d.WantsListing(f.now), "nobody asks whether the VM is still there")
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: map[manager.VMID]dispatcher.ListedVM{}}})
	f.run(1 * manager.Second)
	require.True(t, f.book.Waves[1].Completed())
}

// A new dispatcher orders at once for VMs that its predecessor left alone for long enough, and waits for
// the others.
func TestTakeoverOrdersWhatWasLeftAlone(t *testing.T) {
	f := newFleet(t)
	f.answerDuty = true
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(4 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 20_000, Cap: 1}})
	f.run(500)
	require.Len(t, f.duties, 1)
	// The upkeep takes its time.
	f.run(1100)
	f.workers[0].silent = false
	f.workers[0].crash()
	f.run(300)
	require.True(t, f.book.Waves[1].Completed())
	f.lead(2)
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: 2, VMs: []manager.VMID{"vm-w1", "vm-w2"}, DurationMs: 20_000, Cap: 2}})
	f.run(1 * manager.Second)
	require.Len(t, f.duties, 2)
	require.Equal(t, manager.VMID("vm-w2"), f.duties[1].VM, "vm-w1 was ordered less than the gap before")
	f.run(4 * manager.Second)
	require.Len(t, f.duties, 3)
	require.Equal(t, manager.VMID("vm-w1"), f.duties[2].VM)
}

// A worker's farewell names no life: a late one must not free the tasks of a life that works on.
func TestLateFarewellFreesNothing(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.work = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	f.send(dispatcher.Event{Leave: &manager.WorkerLife{Worker: "w1"}})
	f.run(100)
	require.Len(t, f.book.Runs(w.report.Life), 1)
	w.report.Draining = true
	f.run(1 * manager.Second)
	f.send(dispatcher.Event{Leave: &manager.WorkerLife{Worker: "w1"}})
	f.step()
	require.Empty(t, f.book.Runs(w.report.Life))
}

// With more workers than connections to them can be held, the rest reports through other nodes, whose calls
// must not wait there either.
func TestWorkersBeyondTheBoundReportElsewhere(t *testing.T) {
	f := newFleet(t)
	f.d = dispatcher.New(f.book, 1, dispatcher.Options{Address: "leader", MaxDirect: 2}, f.now)
	report := func(id manager.WorkerID, sequence manager.Sequence, forwarded bool) dispatcher.CallID {
		return f.send(dispatcher.Event{Forwarded: forwarded, Report: &manager.WorkerReport{
			Life: manager.WorkerLife{Worker: id, Born: 1}, Sequence: sequence, VM: manager.VMID("vm-" + id), Pool: pool, Address: manager.Address(id),
		}})
	}
	asked := report("w1", 1, true)
	f.step()
	f.now = f.now.Add(700)
	f.step()
	require.Equal(t, manager.Address("leader"), f.answers[asked].Orders.ReportTo)
	report("w1", 2, false)
	report("w2", 1, false)
	f.step()
	third := report("w3", 1, true)
	f.step()
	require.NotNil(t, f.answers[third].Orders, "a forwarded report waits although connections are scarce")
	require.Empty(t, f.answers[third].Orders.ReportTo)
	f.now = f.now.Add(3000)
	again := report("w1", 3, true)
	f.step()
	f.now = f.now.Add(700)
	f.step()
	require.Equal(t, manager.Address("leader"), f.answers[again].Orders.ReportTo, "there is room again")
}

// Thousands of workers that report three times a second would take the leader's whole processor.
func TestReportsOfALargeFleetAreSpread(t *testing.T) {
	for _, c := range []struct {
		workers int
		want    manager.Duration
	}{{100, dispatcher.DefaultNext}, {2000, 1500}, {5000, 2000}} {
		f := newFleet(t)
		var ticket dispatcher.CallID
		for i := range c.workers {
			id := manager.WorkerID(fmt.Sprintf("w%d", i))
			ticket = f.send(dispatcher.Event{Report: &manager.WorkerReport{
				Life: manager.WorkerLife{Worker: id, Born: 1}, Sequence: 1, VM: manager.VMID(id), Pool: pool, Address: manager.Address(id),
			}})
		}
		f.step()
		f.now = f.now.Add(700)
		f.step()
		require.Equal(t, c.want, f.answers[ticket].Orders.NextMs)
	}
}
