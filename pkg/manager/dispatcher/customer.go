package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

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
	if j.Customer == "" {
		return true
	}
	settings, ok := d.State.Customer(j.Customer)
	if !ok {
		return true
	}
	use, need := d.useOf(j.Customer), j.Steps[s].Reserved()
	fits := within(use.Add(need.Times(int64(n))), settings.Cap)
	held := d.customers[j.Customer]
	before := held
	switch {
	case held.reserved:
		fits = false
	case !fits && use == (manager.Resources{}):
		fits = within(need.Times(int64(n-1)), settings.Cap)
	case !fits && within(use.Times(2), settings.Cap):
		// Later jobs would otherwise keep taking what this one needs.
		held.reserved = true
	}
	if !fits && held.waiting == "" {
		held.waiting = j.Graph.Graph
	}
	if held != before {
		d.customers[j.Customer] = held
	}
	return fits
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
