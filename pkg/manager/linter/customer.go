package linter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Caps below these hold hardly any task.
const (
	leastCapMilliCores manager.MilliCores = 1000
	leastCapMegaBytes  manager.MegaBytes  = 64
)

func (l *findings) checkCustomers(c *manager.FleetConfiguration) {
	keys := 0
	for i, s := range c.Customers {
		keys += len(s.Keys)
		l.checkCustomer(fmt.Sprintf("Customers[%d]", i), s)
	}
	switch closed := closedQueues(c); {
	case !c.RequiresKeys || len(c.Queues) == 0:
	case len(c.Customers) == 0 && closed > 0:
		l.warn("Customers", "is empty: nobody can call the queues that allow no anonymous calls, which are %d", closed)
	case keys > 0 && closed == 0:
		l.warn("Customers", "has keys, but all queues allow anonymous calls: the limits of a customer hold only for calls that name its key")
	}
}

// closedQueues returns the number of queues that ask for a key.
func closedQueues(c *manager.FleetConfiguration) int {
	n := 0
	for _, q := range c.Queues {
		if !q.AllowsAnonymous {
			n++
		}
	}
	return n
}

func (l *findings) checkCustomer(path string, s manager.CustomerSettings) {
	if len(s.Keys) == 0 {
		l.warn(path+".Keys", "is empty: customer %q can't call", s.Customer)
	}
	seen := map[manager.KeyDigest]bool{}
	for i, k := range s.Keys {
		if k != "" && seen[k] {
			l.warn(fmt.Sprintf("%s.Keys[%d]", path, i), "is a key that the customer already has: removing one of the two does not remove the key")
		}
		seen[k] = true
	}
	if s.Weight == 0 && (len(s.Keys) > 0 || s.Cap != manager.Resources{}) {
		l.warn(path+".Weight", "is 0: all that customer %q sends is surplus", s.Customer)
	}
	if n := s.Cap.ProcessorMilliCores; n > 0 && n < leastCapMilliCores {
		l.warn(path+".Cap.ProcessorMilliCores", "is %d thousandths of a core, less than one core", n)
	}
	if n := s.Cap.MemoryMegaBytes; n > 0 && n < leastCapMegaBytes {
		l.warn(path+".Cap.MemoryMegaBytes", "is %d MB, less than %d MB", n, leastCapMegaBytes)
	}
}
