package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// settleTime is how long a new dispatcher hears the workers before it takes a lasting task from work.
	evictionWarmUp = 2 * manager.Second
	// freshReport is the age up to which a report shows that a task is at work.
	minReportAge = 2500 * manager.Millisecond
	// drainRush is the time left on a draining worker at which everything is called back.
	forcedEvictionTime = 3 * manager.Second
	// stallFactor times its expected time is how long a run without progress may take.
	stallFactor = 3
	// stallTime is the least time without progress that counts as a stall.
	minStallTime = 2500 * manager.Millisecond
	// atWork is the progress of a lasting task that serves.
	servingProgress = 100
)

// recall marks the runs that are to be stopped and started elsewhere: the lasting ones on VMs that are
// to be emptied, within the budget of their step, and runs that stand still.
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
		if !w.evacuating && !w.latest.Draining {
			continue
		}
		for _, id := range sortedTasks(d.State.Runs(w.instance)) {
			j := d.State.Jobs[id.Graph]
			if j == nil || !j.Steps[id.Step].Lasting || d.maintenance.evictions[id] != 0 {
				continue
			}
			rush := w.latest.Draining && w.latest.RemainingMs < forcedEvictionTime
			if rush || d.mayEvict(now, j, id) {
				d.maintenance.evictions[id] = d.State.Runs(w.instance)[id].Number
				w.ordersChanged = true
				d.log(manager.LogRunRecalled, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "Evacuating", w.evacuating, "Draining", w.latest.Draining)
			}
		}
	}
}

func (d *Dispatcher) evicted(w *worker, id manager.TaskID) bool {
	n, ok := d.maintenance.evictions[id]
	return ok && w.running[id].Run == n
}

// mayTake tells whether a lasting task may leave work without spending more than its step's budget.
func (d *Dispatcher) mayEvict(now manager.Time, j *recorder.Job, id manager.TaskID) bool {
	if now.Sub(d.StartedAt) < evictionWarmUp {
		return false
	}
	budget := j.Steps[id.Step].MaxUnavailable
	if budget == 0 {
		return true
	}
	away := 0
	for i := range j.Tasks[id.Step] {
		other := manager.TaskID{Graph: id.Graph, Step: id.Step, Task: i}
		if other != id && !d.isServing(now, other) {
			away++
		}
	}
	return away < budget
}

// works tells whether a lasting task is known to be at work and will stay so.
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

// recallStalled calls back the runs that make no progress for much longer than such tasks take.
func (d *Dispatcher) evictStalled(now manager.Time, w *worker) {
	for id, m := range w.progress {
		j, t := d.State.Task(id)
		if t == nil || t.Open == nil || t.Open.Number != m.run || t.Open.Instance != w.instance || d.maintenance.evictions[id] != 0 {
			continue
		}
		s := j.Steps[id.Step]
		still := now.Sub(m.sinceAt)
		limit := max(minStallTime, stallFactor*d.times.task(j.Queue, s))
		if s.Lasting {
			limit = minStallTime
		}
		if still < limit || s.Lasting && m.value >= servingProgress || w.pace[id] < 100 && s.Filler {
			continue
		}
		d.maintenance.evictions[id] = m.run
		w.ordersChanged = true
		w.health.recordEnd(now, manager.RunFailed)
		d.log(manager.LogRunStalled, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "StillMs", still, "Progress", m.value)
	}
}
