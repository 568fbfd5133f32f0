package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// fleetLimits is what the VMs of all pools offer at most.
type fleetLimits struct {
	capacity manager.Resources
	labels   map[manager.Label]bool
}

// limits returns the limits of the known VMs.
func (d *Dispatcher) limits() *fleetLimits {
	if d.fleetLimits != nil {
		return d.fleetLimits
	}
	l := &fleetLimits{labels: map[manager.Label]bool{}}
	add := func(r manager.Resources, labels []manager.Label) {
		l.capacity = l.capacity.Max(r)
		for _, label := range labels {
			l.labels[label] = true
		}
	}
	for _, w := range d.workers {
		add(w.latest.Capacity, w.latest.Labels)
	}
	for _, vm := range d.lending.vms {
		add(vm.Capacity, vm.Labels)
	}
	d.fleetLimits = l
	return l
}

// runnable reports whether some VM may be able to run a task of the step. The work of other steps can't use the capacity
// of any pool, however long it waits.
func (d *Dispatcher) runnable(step *manager.GraphStep) bool {
	l := d.limits()
	if l.capacity == (manager.Resources{}) {
		return true
	}
	return l.capacity.Fits(step.Reserved()) && (step.Requires == "" || l.labels[step.Requires])
}

// gangShape is what decides whether a pool can hold a gang.
type gangShape struct {
	pool         manager.PoolID
	label        manager.Label
	maxPerWorker int
	task         manager.Resources
	count        int
}

// obtainable reports whether a pool may get the capacity for a step: for one task of it or, for a gang, for all of them at
// once, with every VM that the pool has or may borrow. Only long-running tasks count as in the way.
func (d *Dispatcher) obtainable(p manager.PoolID, step *manager.GraphStep) bool {
	if !d.runnable(step) {
		return false
	}
	if !step.Gang {
		return true
	}
	shape := gangShape{pool: p, label: step.Requires, maxPerWorker: step.MaxPerWorker, task: step.Reserved(), count: step.Count}
	fits, ok := d.gangsThatFit[shape]
	if !ok {
		fits = d.gangFits(p, step)
		d.gangsThatFit[shape] = fits
	}
	return fits
}

// gangFits counts the tasks of a gang that fit on the VMs of a pool and on those that it may borrow.
func (d *Dispatcher) gangFits(p manager.PoolID, step *manager.GraphStep) bool {
	n := 0
	borrowed, workers := map[manager.PoolID][]int{}, map[manager.PoolID]int{}
	for _, w := range d.workers {
		workers[w.latest.Pool]++
		switch {
		case step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires):
		case w.latest.Pool == p:
			n += maxTasks(w.latest.Capacity.Sub(d.usageOf(w).longRunning), step)
		case d.State.Moves[w.latest.VM] == p:
			n += maxTasks(w.latest.Capacity, step)
		case d.movable(w):
			borrowed[w.latest.Pool] = append(borrowed[w.latest.Pool], maxTasks(w.latest.Capacity, step))
		}
	}
	for pool, list := range borrowed {
		slices.Sort(list)
		slices.Reverse(list)
		for _, tasks := range list[:min(len(list), max(0, workers[pool]-minPoolWorkers))] {
			n += tasks
		}
	}
	for vm, listed := range d.lending.vms {
		// A VM that is switched off or on its way has no worker.
		if d.byVM[vm] == nil && listed.satisfies(step) && (listed.Pool == p || d.State.Moves[vm] == p || d.isStandby(listed.Pool)) {
			n += maxTasks(listed.Capacity, step)
		}
	}
	return n >= step.Count
}

// runnableWork returns the remaining work of a job that some VM can do. A task counts with at most limit, as it uses no
// more than one task's capacity until then.
func (d *Dispatcher) runnableWork(j *recorder.Job, limit manager.Duration) work {
	var total work
	p := d.poolOf(j)
	for i, s := range j.Steps {
		if d.obtainable(p, &j.Steps[i]) {
			total.add(s, float64(j.Remaining(i))*float64(min(limit, d.times.task(j.Queue, s))))
		}
	}
	return total
}

// graphWork returns the work of a job that is not accepted yet.
func (d *Dispatcher) graphWork(g manager.Graph) work {
	var total work
	q, _ := d.State.Queue(g.Queue)
	for i, s := range g.Steps {
		if d.obtainable(q.Pool, &g.Steps[i]) {
			total.add(s, float64(s.Count)*float64(min(maxTaskLoad, d.times.task(g.Queue, s))))
		}
	}
	return total
}
