package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// checkpointLimit is how long a checkpoint may take before an idempotent task is stopped instead,
	// so that urgent work starts in time.
	checkpointLimit = 3 * manager.Second
	// stopReserve is kept of a drain's limit for stopping a task and hearing that it has stopped.
	stopReserve = 5 * manager.Second
)

// drain has tasks leave the VMs that drain for a wave or a move, and ends checkpoints that take too
// long. A task that is neither checkpointable nor idempotent is let end; a drain that it outlasts is
// given up by maintenance.
func (p *Adaptive) drain(b *board, batch *manager.TaskBatch) {
	for i := range b.hosts {
		on := &b.hosts[i]
		for _, h := range on.tasks {
			p.alert = p.alert || h.leaving()
			o, ok := p.leave(b, on.vm, h)
			if ok && o != h.order {
				batch.Order = append(batch.Order, b.order(on, h, o))
			}
		}
	}
}

// leave returns the order for a task that has to leave its VM.
func (p *Adaptive) leave(b *board, v manager.VM, h *held) (manager.TaskOrder, bool) {
	j := h.job
	if j.State.Ended() || h.order == manager.TaskStop {
		return "", false
	}
	draining := v.Phase == manager.PhaseDraining
	if h.order == manager.TaskCheckpoint {
		late := b.now.Sub(j.Lease.OrderAt) >= checkpointLimit
		return manager.TaskStop, j.Idempotent && late && (!draining || p.drainLeft(b, v) <= 0)
	}
	if !draining {
		return "", false
	}
	if h.class.Checkpointable {
		return manager.TaskCheckpoint, true
	}
	return manager.TaskStop, j.Idempotent && !p.endsInTime(b, v, h)
}

// endsInTime tells whether a task is likely to end before its VM must be empty.
func (p *Adaptive) endsInTime(b *board, v manager.VM, h *held) bool {
	left := p.drainLeft(b, v)
	return left > 0 && p.learner.remaining(b.now, h) <= left
}

// drainLeft returns how long tasks may still run on a VM that drains.
func (p *Adaptive) drainLeft(b *board, v manager.VM) manager.Duration {
	limit := p.drainLimit(b, v)
	return limit - min(stopReserve, limit/2) - b.now.Sub(v.PhaseSince)
}

func (p *Adaptive) drainLimit(b *board, v manager.VM) manager.Duration {
	for _, pool := range b.fleet.Pools {
		if pool.Pool != v.Pool {
			continue
		}
		if r, ok := b.rules[pool.Profile]; ok {
			return r.profile.Wave.DrainLimitMs
		}
	}
	return 0
}
