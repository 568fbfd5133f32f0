package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// poolPressure is how much of a pool its finite tasks use and ask for.
type poolPressure struct {
	// waitingMs is how long the pool needs for its waiting tasks.
	waitingMs float64
	// over is the resources of the waiting tasks as a share of the free ones.
	over float64
	// used is the share of the pool's capacity that finite tasks use, and incoming that which arriving jobs ask for.
	used     float64
	incoming float64
}

// pressure returns the pressure on a pool, which is computed once in a cycle. It counts the capacity of all workers, also
// of those whose next report is awaited.
func (d *Dispatcher) pressure(now manager.Time, p manager.PoolID) *poolPressure {
	if known := d.locality.pressures[p]; known != nil {
		return known
	}
	var total, need, used work
	for _, j := range d.jobsByPool[p] {
		for s, step := range j.Steps {
			if step.LongRunning {
				continue
			}
			used.add(step, float64(j.OpenRunsIn(s)))
			if d.stepWaits(j, s) {
				n := float64(j.Remaining(s) - j.OpenRunsIn(s))
				total.add(step, n*float64(d.times.task(j.Queue, step)))
				need.add(step, n)
			}
		}
	}
	var free manager.Resources
	for _, w := range d.sortedWorkers() {
		if w.latest.Pool == p && d.staysAvailable(now, w) {
			free = free.Add(d.usageOf(w).free)
		}
	}
	capacity := d.freeCapacity(now, p)
	f := &poolPressure{waitingMs: total.over(capacity), over: need.over(free), used: used.over(capacity)}
	if in := d.lending.demand[p]; in != nil {
		in.decay(now)
		f.incoming = in.mean.over(capacity)
	}
	d.locality.pressures[p] = f
	return f
}

// backlog returns how long the pool needs for the waiting tasks that its free capacity does not suffice for, now or, with
// the present rate of arrivals, when a remote run that starts now ends.
func (p *poolPressure) backlog(local, remote manager.Duration) manager.Duration {
	var present float64
	if p.over > 1 {
		present = p.waitingMs * (1 - 1/p.over)
	}
	// A running task is half done on average.
	expected := p.waitingMs + p.used*float64(local)/2 + (p.incoming-1)*float64(remote)
	return manager.DurationOf(max(present, expected))
}
