package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// shrinkGrace is how long after a report of a smaller capacity a start may still use the larger one.
const shrinkGrace = 3 * manager.Second

// capacityCheck collects the starts that exceed the capacity of a worker that starts whatever it is told to.
type capacityCheck struct {
	w *fakeWorker
	// reports holds the capacities that the worker has reported, oldest first.
	reports []reportedCapacity
	// exceeded describes each start that brought the worker over its capacity.
	exceeded []string
}

type reportedCapacity struct {
	at       manager.Time
	capacity manager.Resources
}

// checkCapacity checks each start on the worker from now on.
func checkCapacity(w *fakeWorker) *capacityCheck {
	c := &capacityCheck{w: w}
	w.onReport, w.onStart = c.recordReport, c.recordStart
	return c
}

func (c *capacityCheck) recordReport(r manager.WorkerReport) {
	if n := len(c.reports); n == 0 || c.reports[n-1].capacity != r.Capacity {
		c.reports = append(c.reports, reportedCapacity{at: c.w.f.now, capacity: r.Capacity})
	}
}

// usable returns the largest capacity that a start may use now.
func (c *capacityCheck) usable() manager.Resources {
	n := len(c.reports)
	usable := c.reports[n-1].capacity
	for i := n - 2; i >= 0 && c.w.f.now.Sub(c.reports[i+1].at) <= shrinkGrace; i-- {
		usable = usable.Max(c.reports[i].capacity)
	}
	return usable
}

// used returns what all runs of the worker use, those that are being stopped included.
func (w *fakeWorker) used() manager.Resources {
	var used manager.Resources
	for id := range w.runs {
		used = used.Add(w.f.needs(id))
	}
	return used
}

// needs returns what a task uses of a worker's capacity.
func (f *fleet) needs(id manager.TaskID) manager.Resources {
	s := f.state.Jobs[id.Graph].Steps[id.Step]
	if s.BestEffort {
		s.PerTask.ProcessorMilliCores = 0
	}
	return s.PerTask
}

func (c *capacityCheck) recordStart(s manager.StartOrder) bool {
	if used, usable := c.w.used().Add(c.w.f.needs(s.Task)), c.usable(); !usable.Fits(used) {
		c.exceeded = append(c.exceeded, fmt.Sprintf("at %d run %d of %s uses %+v of %+v on %s", c.w.f.now, s.Run, s.Task, used, usable, c.w.report.Instance.Worker))
	}
	return true
}

// elect lets time pass without a dispatcher and starts a new one.
func (f *fleet) elect(token manager.FencingToken, d manager.Duration) {
	f.now = f.now.Add(d)
	f.events = nil
	f.startDispatcher(token)
}

// lasting returns a step whose tasks are expected to take the given time.
func lasting(s manager.GraphStep, d manager.Duration) manager.GraphStep {
	s.EstimateMs = d
	return s
}

func cores(n manager.MilliCores) manager.Resources {
	return manager.Resources{ProcessorMilliCores: n, MemoryMegaBytes: 1 << 20}
}

// Each kind of resource may shrink while tasks run. Nothing starts until enough of them have ended, and everything runs
// once the capacity has grown again.
func TestShrunkWorkerStartsNothingBeyondItsCapacity(t *testing.T) {
	full := manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 4000, Accelerators: 4}
	fill := manager.GraphStep{Count: 1, EstimateMs: 1000, BestEffort: true, PerTask: manager.Resources{ProcessorMilliCores: 9000, MemoryMegaBytes: 1000}}
	small := manager.GraphStep{Count: 1, EstimateMs: 1000, PerTask: manager.Resources{ProcessorMilliCores: 1000, MemoryMegaBytes: 1000, Accelerators: 1}}
	for name, c := range map[string]struct {
		step   manager.GraphStep
		shrunk manager.Resources
	}{
		"processors":   {small, manager.Resources{ProcessorMilliCores: 1500, MemoryMegaBytes: 4000, Accelerators: 4}},
		"memory":       {small, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1500, Accelerators: 4}},
		"accelerators": {small, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 4000, Accelerators: 1}},
		"best effort":  {fill, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1500, Accelerators: 4}},
		"all":          {small, manager.Resources{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			w := f.worker("w1", pool, 4000)
			w.report.Capacity, w.taskTime = full, 5*manager.Second
			check := checkCapacity(w)
			f.run(200)
			for i := range 12 {
				f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), lasting(c.step, w.taskTime))
			}
			f.run(500)
			require.Len(t, w.runs, 4)
			w.report.Capacity = c.shrunk
			for range 200 {
				f.run(50)
				if fits := c.shrunk.Fits(w.used()); f.now.Sub(check.reports[len(check.reports)-1].at) > shrinkGrace {
					require.True(t, fits || len(w.started) == 4, "%+v in use", w.used())
				}
			}
			require.Empty(t, check.exceeded)
			w.report.Capacity = full
			f.run(15 * manager.Second)
			require.Equal(t, 12, f.completed(12))
			require.Empty(t, check.exceeded)
		})
	}
}

// Runs that are being stopped use their capacity until their end is reported.
func TestStoppingRunsCountAfterShrink(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime, w.stopTime = manager.Minute, 900
	check := checkCapacity(w)
	f.run(200)
	f.submit("a", lasting(task(1000, 4), w.taskTime))
	f.run(500)
	require.Len(t, w.runs, 4)
	w.report.Capacity = cores(2000)
	f.run(shrinkGrace + 500)
	id := manager.GraphID("a")
	f.submit("b", lasting(task(1000, 4), w.taskTime))
	f.send(dispatcher.Event{Cancel: &id})
	for range 60 {
		f.run(50)
	}
	require.Empty(t, check.exceeded)
	require.Len(t, w.runs, 2)
	w.report.Capacity = cores(4000)
	f.run(1 * manager.Second)
	require.Len(t, w.runs, 4)
}

// The first report to a new dispatcher shows both what runs and the smaller capacity.
func TestNewDispatcherCountsRunsOfShrunkWorker(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime = 8 * manager.Second
	check := checkCapacity(w)
	f.run(200)
	f.submit("a", lasting(task(1000, 4), w.taskTime))
	f.submit("b", lasting(task(1000, 4), w.taskTime))
	f.run(300)
	require.Len(t, w.runs, 4)
	w.report.Capacity = cores(2000)
	check.recordReport(w.report)
	f.elect(2, shrinkGrace+100)
	for range 100 {
		f.run(50)
	}
	require.Empty(t, check.exceeded)
	f.run(20 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
	require.Empty(t, check.exceeded)
}

// Tasks that fit on no worker of the shrunk pool wait, and run once the capacity has grown again.
func TestTaskTooLargeForShrunkPoolWaits(t *testing.T) {
	for name, step := range map[string]manager.GraphStep{"finite": task(3000, 2), "gang": gang(3000, 2)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, second := f.worker("w1", pool, 4000), f.worker("w2", pool, 4000)
			f.run(6 * manager.Second)
			first.report.Capacity, second.report.Capacity = cores(2000), cores(2000)
			f.run(1 * manager.Second)
			call := f.submit("a", step)
			f.run(8 * manager.Second)
			require.NoError(t, f.answers[call].Err)
			require.Empty(t, f.runNumbers("a"))
			first.report.Capacity, second.report.Capacity = cores(4000), cores(4000)
			f.run(4 * manager.Second)
			require.Equal(t, manager.GraphCompleted, f.jobState("a"))
		})
	}
}

// A pool whose workers have all shrunk gets a VM for a task that no longer fits on any of them.
func TestTaskTooLargeForShrunkPoolGetsVM(t *testing.T) {
	f := newFleet(t)
	f.acceptOrders = true
	for _, id := range []manager.WorkerID{"w1", "w2"} {
		f.worker(id, pool, 4000).report.Capacity = cores(2000)
	}
	f.run(4 * manager.Second)
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{"vm-w8": {Pool: spare, Up: true, Capacity: cores(4000)}})
	f.submit("a", task(3000, 1))
	f.run(3 * manager.Second)
	require.NotEmpty(t, f.platformOrders)
	require.Equal(t, manager.VMID("vm-w8"), f.platformOrders[0].VM)
	require.Equal(t, pool, f.platformOrders[0].Pool)
	f.worker("w8", pool, 4000)
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

// A lent VM reports a smaller capacity than the platform's list shows.
func TestLentVMStaysWithinReportedCapacity(t *testing.T) {
	f := newLendingFleet(t)
	f.sendListing(offVMs(1))
	f.overload(1)
	f.run(500)
	require.Len(t, f.platformOrders, 1)
	lent := f.worker("o0", pool, 4000)
	lent.taskTime = 3 * manager.Second
	check := checkCapacity(lent)
	f.run(500)
	require.Len(t, lent.runs, 4)
	lent.report.Capacity = cores(1500)
	f.run(12 * manager.Second)
	require.Empty(t, check.exceeded)
	require.NotEmpty(t, lent.started)
}
