package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// nearPass places the tasks of one step that has a rack.
type nearPass struct {
	d    *Dispatcher
	now  manager.Time
	rank *jobRank
	step int
	rack manager.Label
	// list are the workers that may run the step, and near those of them on the rack; open means that every worker of the
	// pool may run it.
	list, near []*candidate
	open       bool
	unmet      *shortage
	perWorker  map[manager.WorkerInstance]int
	forecast   *rackForecast
	// nearFull means that no near worker accepts an unconstrained task, and far is the worker that accepts one now.
	nearFull bool
	far      *candidate
	// contested means that the tasks that wait could take all capacity that accepts a task of the step.
	contested bool
}

// placeNear proposes starts of the waiting tasks of a step that has a rack, and lets those wait for which that pays. It
// returns false for other steps.
func (d *Dispatcher) placeNear(now manager.Time, r *jobRank, s int, list []*candidate, open bool, unmet *shortage, c *recorder.Changes) bool {
	j := r.job
	step := &j.Steps[s]
	if !d.waitsEnabled() || step.LongRunning || step.DataRack == "" && !step.PreferSameRack {
		return false
	}
	if j.Remaining(s) == j.OpenRunsIn(s) {
		return true
	}
	if open && unmet.covers(step.Reserved()) && !j.HasSuspects() {
		d.backlog[d.poolOf(j)] = true
		return true
	}
	rack := d.rackFor(now, r, s, list)
	if rack == "" {
		return false
	}
	p := nearPass{d: d, now: now, rank: r, step: s, rack: rack, list: list, open: open, unmet: unmet, perWorker: d.perWorker(j, s)}
	p.forecast = d.rackForecast(now, rackID{pool: d.poolOf(j), rack: rack})
	for _, w := range list {
		if w.onRack(rack) {
			p.near = append(p.near, w)
		}
	}
	order := placementOrder(j, s)
	for i := range j.Tasks[s] {
		if order != nil {
			i = order[i]
		}
		if t := &j.Tasks[s][i]; t.Done || t.Open != nil {
			continue
		}
		if !p.place(i, c) {
			break
		}
	}
	return true
}

// place places a task or lets it wait. It returns false if the other tasks of the step find no worker either.
func (p *nearPass) place(i int, c *recorder.Changes) bool {
	d, j := p.d, p.rank.job
	if !d.fitsCap(j, p.step, 1) {
		d.holdForCap(j, p.step, 1)
		return false
	}
	step, t := &j.Steps[p.step], &j.Tasks[p.step][i]
	id := manager.TaskID{Graph: j.Graph.Graph, Step: p.step, Task: i}
	plain := unconstrained(step, t)
	if !plain || !p.nearFull {
		if w := chooseWorker(p.now, *step, t, p.perWorker, p.near); w != nil {
			return p.start(i, w, manager.LocalityNear, c)
		}
		p.nearFull = p.nearFull || plain
	}
	if !plain || p.far == nil {
		p.far = p.unmet.choose(p.now, step, t, p.perWorker, p.list, p.open)
	}
	if p.far == nil {
		d.backlog[d.poolOf(j)] = true
		return t.Suspicion() > 0
	}
	p.contested = p.contested || d.contested(p.now, j, p.step, p.list)
	w, at := p.forecast.earliest(d, step)
	local := d.times.task(j.Queue, *step)
	n := nearForecast{at: at, ahead: p.forecast.waiting, turnMs: p.forecast.turn(step, local), contested: p.contested}
	if w != nil && (p.open || len(p.near) > 0) {
		n.rack = p.rack
	}
	reason, wait := d.waitFor(p.now, p.rank, id, n)
	if wait {
		w.reserve(at, step, local)
		p.forecast.waiting++
		pool := d.poolOf(j)
		d.locality.waiting[pool] = d.locality.waiting[pool].Add(step.Reserved())
		return true
	}
	return p.start(i, p.far, reason, c)
}

// start proposes the start of a task, whose wait ends.
func (p *nearPass) start(i int, w *candidate, reason manager.LocalityReason, c *recorder.Changes) bool {
	d, j := p.d, p.rank.job
	t := &j.Tasks[p.step][i]
	start := d.start(j, p.step, i, t.LastRun+1, w)
	if !d.addStart(start, c) {
		return false
	}
	w.assign(j.Steps[p.step], t, p.perWorker)
	p.far = nil
	local := d.times.task(j.Queue, j.Steps[p.step])
	d.endWait(p.now, start.Task, reason, d.remoteTime(local)-local)
	return true
}

// contested reports whether the tasks that wait in this cycle could take all capacity that accepts a task of the step. It is
// false while the free capacity of the pool suffices for all waiting tasks.
func (d *Dispatcher) contested(now manager.Time, j *recorder.Job, s int, list []*candidate) bool {
	if d.pressure(now, d.poolOf(j)).over <= 1 {
		return false
	}
	need := j.Steps[s].Reserved()
	var accepting manager.Resources
	for _, w := range list {
		if w.polling && w.free.Fits(need) {
			accepting = accepting.Add(w.free)
		}
	}
	return !accepting.Sub(d.locality.waiting[d.poolOf(j)]).Fits(need)
}
