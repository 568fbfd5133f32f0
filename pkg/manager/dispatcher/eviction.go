package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// evictionWarmUp is how long a new dispatcher collects reports before it evicts long-running tasks.
	evictionWarmUp = 2 * manager.Second
	// minReportAge is the age up to which a report always counts as showing what a worker runs.
	minReportAge = 2500 * manager.Millisecond
	// forcedEvictionTime is the time left on a draining worker at which all its long-running tasks are evicted.
	forcedEvictionTime = 3 * manager.Second
	// stallFactor times its expected duration is how long a run may go on without progress.
	stallFactor = 3
	// minStallTime is the least time without progress that counts as a stall.
	minStallTime = 2500 * manager.Millisecond
	// servingProgress is the progress of a long-running task that is serving.
	servingProgress = 100
)

// evictRuns marks the runs to be stopped and started elsewhere: long-running tasks on VMs that are evacuated or drain,
// within the budget of their step, all runs on workers that are leaving, and stalled runs.
func (d *Dispatcher) evictRuns(now manager.Time) {
	for id, n := range d.maintenance.evictions {
		if d.State.OpenRun(id, n) == nil {
			delete(d.maintenance.evictions, id)
		}
	}
	for _, w := range d.sortedWorkers() {
		if w.stallCheckDue {
			w.stallCheckDue = false
			d.evictStalled(now, w)
		}
		if w.evacuating || w.latest.Draining {
			d.evictFrom(now, w)
		}
	}
}

// evictFrom marks the runs on a worker that is evacuated, drains or is leaving.
func (d *Dispatcher) evictFrom(now manager.Time, w *worker) {
	forced := w.leaving || w.latest.Draining && w.latest.RemainingMs < forcedEvictionTime
	for _, id := range sortedTasks(d.State.Runs(w.instance)) {
		j := d.State.Jobs[id.Graph]
		if j == nil || !w.leaving && !j.Steps[id.Step].LongRunning || d.maintenance.evictions[id] != 0 {
			continue
		}
		if forced || d.mayEvict(now, j, id) {
			d.maintenance.evictions[id] = d.State.Runs(w.instance)[id].Number
			w.ordersChanged = true
			d.log(manager.LogRunEvicted, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "Evacuating", w.evacuating,
				"Draining", w.latest.Draining, "Leaving", w.leaving)
		}
	}
}

func (d *Dispatcher) evicted(w *worker, id manager.TaskID) bool {
	n, ok := d.maintenance.evictions[id]
	return ok && w.running[id].Run == n
}

// mayEvict reports whether a long-running task may be stopped within the unavailability budget of its step.
func (d *Dispatcher) mayEvict(now manager.Time, j *recorder.Job, id manager.TaskID) bool {
	if now.Sub(d.StartedAt) < evictionWarmUp {
		return false
	}
	budget := j.Steps[id.Step].MaxUnavailable
	if budget == 0 {
		return true
	}
	unavailable := 0
	for i := range j.Tasks[id.Step] {
		other := manager.TaskID{Graph: id.Graph, Step: id.Step, Task: i}
		if other != id && !d.isServing(now, other) {
			unavailable++
		}
	}
	return unavailable < budget
}

// isServing reports whether a long-running task is known to be serving and not about to be stopped.
func (d *Dispatcher) isServing(now manager.Time, id manager.TaskID) bool {
	_, t := d.State.Task(id)
	if t == nil || t.Open == nil || d.maintenance.evictions[id] != 0 {
		return false
	}
	w := d.workers[t.Open.Instance.Worker]
	if w == nil || w.instance != t.Open.Instance || w.latest.Draining || now.Sub(w.heardAt) > d.maxReportAge() {
		return false
	}
	r, ok := w.running[id]
	return ok && r.Run == t.Open.Number && r.Progress >= servingProgress
}

// evictStalled evicts the runs without progress for much longer than their expected duration.
func (d *Dispatcher) evictStalled(now manager.Time, w *worker) {
	for id, m := range w.progress {
		j, t := d.State.Task(id)
		if t == nil || t.Open == nil || t.Open.Number != m.run || t.Open.Instance != w.instance || d.maintenance.evictions[id] != 0 {
			continue
		}
		s := j.Steps[id.Step]
		unchanged := now.Sub(m.unchangedSince)
		limit := max(minStallTime, manager.DurationOf(stallFactor*float64(d.times.task(j.Queue, s))*d.slowdown(w, id)))
		if s.LongRunning {
			limit = minStallTime
		}
		if unchanged < limit || s.LongRunning && m.value >= servingProgress || w.shares[id] < 100 && s.BestEffort {
			continue
		}
		d.maintenance.evictions[id] = m.run
		w.ordersChanged = true
		w.health.recordEnd(now, manager.RunFailed)
		d.log(manager.LogRunStalled, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "StillMs", unchanged, "Progress", m.value)
	}
}
