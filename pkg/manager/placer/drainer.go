package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// checkpointLimit is how long a checkpoint may take before an idempotent task is stopped instead,
	// so that urgent work starts in time.
	checkpointLimit = 3 * manager.Second
	// stopReserve is the part of a drain's time limit that is reserved for stopping a task and receiving the
	// report that it has stopped.
	stopReserve = 5 * manager.Second
)

// drainVMs orders tasks off the VMs that drain for a wave or a move, and stops idempotent tasks whose checkpoint
// takes too long. A task that is neither checkpointable nor idempotent is left to finish; if it outlasts the
// drain, the maintainer or the rebalancer gives up the drain.
func (p *Adaptive) drainVMs(view *fleetView, batch *manager.TaskBatch) {
	for i := range view.hosts {
		h := &view.hosts[i]
		for _, t := range h.tasks {
			p.forceStep = p.forceStep || t.stopping()
			o, ok := p.drainOrder(view, h.vm, t)
			if ok && o != t.order {
				batch.Order = append(batch.Order, view.setOrder(h, t, o))
			}
		}
	}
}

// drainOrder returns the order, if any, that makes a task leave its VM.
func (p *Adaptive) drainOrder(view *fleetView, v manager.VM, t *leasedTask) (manager.TaskOrder, bool) {
	j := t.job
	if j.State.Ended() || t.order == manager.TaskStop {
		return "", false
	}
	draining := v.Phase == manager.PhaseDraining
	if t.order == manager.TaskCheckpoint {
		late := view.now.Sub(j.Lease.OrderAt) >= checkpointLimit
		return manager.TaskStop, j.Idempotent && late && (!draining || p.drainTimeLeft(view, v) <= 0)
	}
	if !draining {
		return "", false
	}
	if t.class.Checkpointable {
		return manager.TaskCheckpoint, true
	}
	return manager.TaskStop, j.Idempotent && !p.finishesInTime(view, v, t)
}

// finishesInTime reports whether a task is likely to end before its VM must be empty.
func (p *Adaptive) finishesInTime(view *fleetView, v manager.VM, t *leasedTask) bool {
	left := p.drainTimeLeft(view, v)
	return left > 0 && p.estimator.remaining(view.now, t) <= left
}

// drainTimeLeft returns how long tasks may still run on a draining VM.
func (p *Adaptive) drainTimeLeft(view *fleetView, v manager.VM) manager.Duration {
	limit := p.drainLimit(view, v)
	return limit - min(stopReserve, limit/2) - view.now.Sub(v.PhaseSince)
}

func (p *Adaptive) drainLimit(view *fleetView, v manager.VM) manager.Duration {
	for _, pool := range view.fleet.Pools {
		if pool.Pool != v.Pool {
			continue
		}
		if r, ok := view.rules[pool.Profile]; ok {
			return r.profile.Wave.DrainLimitMs
		}
	}
	return 0
}
