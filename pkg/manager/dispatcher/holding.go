package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// workerUsage is what follows from a worker's runs and its latest report. It changes only with a report or a commit
// that names the worker, while each step asks for it for every worker.
type workerUsage struct {
	// free is what is free; what is being stopped still counts.
	free manager.Resources
	// lasting is what lasting tasks take.
	lasting manager.Resources
	// finite tells whether a task that ends by itself may run.
	finite bool
	// unknownRuns tells whether the worker runs something that the book holds no open run of.
	unknownRuns bool
}

// usageOf returns what a worker usageOf.
func (d *Dispatcher) usageOf(w *worker) *workerUsage {
	if w.usageStale {
		w.usage, w.usageStale = d.computeUsage(w), false
	}
	return &w.usage
}

// computeUsage works out what a worker holds.
func (d *Dispatcher) computeUsage(w *worker) workerUsage {
	h := workerUsage{free: w.latest.Capacity}
	for id := range d.State.Runs(w.instance) {
		h.free = h.free.Sub(d.taskResources(id))
		if j := d.State.Jobs[id.Graph]; j != nil && j.Steps[id.Step].Lasting {
			h.lasting = h.lasting.Add(stepResources(j.Steps[id.Step]))
		} else {
			h.finite = true
		}
	}
	for id, r := range w.running {
		if o := d.State.OpenRun(id, r.Run); o == nil || o.Instance != w.instance {
			h.unknownRuns = true
		}
	}
	return h
}

// invalidateUsage asks anew for what the workers hold that changes name; it is called before they are applied.
func (d *Dispatcher) invalidateUsage(c *recorder.Changes) {
	stale := func(l manager.WorkerLife) {
		if w := d.workers[l.Worker]; w != nil && w.instance == l {
			w.usageStale = true
		}
	}
	for _, s := range c.Start {
		stale(s.Instance)
	}
	for _, e := range c.End {
		if r := d.State.OpenRun(e.Task, e.Run); r != nil {
			stale(r.Instance)
		}
	}
}
