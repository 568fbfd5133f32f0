package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// unplaceableAge is how long a long-running task may wait for a worker before its pool gets another VM.
	unplaceableAge = 400 * manager.Millisecond
	// unplaceableFiniteAge is the same for finite tasks. It is long enough for every worker to report and for some runs to
	// end.
	unplaceableFiniteAge = 1500 * manager.Millisecond
)

// findUnplaceable sets the first step of the pool that finds no worker. Tasks and gangs that are too large for the
// capacity beside the long-running tasks of each worker would otherwise wait forever, as the load of the pool is low.
func (d *Dispatcher) findUnplaceable(now manager.Time, l *poolLoad, j *recorder.Job) {
	for s := range j.Steps {
		if l.unplaceable == nil && d.isUnplaceable(now, l.pool, j, s) {
			l.unplaceable = &j.Steps[s]
		}
	}
}

func (d *Dispatcher) isUnplaceable(now manager.Time, p manager.PoolID, j *recorder.Job, s int) bool {
	step := &j.Steps[s]
	if j.Remaining(s) <= j.OpenRunsIn(s) || !j.StepReady(s) || !d.obtainable(p, step) {
		return false
	}
	if step.LongRunning {
		return slices.ContainsFunc(j.Tasks[s], func(t recorder.Task) bool {
			return t.Open == nil && now.Sub(max(t.EndedAt, j.ReleaseTime())) > unplaceableAge
		})
	}
	since := j.ReleaseTime()
	for i := range j.Tasks[s] {
		since = max(since, j.Tasks[s][i].EndedAt)
	}
	need := 1
	if step.Gang {
		need = step.Count
	}
	return now.Sub(since) > unplaceableFiniteAge && d.taskCapacity(now, p, step, need) < need
}

// lendToUnplaceable moves a VM to each pool with an unplaceable step, one at a time.
func (d *Dispatcher) lendToUnplaceable(now manager.Time, loads []*poolLoad, free *[]lendableVM, c *recorder.Changes) {
	for _, p := range loads {
		if p.unplaceable == nil || p.unplaceable.LongRunning && d.hasIncomingMove(p.pool) {
			continue
		}
		i := slices.IndexFunc(*free, func(vm lendableVM) bool {
			return vm.pool != p.pool && d.lending.vms[vm.vm].satisfies(p.unplaceable) && maxTasks(vm.capacity, p.unplaceable) > 0
		})
		if i < 0 {
			continue
		}
		if !(*free)[i].selected {
			d.log(manager.LogTaskUnplaceable, "Pool", p.pool, "VM", (*free)[i].vm, "Lasting", p.unplaceable.LongRunning, "Gang", p.unplaceable.Gang, "Room", p.unplaceable.PerTask)
		}
		d.moveVM(now, (*free)[i], p.pool, c)
		*free = slices.Delete(*free, i, i+1)
	}
}

// taskCapacity returns how many tasks of a step fit beside the long-running tasks of a pool, counted up to a limit. Workers that
// are kept from work don't count, and VMs that are moving to the pool do.
func (d *Dispatcher) taskCapacity(now manager.Time, p manager.PoolID, step *manager.GraphStep, limit int) int {
	n := 0
	for _, w := range d.workers {
		if n >= limit {
			return n
		}
		if w.latest.Pool != p || w.latest.Draining || w.keptFromWork() || w.health.excluded(now) || now > w.leaseExpiresAt {
			continue
		}
		if step.Requires == "" || slices.Contains(w.latest.Labels, step.Requires) {
			n += maxTasks(w.latest.Capacity.Sub(d.usageOf(w).longRunning), step)
		}
	}
	for vm, to := range d.State.Moves {
		if listed := d.lending.vms[vm]; to == p && listed.satisfies(step) {
			n += maxTasks(listed.Capacity, step)
		}
	}
	return n
}

// maxTasks returns how many tasks of a step fit into a capacity.
func maxTasks(free manager.Resources, step *manager.GraphStep) int {
	need, n := step.Reserved(), step.Count
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	for _, r := range [][2]int64{
		{int64(free.ProcessorMilliCores), int64(need.ProcessorMilliCores)},
		{int64(free.MemoryMegaBytes), int64(need.MemoryMegaBytes)},
		{int64(free.Accelerators), int64(need.Accelerators)},
	} {
		if r[1] > 0 {
			n = min(n, int(max(0, r[0])/r[1]))
		}
	}
	return n
}

// satisfies reports whether the worker of a VM may run a step's tasks.
func (v ListedVM) satisfies(step *manager.GraphStep) bool {
	return step.Requires == "" || slices.Contains(v.Labels, step.Requires)
}

// hasIncomingMove reports whether a VM is moving to a pool.
func (d *Dispatcher) hasIncomingMove(p manager.PoolID) bool {
	for _, to := range d.State.Moves {
		if to == p {
			return true
		}
	}
	return false
}
