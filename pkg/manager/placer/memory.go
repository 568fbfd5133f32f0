package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// From throttlePercent of a VM's memory on, a task with growing use is throttled. From evictPercent on, tasks
	// are checkpointed or stopped until use is back at throttlePercent. Below resumePercent, throttled tasks run
	// at full speed again. If every task stays within its reservation, nothing is done however full the VM is.
	resumePercent   = 80
	throttlePercent = 90
	evictPercent    = 96
	// reactionTime is the time until an order takes effect: planning steps, commit and delivery of the order, and
	// the longest checkpoint.
	reactionTime = checkpointLimit + 2*manager.Second
)

// relieveMemory gives orders before a VM runs out of memory. It forecasts the use that late reports do not
// show yet.
func (p *Adaptive) relieveMemory(view *fleetView, batch *manager.TaskBatch) {
	for i := range view.hosts {
		h := &view.hosts[i]
		if len(h.tasks) == 0 {
			continue
		}
		for _, o := range p.memoryOrders(view, h) {
			batch.Order = append(batch.Order, view.setOrder(h, o.task, o.order))
		}
	}
}

// orderChange is a new order for a task of a host.
type orderChange struct {
	task  *leasedTask
	order manager.TaskOrder
}

func (p *Adaptive) memoryOrders(view *fleetView, h *host) []orderChange {
	use, over := manager.MegaBytes(0), false
	for _, t := range h.tasks {
		if t.stopping() {
			continue
		}
		use += forecastMemory(view.now, t)
		over = over || overReservation(view.now, t)
		if t.usage != nil && t.usage.peak.MemoryMegaBytes > t.job.Lease.Reserved.MemoryMegaBytes {
			p.estimator.raiseFloor(*t.job, t.usage.peak.MemoryMegaBytes)
		}
	}
	all := h.vm.Capacity.MemoryMegaBytes
	switch {
	case use < all*resumePercent/100:
		return unthrottle(h)
	case !over:
		return nil
	}
	p.forceStep = true
	switch {
	case use >= all*evictPercent/100:
		return evict(h, use-all*throttlePercent/100, view.now)
	case use >= all*throttlePercent/100:
		return throttle(h)
	default:
		return nil
	}
}

// overReservation reports whether a task is about to use more memory than its reservation.
func overReservation(now manager.Time, t *leasedTask) bool {
	return forecastMemory(now, t) > t.job.Lease.Reserved.MemoryMegaBytes
}

// forecastMemory returns the memory that a task is likely to use by the time an order takes effect.
func forecastMemory(now manager.Time, t *leasedTask) manager.MegaBytes {
	if t.usage == nil || t.usage.report.Result != "" {
		return t.job.Lease.Reserved.MemoryMegaBytes
	}
	ahead := min(now.Sub(t.usage.report.At)+reactionTime, DefaultLease)
	grown := max(0, t.usage.growth) * manager.MegaBytes(ahead) / manager.MegaBytes(manager.Second)
	return t.usage.report.Used.MemoryMegaBytes + grown
}

// evict returns the orders that free the excess memory. It prefers checkpoints to stops of idempotent tasks, then
// the least urgent tasks, then those over their reservation, then those that lose the least work. It leaves one
// task on the VM: a task that fills a VM by itself would do so anywhere.
func evict(h *host, excess manager.MegaBytes, now manager.Time) []orderChange {
	list := make([]*leasedTask, 0, len(h.tasks))
	for _, t := range h.tasks {
		if !t.stopping() && !t.job.State.Ended() && (t.class.Checkpointable || t.job.Idempotent) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, c *leasedTask) int {
		return cmp.Or(
			-compareBool(a.class.Checkpointable, c.class.Checkpointable),
			cmp.Compare(c.class.Priority, a.class.Priority),
			-compareBool(overReservation(now, a), overReservation(now, c)),
			cmp.Compare(doneTime(a), doneTime(c)),
		)
	})
	if len(list) == len(h.tasks) {
		list = list[:len(list)-1]
	}
	var orders []orderChange
	for _, t := range list {
		if excess <= 0 {
			break
		}
		excess -= forecastMemory(now, t)
		o := manager.TaskStop
		if t.class.Checkpointable {
			o = manager.TaskCheckpoint
		}
		orders = append(orders, orderChange{task: t, order: o})
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

func doneTime(t *leasedTask) manager.Duration {
	if t.usage == nil {
		return 0
	}
	return t.usage.report.DoneMs
}

// throttle throttles the least urgent of the tasks whose memory use grows.
func throttle(h *host) []orderChange {
	var chosen *leasedTask
	for _, t := range h.tasks {
		if t.order != manager.TaskRun || t.usage == nil || t.usage.growth <= 0 || t.job.State.Ended() {
			continue
		}
		if chosen == nil || t.class.Priority > chosen.class.Priority {
			chosen = t
		}
	}
	if chosen == nil {
		return nil
	}
	return []orderChange{{task: chosen, order: manager.TaskThrottle}}
}

// unthrottle returns the orders that let throttled tasks run at full speed.
func unthrottle(h *host) []orderChange {
	var orders []orderChange
	for _, t := range h.tasks {
		if t.order == manager.TaskThrottle {
			orders = append(orders, orderChange{task: t, order: manager.TaskRun})
		}
	}
	return orders
}
