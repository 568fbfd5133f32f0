package meter

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxCustomers bounds the customers with metrics of their own, as a scraper keeps each label for ever.
const maxCustomers = 32

// otherCustomers is the label of all customers without metrics of their own.
const otherCustomers = "other"

// JobEvent is what the metrics of a customer count.
type JobEvent string

// Events of jobs. A job that failed or was cancelled ends neither in time nor late.
const (
	JobAccepted JobEvent = "accepted"
	JobRefused  JobEvent = "refused"
	JobInTime   JobEvent = "in_time"
	JobLate     JobEvent = "late"
)

// Customers counts the jobs of customers. The first customers in the order of their names have labels of their own. It is not safe
// for concurrent use.
type Customers struct {
	from     *manager.FleetConfiguration
	named    map[manager.CustomerID]bool
	counters map[customerEvent]*metrics.Counter
}

type customerEvent struct {
	customer manager.CustomerID
	event    JobEvent
}

// Use takes the customers of a configuration. The metrics of customers that lose their label are removed.
func (c *Customers) Use(f *manager.FleetConfiguration) {
	if f == c.from {
		return
	}
	c.from = f
	var names []manager.CustomerID
	if f != nil {
		for _, s := range f.Customers {
			names = append(names, s.Customer)
		}
	}
	slices.Sort(names)
	named := map[manager.CustomerID]bool{}
	for _, name := range names[:min(maxCustomers, len(names))] {
		named[name] = true
	}
	for e := range c.counters {
		if e.customer != otherCustomers && !named[e.customer] {
			metrics.UnregisterMetric(e.name())
			delete(c.counters, e)
		}
	}
	c.named = named
}

// Count counts a job of a customer.
func (c *Customers) Count(customer manager.CustomerID, event JobEvent) {
	e := customerEvent{customer: customer, event: event}
	if !c.named[customer] {
		e.customer = otherCustomers
	}
	counter := c.counters[e]
	if counter == nil {
		counter = metrics.GetOrCreateCounter(e.name())
		if c.counters == nil {
			c.counters = map[customerEvent]*metrics.Counter{}
		}
		c.counters[e] = counter
	}
	counter.Inc()
}

func (e customerEvent) name() string {
	return fmt.Sprintf(`mulberryhaven_customer_jobs_total{customer=%q,event=%q}`, e.customer, e.event)
}
