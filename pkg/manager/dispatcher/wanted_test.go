package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newKindFleet returns a pool of four workers, one of them of kind b, another pool and VMs on standby. A task that lasts for a minute
// runs on the worker of kind b.
func newKindFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.duration = func(w *fakeWorker, id manager.TaskID) manager.Duration {
		if id.Graph == "long" {
			return manager.Minute
		}
		return w.taskTime
	}
	for i, id := range []manager.WorkerID{"w1", "w2", "w3", "w4"} {
		w := f.worker(id, pool, 8000)
		w.report.Labels = []manager.Label{"a"}
		if i == 0 {
			w.report.Labels = []manager.Label{"b"}
		}
	}
	f.worker("o1", other, 8000)
	f.worker("o2", other, 8000)
	f.run(4 * manager.Second)
	off := manager.Resources{ProcessorMilliCores: 8000, MemoryMegaBytes: 1 << 20}
	f.listLabels(map[manager.VMID]dispatcher.ListedVM{"vm-s1": {Pool: spare, Up: true, Capacity: off, Labels: []manager.Label{"a"}}})
	long := longTask
	long.Requires = "b"
	f.submit("long", long)
	f.run(1 * manager.Second)
	require.Len(t, f.workers[0].runs, 1)
	return f
}

// listLabels sends a list of VMs with the labels of the workers.
func (f *fleet) listLabels(vms map[manager.VMID]dispatcher.ListedVM) {
	for _, w := range f.workers {
		vms[w.report.VM] = dispatcher.ListedVM{Pool: w.report.Pool, Up: true, Capacity: w.report.Capacity, Labels: w.report.Labels}
	}
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: vms}})
	f.runCycle()
}

func onKind(s manager.GraphStep) manager.GraphStep {
	s.Requires = "b"
	return s
}

// Guards against accepted jobs that wait without an end for a VM which gets no work, as it is to be moved or maintained once its
// last run has ended.
func TestJobsGetTheVMTheyNeedAlthoughItIsToLeave(t *testing.T) {
	surplus := func(f *fleet) { f.run(15 * manager.Second) }
	wave := func(f *fleet) {
		f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 30_000, Cap: 1}})
		f.run(3 * manager.Second)
	}
	large := onKind(task(500, 1))
	large.Requires, large.PerTask.MemoryMegaBytes = "", 3<<20
	for _, c := range []struct {
		name  string
		leave func(f *fleet)
		step  manager.GraphStep
		wait  manager.Duration
	}{
		{"surplus, tasks of its kind", surplus, onKind(task(1000, 3)), idleWait},
		{"surplus, long-running task", surplus, onKind(longRunning(500, 1, 1)), 2 * idleWait},
		{"surplus, gang", surplus, onKind(gang(1000, 3)), idleWait},
		{"surplus, one task a worker", surplus, func() manager.GraphStep { s := onKind(task(500, 1)); s.MaxPerWorker = 1; return s }(), idleWait},
		{"surplus, task that only this VM can hold", surplus, large, idleWait},
		{"wave, tasks of its kind", wave, onKind(task(1000, 3)), idleWait},
		{"wave, long-running task", wave, onKind(longRunning(500, 1, 1)), 2 * idleWait},
		{"wave, gang", wave, onKind(gang(1000, 3)), idleWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newKindFleet(t)
			if c.step.PerTask.MemoryMegaBytes > 1<<20 {
				f.workers[0].report.Capacity.MemoryMegaBytes = 4 << 20
				f.run(1 * manager.Second)
				f.listLabels(map[manager.VMID]dispatcher.ListedVM{"vm-s1": {Pool: spare, Up: true, Capacity: f.workers[1].report.Capacity, Labels: []manager.Label{"a"}}})
			}
			c.leave(f)
			call := f.submit("job", c.step)
			f.run(c.wait)
			require.NoError(t, f.answers[call].Err)
			require.Contains(t, f.state.Jobs, manager.GraphID("long"))
			require.NotZero(t, f.started("job"), "nothing of the job has started")
		})
	}
}

// started counts the starts of a job's tasks.
func (f *fleet) started(id manager.GraphID) int {
	n := 0
	for _, w := range f.workers {
		for _, s := range w.started {
			if s.Task.Graph == id {
				n++
			}
		}
	}
	return n
}

// A VM that jobs of its kind keep asking for gets its maintenance between them.
func TestWantedVMIsMaintained(t *testing.T) {
	f := newKindFleet(t)
	f.acceptOrders = true
	f.workers[0].end(manager.TaskID{Graph: "long"}, manager.RunDone)
	f.run(1 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 30_000, Cap: 1}})
	for i := range 20 {
		f.submit(manager.GraphID("job-"+string(rune('a'+i))), onKind(task(1000, 1)))
		f.run(1 * manager.Second)
	}
	require.Contains(t, f.platformOrders, dispatcher.PlatformOrder{VM: "vm-w1", Wave: 1, Token: 1})
}
