package dispatcher

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// maxTaskLoad limits the time with which a task counts as load: estimates are rough, and a task that runs longer uses no
// more capacity at a time.
const maxTaskLoad = 1 * manager.Minute

// demand is an exponential moving average of incoming work, as capacity.
type demand struct {
	mean work
	at   manager.Time
}

// add adds incoming work, after the decay of the earlier work.
func (d *demand) add(now manager.Time, w work) {
	d.decay(now)
	w.scale(1 / float64(demandWindow))
	d.mean.plus(w)
}

func (d *demand) decay(now manager.Time) {
	d.mean.scale(math.Exp(-float64(now.Sub(d.at)) / float64(demandWindow)))
	d.at = now
}

// recordDemand adds an accepted job to the demand of its pool.
func (d *Dispatcher) recordDemand(now manager.Time, p manager.PoolID, g manager.Graph) {
	if !g.HasFinite() {
		return
	}
	if d.lending.demand == nil {
		d.lending.demand = map[manager.PoolID]*demand{}
	}
	if d.lending.demand[p] == nil {
		d.lending.demand[p] = &demand{at: now}
	}
	d.lending.demand[p].add(now, d.graphWork(g))
}

// poolLoad is what a pool needs and has.
type poolLoad struct {
	pool manager.PoolID
	// need is the capacity for ready tasks and incoming work; running is the capacity for running tasks.
	need    work
	running work
	// surplus is the capacity for waiting tasks beyond the shares of their customers. It keeps VMs in the pool and borrows
	// none.
	surplus work
	// free is the capacity that long-running tasks don't use, with that of VMs that are moving to the pool.
	free manager.Resources
	// unplaceable is a step whose tasks find no worker in the pool, or nil.
	unplaceable *manager.GraphStep
	// longRunningWaits means that a long-running task has no worker yet.
	longRunningWaits bool
}

// load returns the larger of need and running as a share of the pool's capacity after a gain, which may be negative.
func (p *poolLoad) load(gain manager.Resources) float64 {
	capacity := p.free.Add(gain)
	return max(p.need.over(capacity), p.running.over(capacity))
}

// loadWithSurplus is load, with the tasks that wait beyond the shares of their customers.
func (p *poolLoad) loadWithSurplus(gain manager.Resources) float64 {
	all := p.need
	all.plus(p.surplus)
	return max(all.over(p.free.Add(gain)), p.load(gain))
}

func findLoad(loads []*poolLoad, p manager.PoolID) *poolLoad {
	for _, l := range loads {
		if l.pool == p {
			return l
		}
	}
	return nil
}

// loads returns the loads of all pools that are not on standby.
func (d *Dispatcher) loads(now manager.Time) []*poolLoad {
	var list []*poolLoad
	for _, p := range d.State.Configuration.Pools {
		if p.Standby || findLoad(list, p.Pool) != nil {
			continue
		}
		l := &poolLoad{pool: p.Pool, free: d.freeCapacity(now, p.Pool)}
		if in := d.lending.demand[p.Pool]; in != nil {
			in.decay(now)
			l.need = in.mean
			l.need.scale(demandWeight)
		}
		list = append(list, l)
	}
	for vm, p := range d.State.Moves {
		if l := findLoad(list, p); l != nil {
			l.free = l.free.Add(d.lending.vms[vm].Capacity)
		}
	}
	for _, j := range d.State.Active() {
		l := findLoad(list, d.poolOf(j))
		if l == nil || j.Unreleased() {
			continue
		}
		d.findUnplaceable(now, l, j)
		l.longRunningWaits = l.longRunningWaits || d.hasWaitingLongRunning(j)
		d.addNeed(l, j)
	}
	return list
}

// addNeed adds the capacity that a job's running finite tasks use, and the capacity that the ready ones need to be worked
// off within the horizon.
func (d *Dispatcher) addNeed(l *poolLoad, j *recorder.Job) {
	for s, step := range j.Steps {
		if step.LongRunning || j.Remaining(s) == 0 || !j.StepReady(s) || !d.obtainable(l.pool, &j.Steps[s]) {
			// Tasks that are not ready will use the capacity of those that they depend on.
			continue
		}
		running := 0
		for i := range j.Tasks[s] {
			if j.Tasks[s][i].Open != nil {
				running++
			}
		}
		// A running task is half done on average.
		left := float64(j.Remaining(s)) - float64(running)/2
		if !d.fitsCap(j, s, 1) {
			// The others wait for the cap of their customer, whatever capacity the pool has.
			left = float64(running) / 2
		}
		need := &l.need
		if j.Surplus {
			need = &l.surplus
		}
		need.add(step, left*float64(min(maxTaskLoad, d.times.task(j.Queue, step)))/float64(loadHorizon))
		l.running.add(step, float64(running))
	}
}
