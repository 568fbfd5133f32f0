package dispatcher_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// A report may name a step or a task that its job does not have.
func TestReportOfAnAbsentTaskDoesNotEndTheDispatcher(t *testing.T) {
	for _, odd := range []manager.TaskID{
		{Graph: "a", Step: 1}, {Graph: "a", Step: math.MaxInt}, {Graph: "a", Task: math.MaxInt}, {Graph: "none", Step: 3, Task: 4},
		{Graph: manager.GraphID("a").Occurrence(7)},
	} {
		f := newFleet(t)
		f.worker("w1", pool, 4000)
		f.run(200)
		f.submit("a", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 500})
		f.run(200)
		require.NotPanics(t, func() {
			f.send(dispatcher.Event{Report: &manager.WorkerReport{
				Instance: manager.WorkerInstance{Worker: "odd", StartedAt: 17}, Sequence: 1, VM: "vm-odd", Pool: "elsewhere", Address: "10.9.9.9:80",
				Running: []manager.RunningTask{{Task: odd, Run: math.MaxUint64, Progress: 5}},
				Ended:   []manager.EndedRun{{Number: 1, Task: odd, Run: math.MaxUint64, How: manager.RunDone}},
			}})
			f.run(4 * manager.Second)
		}, "%+v", odd)
		require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	}
}

func TestTailLatencyNearTheMaximumThrottles(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime = 60_000
	f.run(200)
	serving := longRunning(1000, 1, 1)
	serving.TailTargetMs = 50
	f.submit("a", serving)
	f.submit("b", manager.GraphStep{Count: 1, BestEffort: true, EstimateMs: 60_000})
	f.run(2 * manager.Second)
	require.Zero(t, f.notRunning("a")+f.notRunning("b"))
	report := w.report
	report.Sequence++
	report.Running = []manager.RunningTask{
		{Task: manager.TaskID{Graph: "a"}, Run: 1, Progress: 100, Gauge: math.MaxInt64}, {Task: manager.TaskID{Graph: "b"}, Run: 1, Progress: 5},
	}
	w.silent = true
	call := f.send(dispatcher.Event{Report: &report})
	f.run(200)
	require.NotNil(t, f.answers[call].Orders)
	require.Equal(t, []manager.ThrottleOrder{{Task: manager.TaskID{Graph: "b"}, Run: 1, Share: 40}}, f.answers[call].Orders.Throttle)
}

// A worker that reports a start in the far future would be the latest instance at its address for ever.
func TestReportOfAStartInTheFutureDisplacesNoWorker(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.d.SetWall(f.now, f.now)
	f.run(200)
	odd := manager.WorkerReport{
		Instance: manager.WorkerInstance{Worker: "w1", StartedAt: f.now.Add(2 * manager.Hour)}, Sequence: 1, VM: w.report.VM, Pool: pool,
		Address: w.report.Address, Capacity: w.report.Capacity,
	}
	f.d.SetWall(f.now, f.now)
	call := f.send(dispatcher.Event{Report: &odd})
	f.run(200)
	require.True(t, manager.IsErrInvalid(f.answers[call].Err), "%+v", f.answers[call])
	f.submit("a", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 500})
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	early := odd
	early.Instance = manager.WorkerInstance{Worker: "w2", StartedAt: f.now.Add(10 * manager.Second)}
	early.VM, early.Address = "vm-w2", "10.0.0.77:80"
	f.d.SetWall(f.now, f.now)
	call = f.send(dispatcher.Event{Report: &early})
	f.run(manager.Second)
	require.NotNil(t, f.answers[call].Orders, "a clock may be some seconds behind")
}

func TestReportOfAnUnknownPoolDisplacesNoWorker(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.run(200)
	f.submit("a", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 500})
	f.run(200)
	odd := manager.WorkerReport{
		Instance: manager.WorkerInstance{Worker: "odd", StartedAt: f.now}, Sequence: 1, Pool: "elsewhere", Address: w.report.Address,
		Capacity: w.report.Capacity,
	}
	call := f.send(dispatcher.Event{Report: &odd})
	f.run(3 * manager.Second)
	require.True(t, manager.IsErrInvalid(f.answers[call].Err), "%+v", f.answers[call])
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	odd.Address = "10.0.0.77:80"
	call = f.send(dispatcher.Event{Report: &odd})
	f.run(manager.Second)
	require.NotNil(t, f.answers[call].Orders, "the pool may be in a configuration that comes later")
}

// Guards against tasks that run twice: a new dispatcher knows no worker yet, so that an odd report which comes before those of
// the workers ended the runs of an earlier instance.
func TestOddReportAfterAnElectionEndsNoRuns(t *testing.T) {
	for name, change := range map[string]func(r *manager.WorkerReport, now manager.Time){
		"pool of no configuration": func(r *manager.WorkerReport, _ manager.Time) { r.Pool = "elsewhere" },
		"start in the future":      func(r *manager.WorkerReport, now manager.Time) { r.Instance.StartedAt = now.Add(2 * manager.Hour) },
	} {
		for _, id := range []manager.WorkerID{"w1", "odd"} {
			t.Run(name+" of "+string(id), func(t *testing.T) {
				f := newFleet(t)
				w := f.worker("w1", pool, 4000)
				w.taskTime = manager.Minute
				f.run(200)
				f.submit("a", task(1000, 1))
				f.run(500)
				require.Len(t, f.state.Runs(w.report.Instance), 1)
				f.startDispatcher(2)
				f.d.SetWall(f.now, f.now)
				odd := w.report
				odd.Instance, odd.Sequence = manager.WorkerInstance{Worker: id, StartedAt: f.now}, 1
				change(&odd, f.now)
				call := f.send(dispatcher.Event{Report: &odd})
				f.runCycle()
				require.True(t, manager.IsErrInvalid(f.answers[call].Err), "%+v", f.answers[call])
				f.run(manager.Second)
				require.Len(t, f.state.Runs(w.report.Instance), 1)
			})
		}
	}
}

// Guards against runs that end with their lease: a report of another writer under the instance of a worker, with a higher
// sequence, made the worker's own reports count as late ones.
func TestReportThatChangesItsInstanceIsRefused(t *testing.T) {
	for name, change := range map[string]func(r *manager.WorkerReport){
		"pool":    func(r *manager.WorkerReport) { r.Pool = "elsewhere" },
		"VM":      func(r *manager.WorkerReport) { r.VM = "vm-other" },
		"address": func(r *manager.WorkerReport) { r.Address = "10.0.0.99:80" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			w := f.worker("w1", pool, 4000)
			w.leased = true
			f.run(200)
			f.submit("a", longRunning(1000, 1, 1))
			f.run(500)
			odd := w.report
			odd.Sequence = 1000
			change(&odd)
			call := f.send(dispatcher.Event{Report: &odd})
			f.runCycle()
			require.True(t, manager.IsErrInvalid(f.answers[call].Err), "%+v", f.answers[call])
			f.runAlone(2 * leaseTimeout)
			require.Len(t, w.runs, 1)
			require.Len(t, w.started, 1)
		})
	}
}

// An objective beyond all times must not count as one that is long past.
func TestObjectiveBeyondAllTimesIsNoReasonToRefuse(t *testing.T) {
	f := newFleet(t)
	f.send(dispatcher.Event{Configure: &manager.FleetConfiguration{
		Version: 2,
		Queues:  []manager.QueueSettings{{Queue: queue, Host: "h", Prefix: "/q/", Pool: pool, TimeoutMs: 3000, SlackMs: 3600, Stretch: 1e300, MaxAttempts: 2}},
		Pools:   []manager.PoolSettings{{Pool: pool}},
	}})
	f.worker("w1", pool, 4000)
	f.run(8 * manager.Second)
	step := manager.GraphStep{Count: 8, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900}
	f.submit("a", step)
	f.run(200)
	call := f.submit("b", step)
	f.run(200)
	require.NoError(t, f.answers[call].Err)
	f.run(8 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}

func TestRefusalOfAHugeJobNamesATime(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(8 * manager.Second)
	call := f.submit("a", manager.GraphStep{Count: 4096, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: manager.MaxDuration})
	f.run(200)
	require.NoError(t, f.answers[call].Err, "an empty pool takes any job")
	call = f.submit("b", manager.GraphStep{Count: 1, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900})
	f.run(200)
	var refused manager.ErrOverloaded
	require.ErrorAs(t, f.answers[call].Err, &refused)
	require.Positive(t, refused.RetryAfterMs)
	require.LessOrEqual(t, refused.RetryAfterMs, 5*manager.Minute)
}
