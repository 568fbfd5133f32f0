package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// markIncomplete marks a gang's run that lacks a task from the start, so that its other tasks are stopped instead of
// waiting for it. A new dispatcher doesn't know the mark; the workers then end the tasks after some time.
func (d *Dispatcher) markIncomplete(id manager.TaskID, n manager.RunNumber) {
	j, t := d.State.Task(id)
	if t == nil || !j.Steps[id.Step].Gang {
		return
	}
	for s, run := range d.incompleteGangs {
		if !d.gangRunOpen(s, run) {
			delete(d.incompleteGangs, s)
		}
	}
	d.incompleteGangs[StepID{Graph: id.Graph, Step: id.Step}] = n
	for i := range j.Tasks[id.Step] {
		if o := j.Tasks[id.Step][i].Open; o != nil {
			d.markOrdersChanged(o.Instance)
		}
	}
}

// gangRunOpen reports whether a task of a gang's run is open.
func (d *Dispatcher) gangRunOpen(s StepID, n manager.RunNumber) bool {
	j := d.State.Jobs[s.Graph]
	if j == nil || s.Step >= len(j.Tasks) {
		return false
	}
	for i := range j.Tasks[s.Step] {
		if o := j.Tasks[s.Step][i].Open; o != nil && o.Number == n {
			return true
		}
	}
	return false
}

// incompleteGang reports whether a run belongs to a gang's run that lacks a task.
func (d *Dispatcher) incompleteGang(id manager.TaskID, n manager.RunNumber) bool {
	return d.incompleteGangs[StepID{Graph: id.Graph, Step: id.Step}] == n
}
