package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// usableCapShare is the share of a cap that admission counts on. The rest is idle between the recorded end of a run and the start
// of the next one, some 0.2 s for each second of work.
const usableCapShare = 0.8

// checkCustomer returns an error for a job whose customer has left the configuration since the call was authorized, and for a
// gang that the cap of its customer never lets start.
func (d *Dispatcher) checkCustomer(g manager.Graph, c *recorder.Changes) error {
	if g.Customer == "" {
		return nil
	}
	configuration := cmp.Or(c.Configure, d.State.Configuration)
	settings, ok := configuration.Customer(g.Customer)
	if !ok {
		return manager.ErrUnauthorized{Reason: "the customer has left the configuration"}
	}
	for _, s := range g.Steps {
		if s.Gang && !within(s.Reserved().Times(int64(s.Count-1)), settings.Cap) {
			d.logJob(g.Customer, manager.LogJobRefused, "RequestID", g.Graph, "Queue", g.Queue, "RetryAfterMs", maxRetryAfter,
				"Outcome", "not-run", "Reason", "a gang is wider than the customer's cap")
			return manager.ErrOverloaded{RetryAfterMs: maxRetryAfter}
		}
	}
	return nil
}

// weight returns the weight of a customer in the configuration that is in force after this cycle.
func (d *Dispatcher) weight(id manager.CustomerID, c *recorder.Changes) float64 {
	s, _ := cmp.Or(c.Configure, d.State.Configuration).Customer(id)
	return s.Weight
}

// isSurplus reports whether a job is beyond the share of its customer. A job that was refused keeps what it was, so that
// retries use up no share. Long-running and repeating jobs always count as within the share, as their tasks must be kept
// running.
func (d *Dispatcher) isSurplus(now manager.Time, g manager.Graph, c *recorder.Changes) bool {
	if g.Customer == "" || g.HasLongRunning() || g.Repeat.Count > 0 {
		return false
	}
	if r, ok := d.refused[g.Graph]; ok {
		return r.surplus
	}
	return !d.Options.Shares.Take(now, g.Customer, d.weight(g.Customer, c))
}

func errOtherCustomer(id manager.GraphID) error {
	return manager.ErrConflict{Kind: "job", Name: string(id), Reason: "belongs to another customer"}
}

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

// holdForCap notes that a step of a job waits for the cap of its customer. If less than half of the cap is used, the rest of it is
// kept for the step: later jobs of the customer would otherwise keep taking what it needs.
func (d *Dispatcher) holdForCap(j *recorder.Job) {
	limit, ok := d.capOf(j.Customer)
	if !ok {
		return
	}
	use := d.customers[j.Customer]
	if use.waiting == "" {
		use.waiting = j.Graph.Graph
	}
	use.reserved = use.reserved || within(d.useOf(j.Customer).Times(2), limit)
	d.customers[j.Customer] = use
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

// graphWork returns the work of a job that is not accepted yet.
func (d *Dispatcher) graphWork(g manager.Graph) work {
	var total work
	for i, s := range g.Steps {
		if d.runnable(&g.Steps[i]) {
			total.add(s, float64(s.Count)*float64(min(maxTaskLoad, d.times.task(g.Queue, s))))
		}
	}
	return total
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

// capLogPeriod is the least time between two log lines about one customer at its cap.
const capLogPeriod = 1 * manager.Second

// logHeldCustomers logs the customers with jobs that a cap keeps from starting. The lines are minor: with 1,000 customers at their
// caps they take two thirds of what the log writes in a second.
func (d *Dispatcher) logHeldCustomers(now manager.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.customers)) {
		waiting := d.customers[id].waiting
		if at, ok := d.heldLoggedAt[id]; waiting == "" || ok && now.Sub(at) < capLogPeriod {
			continue
		}
		settings, _ := d.State.Customer(id)
		d.heldLoggedAt[id] = now
		d.logMinor(manager.LogCustomerAtCap, "Customer", id, "FirstWaiting", waiting, "InUse", d.useOf(id), "Cap", settings.Cap)
	}
	maps.DeleteFunc(d.heldLoggedAt, func(_ manager.CustomerID, at manager.Time) bool { return now.Sub(at) >= capLogPeriod })
}

// logJob logs what became of a job, with its customer if it has one.
func (d *Dispatcher) logJob(c manager.CustomerID, message string, fields ...any) {
	if c != "" {
		fields = append(fields, "Customer", c)
	}
	d.log(message, fields...)
	d.logLines[len(d.logLines)-1].Customer = c
}
