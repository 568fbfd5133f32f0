package dispatcher

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// demand is the mean of the work that comes in, as capacity.
type demand struct {
	mean work
	at   manager.Time
}

// take adds work, after what came before has faded.
func (d *demand) add(now manager.Time, w work) {
	d.decay(now)
	w.scale(1 / float64(demandWindow))
	d.mean.plus(w)
}

func (d *demand) decay(now manager.Time) {
	d.mean.scale(math.Exp(-float64(now.Sub(d.at)) / float64(demandWindow)))
	d.at = now
}

// noteDemand takes a job that was accepted for a pool.
func (d *Dispatcher) recordDemand(now manager.Time, p manager.PoolID, g manager.Graph) {
	if g.Steps[0].Lasting {
		return
	}
	if d.lending.demand == nil {
		d.lending.demand = map[manager.PoolID]*demand{}
	}
	if d.lending.demand[p] == nil {
		d.lending.demand[p] = &demand{at: now}
	}
	d.lending.demand[p].add(now, d.times.graphWork(g))
}

// poolLoad is what a pool needs and has.
type poolLoad struct {
	pool manager.PoolID
	// need is the capacity for what is ready and what comes in, running that for what runs.
	need    work
	running work
	free    manager.Resources
	// stranded is a step whose tasks find no worker in the pool, or nil.
	stranded *manager.GraphStep
}

// load is the need as a share of what the pool has, once it has gained some capacity.
func (p *poolLoad) load(gain manager.Resources) float64 {
	room := p.free.Add(gain)
	return max(p.need.over(room), p.running.over(room))
}

func findLoad(loads []*poolLoad, p manager.PoolID) *poolLoad {
	for _, l := range loads {
		if l.pool == p {
			return l
		}
	}
	return nil
}

// loads returns what the pools that are in use need and have.
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
		switch {
		case l == nil || j.Unreleased():
		case j.Lasting():
			d.findStranded(now, l, j)
		default:
			d.findStranded(now, l, j)
			d.addNeed(l, j)
		}
	}
	return list
}

// addNeed adds what a job's running tasks take, or what it takes to work off all that is ready within the
// horizon.
func (d *Dispatcher) addNeed(l *poolLoad, j *recorder.Job) {
	for s, step := range j.Steps {
		if j.Remaining(s) == 0 || !j.StepReady(s) {
			// Tasks that are not ready take the place of those that they wait for.
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
		l.need.add(step, left*float64(d.times.task(j.Queue, step))/float64(loadHorizon))
		l.running.add(step, float64(running))
	}
}
