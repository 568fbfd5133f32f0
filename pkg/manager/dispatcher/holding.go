package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// workerUsage is derived from a worker's runs and its latest report. It is cached because it changes only with a report
// or a commit that names the worker, while each cycle reads it for every worker.
type workerUsage struct {
	// free is the unused capacity. Runs that are being stopped still count as used.
	free manager.Resources
	// longRunning is the capacity that long-running tasks use.
	longRunning manager.Resources
	// finite reports whether a task that ends by itself may be running.
	finite   bool
	exposure exposure
	// unknownRuns reports whether the worker runs something for which the state has no open run.
	unknownRuns bool
}

// usageOf returns the usage of a worker.
func (d *Dispatcher) usageOf(w *worker) *workerUsage {
	if w.usageStale {
		w.usage, w.usageStale = d.computeUsage(w), false
	}
	return &w.usage
}

// computeUsage computes the usage of a worker.
func (d *Dispatcher) computeUsage(w *worker) workerUsage {
	h := workerUsage{free: w.latest.Capacity}
	for id, r := range d.State.Runs(w.instance) {
		h.free = h.free.Sub(d.taskResources(id))
		j, t := d.State.Task(id)
		if t != nil {
			h.exposure.count(&j.Steps[id.Step], t, d.isStarting(w, id, r))
		}
		if j != nil && j.Steps[id.Step].LongRunning {
			h.longRunning = h.longRunning.Add(j.Steps[id.Step].Reserved())
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

// invalidateUsage marks as stale the usage of the workers that the changes name. It is called before they are applied.
func (d *Dispatcher) invalidateUsage(c *recorder.Changes) {
	stale := func(l manager.WorkerInstance) {
		if w := d.workers[l.Worker]; w != nil && w.instance == l {
			w.usageStale = true
		}
	}
	for _, s := range c.Start {
		stale(s.Instance)
	}
	changed, forgotten := slices.Clone(c.ClearCrashes), slices.Clone(c.ForgetExpired)
	for _, crash := range c.Crash {
		changed, forgotten = append(changed, crash.Tasks...), append(forgotten, crash.Instance)
	}
	for _, l := range forgotten {
		for id := range d.State.Expired(l) {
			changed = append(changed, id)
		}
	}
	for _, id := range changed {
		if _, t := d.State.Task(id); t != nil && t.Open != nil {
			stale(t.Open.Instance)
		}
	}
	for _, e := range c.End {
		if r := d.State.OpenRun(e.Task, e.Run); r != nil {
			stale(r.Instance)
		}
	}
}
