package dispatcher

import (
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

// runnableWork returns the remaining work of a job that some VM can do. A task counts with at most limit, as it uses no
// more than one task's capacity until then.
func (d *Dispatcher) runnableWork(j *recorder.Job, limit manager.Duration) work {
	var total work
	for i, s := range j.Steps {
		if d.runnable(&j.Steps[i]) {
			total.add(s, float64(j.Remaining(i))*float64(min(limit, d.times.task(j.Queue, s))))
		}
	}
	return total
}

// graphWork returns the work of a job that is not accepted yet.
func (d *Dispatcher) graphWork(g manager.Graph) work {
	var total work
	for i, s := range g.Steps {
		if d.runnable(&g.Steps[i]) {
			total.add(s, float64(s.Count)*float64(min(maxTaskLoad, d.times.task(g.Queue, s))))
		}
	}
	return total
}
