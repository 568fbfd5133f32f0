package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// settleTime is how long a new dispatcher hears the workers before it takes a lasting task from work.
	settleTime = 2 * manager.Second
	// freshReport is the age up to which a report shows that a task is at work.
	freshReport = 2500 * manager.Millisecond
	// drainRush is the time left on a draining worker at which everything is called back.
	drainRush = 3 * manager.Second
	// stallFactor times its expected time is how long a run without progress may take.
	stallFactor = 3
	// stallTime is the least time without progress that counts as a stall.
	stallTime = 2500 * manager.Millisecond
	// atWork is the progress of a lasting task that serves.
	atWork = 100
)

// recall marks the runs that are to be stopped and started elsewhere: the lasting ones on VMs that are
// to be emptied, within the budget of their step, and runs that stand still.
func (d *Dispatcher) recall(now manager.Time) {
	for id, n := range d.maintenance.recalls {
		if d.State.OpenRun(id, n) == nil {
			delete(d.maintenance.recalls, id)
		}
	}
	for _, w := range d.sortedWorkers() {
		if w.stallCheckDue {
			w.stallCheckDue = false
			d.recallStalled(now, w)
		}
		if !w.evacuating && !w.latest.Draining {
			continue
		}
		for _, id := range sortedTasks(d.State.Runs(w.instance)) {
			j := d.State.Jobs[id.Graph]
			if j == nil || !j.Steps[id.Step].Lasting || d.maintenance.recalls[id] != 0 {
				continue
			}
			rush := w.latest.Draining && w.latest.RemainingMs < drainRush
			if rush || d.mayTake(now, j, id) {
				d.maintenance.recalls[id] = d.State.Runs(w.instance)[id].Number
				w.ordersChanged = true
				d.log(manager.LogRunRecalled, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "Evacuating", w.evacuating, "Draining", w.latest.Draining)
			}
		}
	}
}

func (d *Dispatcher) recalled(w *worker, id manager.TaskID) bool {
	n, ok := d.maintenance.recalls[id]
	return ok && w.running[id].Run == n
}

// mayTake tells whether a lasting task may leave work without spending more than its step's budget.
func (d *Dispatcher) mayTake(now manager.Time, j *recorder.Job, id manager.TaskID) bool {
	if now.Sub(d.StartedAt) < settleTime {
		return false
	}
	budget := j.Steps[id.Step].MaxUnavailable
	if budget == 0 {
		return true
	}
	away := 0
	for i := range j.Tasks[id.Step] {
		other := manager.TaskID{Graph: id.Graph, Step: id.Step, Task: i}
		if other != id && !d.works(now, other) {
			away++
		}
	}
	return away < budget
}

// works tells whether a lasting task is known to be at work and will stay so.
func (d *Dispatcher) works(now manager.Time, id manager.TaskID) bool {
	_, t := d.State.Task(id)
	if t == nil || t.Open == nil || d.maintenance.recalls[id] != 0 {
		return false
	}
	w := d.workers[t.Open.Instance.Worker]
	if w == nil || w.instance != t.Open.Instance || w.latest.Draining || now.Sub(w.heardAt) > d.reportAge() {
		return false
	}
	r, ok := w.running[id]
	return ok && r.Run == t.Open.Number && r.Progress >= atWork
}

// recallStalled calls back the runs that make no progress for much longer than such tasks take.
func (d *Dispatcher) recallStalled(now manager.Time, w *worker) {
	for id, m := range w.progress {
		j, t := d.State.Task(id)
		if t == nil || t.Open == nil || t.Open.Number != m.run || t.Open.Instance != w.instance || d.maintenance.recalls[id] != 0 {
			continue
		}
		s := j.Steps[id.Step]
		still := now.Sub(m.sinceAt)
		limit := max(stallTime, stallFactor*d.times.task(j.Queue, s))
		if s.Lasting {
			limit = stallTime
		}
		if still < limit || s.Lasting && m.value >= atWork || w.pace[id] < 100 && s.Filler {
			continue
		}
		d.maintenance.recalls[id] = m.run
		w.ordersChanged = true
		w.health.take(now, manager.RunFailed)
		d.log(manager.LogRunStalled, "RequestID", id.Graph, "Task", id, "Worker", w.instance.Worker, "StillMs", still, "Progress", m.value)
	}
}
