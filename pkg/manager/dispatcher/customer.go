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
