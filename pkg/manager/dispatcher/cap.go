package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// usableCapShare is the share of a cap that admission counts on. The rest is idle between the recorded end of a run and the start
// of the next one, some 0.2 s for each second of work.
const usableCapShare = 0.8

// customerUse is what the tasks of a customer use during a cycle.
type customerUse struct {
	// started is what the starts of this cycle add to the recorded use.
	started manager.Resources
	// reserved means that the rest of the cap is kept for a task that is larger than what is left of it.
	reserved bool
	// waiting is the first job that the cap holds.
	waiting manager.GraphID
}

// useOf returns what the runs of a customer use, with those that this cycle starts. A run that ends in this cycle still
// counts as used, as does one that is being stopped.
func (d *Dispatcher) useOf(c manager.CustomerID) manager.Resources {
	return d.State.InUse(c).Add(d.customers[c].started)
}

// fitsCap reports whether the customer of a job may start n tasks of a step together. Tasks that are larger than the cap start
// while nothing else of the customer is open: workers may begin the starts of several cycles in any order, and each of
// them must keep the cap with one task more.
func (d *Dispatcher) fitsCap(j *recorder.Job, s, n int) bool {
	limit, ok := d.capOf(j.Customer)
	if !ok {
		return true
	}
	if d.customers[j.Customer].reserved {
		return false
	}
	use, need := d.useOf(j.Customer), j.Steps[s].Reserved()
	if use == (manager.Resources{}) {
		return within(need.Times(int64(n-1)), limit)
	}
	return within(use.Add(need.Times(int64(n))), limit)
}

// capOf returns the cap of a customer, if it has one.
func (d *Dispatcher) capOf(id manager.CustomerID) (manager.Resources, bool) {
	if id == "" {
		return manager.Resources{}, false
	}
	s, _ := d.State.Customer(id)
	return s.Cap, s.Cap != (manager.Resources{})
}

// holdForCap notes that n tasks of a step wait for the cap of their customer. If less than half of the cap is used, the rest of it
// is kept for them: later jobs of the customer would otherwise keep taking what they need. Nothing is kept for tasks that the cap
// holds beside no finite task, as they may wait forever.
func (d *Dispatcher) holdForCap(j *recorder.Job, s, n int) {
	limit, ok := d.capOf(j.Customer)
	if !ok {
		return
	}
	use := d.customers[j.Customer]
	if use.waiting == "" {
		use.waiting = j.Graph.Graph
	}
	use.reserved = use.reserved || within(d.useOf(j.Customer).Times(2), limit) && d.fitsIdleCap(j, s, n)
	d.customers[j.Customer] = use
}

// fitsIdleCap reports whether n tasks of a step may start once all finite tasks of their customer have ended.
func (d *Dispatcher) fitsIdleCap(j *recorder.Job, s, n int) bool {
	limit, _ := d.capOf(j.Customer)
	need, use := j.Steps[s].Reserved(), d.longRunningUse(j.Customer)
	if use == (manager.Resources{}) {
		return within(need.Times(int64(n-1)), limit)
	}
	return within(use.Add(need.Times(int64(n))), limit)
}

// longRunningUse returns what the long-running tasks of a customer use.
func (d *Dispatcher) longRunningUse(c manager.CustomerID) manager.Resources {
	var use manager.Resources
	for _, j := range d.State.Active() {
		for s := range j.Steps {
			if j.Customer == c && j.Steps[s].LongRunning {
				use = use.Add(j.Steps[s].Reserved().Times(int64(j.OpenRunsIn(s))))
			}
		}
	}
	return use
}

// shortestWithinCap returns the time that a job takes at least within the cap of its customer.
func (d *Dispatcher) shortestWithinCap(g manager.Graph) manager.Duration {
	limit, ok := d.capOf(g.Customer)
	if !ok {
		return 0
	}
	own := d.graphWork(g)
	return manager.DurationOf(own.overCap(limit))
}

// capWait returns when a new job of a customer would be done within its cap, after the jobs that are accepted already.
func (d *Dispatcher) capWait(g manager.Graph, c *recorder.Changes) manager.Duration {
	limit, ok := d.capOf(g.Customer)
	if !ok {
		return 0
	}
	total := d.graphWork(g)
	for _, j := range d.State.Active() {
		if j.Customer == g.Customer && !j.Unreleased() {
			total.plus(d.runnableWork(j, maxTaskLoad))
		}
	}
	for _, o := range c.Submit {
		if o.Customer == g.Customer {
			total.plus(d.graphWork(o))
		}
	}
	return manager.DurationOf(total.overCap(limit) / usableCapShare)
}

// keepsCap reports whether a recorded run that has not begun exceeds the cap of its customer by no more than itself. The cap may
// have been reduced since the run was placed. Withdrawn runs don't count, as they no longer begin.
func (d *Dispatcher) keepsCap(j *recorder.Job, need manager.Resources) bool {
	if j.Customer == "" {
		return true
	}
	settings, ok := d.State.Customer(j.Customer)
	others := d.State.InUse(j.Customer).Sub(need)
	if !ok || within(others, settings.Cap) {
		return true
	}
	for _, w := range d.workers {
		for id, n := range w.withdrawn {
			if other := d.State.Jobs[id.Graph]; other != nil && other.Customer == j.Customer && d.State.OpenRun(id, n) != nil {
				others = others.Sub(d.taskResources(id))
			}
		}
	}
	return within(others, settings.Cap)
}

// within reports whether a use stays within a cap, of which a resource of 0 is not limited.
func within(use, limit manager.Resources) bool {
	return (limit.ProcessorMilliCores == 0 || use.ProcessorMilliCores <= limit.ProcessorMilliCores) &&
		(limit.MemoryMegaBytes == 0 || use.MemoryMegaBytes <= limit.MemoryMegaBytes) &&
		(limit.Accelerators == 0 || use.Accelerators <= limit.Accelerators)
}

// recordStartedUse adds a proposed start to the use of its customer.
func (d *Dispatcher) recordStartedUse(s recorder.Start) {
	j := d.State.Jobs[s.Task.Graph]
	if j == nil || j.Customer == "" {
		return
	}
	use := d.customers[j.Customer]
	use.started = use.started.Add(j.Steps[s.Task.Step].Reserved())
	d.customers[j.Customer] = use
}
