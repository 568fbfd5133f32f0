package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// startOrders returns the start orders of a worker: the open runs that its latest report doesn't show. A run that no
// longer fits beside what the worker runs, or within the cap of its customer, is withdrawn: its start order was lost or not
// sent yet, and the capacity or the cap has shrunk since the run was placed.
func (d *Dispatcher) startOrders(w *worker) []manager.StartOrder {
	runs := d.State.Runs(w.instance)
	maps.DeleteFunc(w.withdrawn, func(id manager.TaskID, n manager.RunNumber) bool { return d.State.OpenRun(id, n) == nil })
	free := w.latest.Capacity
	for id := range w.running {
		free = free.Sub(d.taskResources(id))
	}
	var list []manager.StartOrder
	payloads := 0
	for _, id := range sortedTasks(runs) {
		r := runs[id]
		j, t := d.State.Task(id)
		if _, ok := w.running[id]; ok || t == nil || t.Done || d.unwanted(w, id, r.Number) {
			continue
		}
		need := d.taskResources(id)
		if !free.Fits(need) || !d.keepsCap(j, need) {
			d.withdraw(w, id, r.Number)
			continue
		}
		payloads += len(j.Payload) + len(t.Saved) + manager.StartBytes
		if payloads > maxPayloadBytes && len(list) > 0 {
			break
		}
		free = free.Sub(need)
		list = append(list, manager.StartOrder{Task: id, Run: r.Number, Payload: j.Payload, Saved: t.Saved, Permit: r.Permit})
	}
	// The other tasks of a gang are not wanted either.
	return slices.DeleteFunc(list, func(o manager.StartOrder) bool { return d.unwanted(w, o.Task, o.Run) })
}

// withdraw takes a run back from a worker. The run is stopped, as an earlier start order may still be on its way, and its
// task is placed again once the run has ended.
func (d *Dispatcher) withdraw(w *worker, id manager.TaskID, n manager.RunNumber) {
	w.withdrawn[id] = n
	d.markIncomplete(id, n)
	d.log(manager.LogRunWithdrawn, "RequestID", id.Graph, "Task", id, "Run", n, "Worker", w.instance.Worker, "Capacity", w.latest.Capacity)
}
