package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// From throttleAt percent of a VM's memory on, a growing task is throttled, from evictAt on tasks are
	// checkpointed or stopped until use is back at throttleAt; below resumeAt throttled tasks go on at
	// full speed. Tasks that stay within their reservations are left alone however full the VM is.
	resumeAt   = 80
	throttleAt = 90
	evictAt    = 96
	// reaction is the time that passes until an order has an effect: steps, its commit and its delivery,
	// and the longest checkpoint.
	reaction = checkpointLimit + 2*manager.Second
)

// relieve acts before a VM runs out of memory; it counts with what lagging reports do not show yet.
func (p *Adaptive) relieve(b *board, batch *manager.TaskBatch) {
	for i := range b.hosts {
		on := &b.hosts[i]
		if len(on.tasks) == 0 {
			continue
		}
		for _, o := range p.relieveHost(b, on) {
			batch.Order = append(batch.Order, b.order(on, o.held, o.order))
		}
	}
}

// orderFor is an order to a task of a host.
type orderFor struct {
	held  *held
	order manager.TaskOrder
}

func (p *Adaptive) relieveHost(b *board, on *host) []orderFor {
	use, breached := manager.MegaBytes(0), false
	for _, h := range on.tasks {
		if h.leaving() {
			continue
		}
		use += forecast(b.now, h)
		breached = breached || breaches(b.now, h)
		if h.task != nil && h.task.peak.MemoryMegaBytes > h.job.Lease.Reserved.MemoryMegaBytes {
			p.learner.warn(*h.job, h.task.peak.MemoryMegaBytes)
		}
	}
	all := on.vm.Capacity.MemoryMegaBytes
	switch {
	case use < all*resumeAt/100:
		return resume(on)
	case !breached:
		return nil
	}
	p.alert = true
	switch {
	case use >= all*evictAt/100:
		return evict(on, use-all*throttleAt/100, b.now)
	case use >= all*throttleAt/100:
		return throttle(on)
	default:
		return nil
	}
}

// breaches tells whether a task is about to use more memory than was reserved for it.
func breaches(now manager.Time, h *held) bool {
	return forecast(now, h) > h.job.Lease.Reserved.MemoryMegaBytes
}

// forecast returns what a task is likely to use once an order has an effect.
func forecast(now manager.Time, h *held) manager.MegaBytes {
	if h.task == nil || h.task.report.Result != "" {
		return h.job.Lease.Reserved.MemoryMegaBytes
	}
	ahead := min(now.Sub(h.task.report.At)+reaction, DefaultLease)
	grown := max(0, h.task.growth) * manager.MegaBytes(ahead) / manager.MegaBytes(manager.Second)
	return h.task.report.Used.MemoryMegaBytes + grown
}

// evict returns the orders that free an amount: checkpoints first, the least urgent tasks first, then
// stops of idempotent tasks that lose the least work. The last task on a VM is let be: it fills the
// VM by itself, and would do so anywhere.
func evict(on *host, excess manager.MegaBytes, now manager.Time) []orderFor {
	list := make([]*held, 0, len(on.tasks))
	for _, h := range on.tasks {
		if !h.leaving() && !h.job.State.Ended() && (h.class.Checkpointable || h.job.Idempotent) {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, c *held) int {
		return cmp.Or(
			-compareBool(a.class.Checkpointable, c.class.Checkpointable),
			cmp.Compare(c.class.Priority, a.class.Priority),
			-compareBool(breaches(now, a), breaches(now, c)),
			cmp.Compare(doneOf(a), doneOf(c)),
		)
	})
	if len(list) == len(on.tasks) {
		list = list[:len(list)-1]
	}
	var orders []orderFor
	for _, h := range list {
		if excess <= 0 {
			break
		}
		excess -= forecast(now, h)
		o := manager.TaskStop
		if h.class.Checkpointable {
			o = manager.TaskCheckpoint
		}
		orders = append(orders, orderFor{held: h, order: o})
	}
	return orders
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func doneOf(h *held) manager.Duration {
	if h.task == nil {
		return 0
	}
	return h.task.report.DoneMs
}

// throttle slows down the least urgent of the tasks whose use grows.
func throttle(on *host) []orderFor {
	var slowest *held
	for _, h := range on.tasks {
		if h.order != manager.TaskRun || h.task == nil || h.task.growth <= 0 || h.job.State.Ended() {
			continue
		}
		if slowest == nil || h.class.Priority > slowest.class.Priority {
			slowest = h
		}
	}
	if slowest == nil {
		return nil
	}
	return []orderFor{{held: slowest, order: manager.TaskThrottle}}
}

// resume lets throttled tasks go on at full speed.
func resume(on *host) []orderFor {
	var orders []orderFor
	for _, h := range on.tasks {
		if h.order == manager.TaskThrottle {
			orders = append(orders, orderFor{held: h, order: manager.TaskRun})
		}
	}
	return orders
}
