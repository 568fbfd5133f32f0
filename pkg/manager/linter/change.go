package linter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// capDropFactor is how many times smaller a cap must be than the former one for a warning: a typing error or another unit is
// more likely than the intent. A cap where there was none is not warned of.
const capDropFactor = 10

// CheckChange returns what is wrong with putting the new configuration in force after the old one, beside what Check finds.
func CheckChange(old, new *manager.FleetConfiguration) []Finding {
	var l findings
	if new.Version <= old.Version {
		l = append(l, Finding{
			Severity: Error, Path: "Version",
			Reason: fmt.Sprintf("is %d, not higher than %d, which is in force: the node ignores the document", new.Version, old.Version),
		})
	}
	if new.RequiresKeys && !old.RequiresKeys {
		l.warn("RequiresKeys", "is new: calls without a key, which are accepted now, are refused except on queues that allow them")
	}
	if old.RequiresKeys && !new.RequiresKeys {
		l.warn("RequiresKeys", "is gone: anyone may call every queue without a key")
	}
	l.checkQueueChanges(old, new)
	l.checkCustomerChanges(old, new)
	return l
}

func (l *findings) checkQueueChanges(old, new *manager.FleetConfiguration) {
	after, served := byName(new.Queues, queueName), map[string]bool{}
	for _, q := range new.Queues {
		served[q.Host+"\n"+q.Prefix] = true
	}
	for _, q := range old.Queues {
		if _, ok := after[queueName(q)]; !ok {
			l.warn("Queues", "%q is removed: its callers are refused, and its unfinished jobs may fail", q.Queue)
		}
	}
	before := byName(old.Queues, queueName)
	for i, q := range new.Queues {
		former, ok := before[queueName(q)]
		if !ok {
			continue
		}
		path := fmt.Sprintf("Queues[%d]", i)
		if !served[former.Host+"\n"+former.Prefix] {
			l.warn(path, "%q leaves host %q and prefix %q, which no other queue takes", q.Queue, former.Host, former.Prefix)
		}
		// A document that requires no keys accepts anonymous calls whatever the queue says.
		if former.AllowsAnonymous && !q.AllowsAnonymous && new.RequiresKeys && old.RequiresKeys {
			l.warn(path+".AllowsAnonymous", "is turned off for %q: calls without a key are refused from now on", q.Queue)
		}
	}
}

func (l *findings) checkCustomerChanges(old, new *manager.FleetConfiguration) {
	after, before := byName(new.Customers, customerName), byName(old.Customers, customerName)
	for _, s := range old.Customers {
		if _, ok := after[customerName(s)]; !ok {
			l.warn("Customers", "%q is removed (keys: %d)", s.Customer, distinct(s.Keys))
		}
	}
	for i, s := range new.Customers {
		former, ok := before[customerName(s)]
		if !ok {
			continue
		}
		path := fmt.Sprintf("Customers[%d]", i)
		if len(s.Keys) == 0 && len(former.Keys) > 0 {
			l.warn(path+".Keys", "loses all %d keys of customer %q", distinct(former.Keys), s.Customer)
		}
		l.checkCapDrop(path+".Cap.ProcessorMilliCores", int64(former.Cap.ProcessorMilliCores), int64(s.Cap.ProcessorMilliCores))
		l.checkCapDrop(path+".Cap.MemoryMegaBytes", int64(former.Cap.MemoryMegaBytes), int64(s.Cap.MemoryMegaBytes))
		l.checkCapDrop(path+".Cap.Accelerators", int64(former.Cap.Accelerators), int64(s.Cap.Accelerators))
	}
}

// checkCapDrop warns of a cap that is much lower; 0 is no limit.
func (l *findings) checkCapDrop(path string, old, new int64) {
	if new > 0 && new < old/capDropFactor+min(1, old%capDropFactor) {
		l.warn(path, "drops from %d to %d, below a tenth", old, new)
	}
}
