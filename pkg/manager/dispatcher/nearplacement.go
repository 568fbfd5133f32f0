package dispatcher

import (
	"slices"

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
	if open && unmet.covers(stepResources(*step)) && !j.HasSuspects() {
		d.backlog[d.poolOf(j)] = true
		return true
	}
	rack := d.rackFor(now, r, s, list)
	if rack == "" {
		return false
	}
	p := nearPass{d: d, now: now, rank: r, step: s, rack: rack, list: list, open: open, unmet: unmet, perWorker: d.perWorker(j, s)}
	p.forecast = d.rackForecast(now, rackID{pool: d.poolOf(j), rack: rack}, list)
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
	w, at := p.forecast.earliest(d, step)
	reason, wait := d.waitFor(p.now, p.rank, id, p.rack, at, w != nil && (p.open || len(p.near) > 0))
	if wait {
		w.reserve(at, step, d.times.task(j.Queue, *step))
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

// rackFor returns the rack near which the tasks of a step should run, or "" if any is as good.
func (d *Dispatcher) rackFor(now manager.Time, r *jobRank, s int, list []*candidate) manager.Label {
	j := r.job
	step := &j.Steps[s]
	if !step.PreferSameRack {
		return step.DataRack
	}
	rack, spread := d.rackOfStep(j, s)
	switch {
	case spread:
		return ""
	case rack != "" && (j.OpenRunsIn(s) > 0 || len(d.rackForecast(now, rackID{pool: d.poolOf(j), rack: rack}, list).workers) > 0):
		return rack
	case step.DataRack != "":
		return step.DataRack
	}
	return d.chooseRack(now, r, s, list)
}

// chooseRack chooses a rack for all tasks of a step, or returns "" if they are expected to complete earlier on several.
func (d *Dispatcher) chooseRack(now manager.Time, r *jobRank, s int, list []*candidate) manager.Label {
	j := r.job
	step := &j.Steps[s]
	n := j.Remaining(s)
	racks := sortedRacks(list)
	var best manager.Label
	most := 0
	free := map[manager.Label]int{}
	for _, w := range list {
		if w.polling && !w.movePending && (step.Requires == "" || slices.Contains(w.latest.Labels, step.Requires)) {
			free[w.latest.Rack] += maxTasks(w.free, step)
		}
	}
	total := 0
	for _, rack := range racks {
		total += free[rack]
		if rack != "" && free[rack] > most {
			best, most = rack, free[rack]
		}
	}
	id := StepID{Graph: j.Graph.Graph, Step: s}
	if most >= n {
		d.locality.homes[id] = best
		return best
	}
	if total == 0 {
		return ""
	}
	best, at := d.soonestRack(now, r, s, racks, list)
	in := d.localityInput(now, r, manager.TaskID{Graph: j.Graph.Graph, Step: s}, at)
	if best == "" || !d.Options.Locality.Decide(in).Wait {
		d.locality.homes[id] = ""
		return ""
	}
	d.locality.homes[id] = best
	return best
}

// soonestRack returns the rack that is expected to have had capacity for all waiting tasks of a step first, and when; or
// "".
func (d *Dispatcher) soonestRack(now manager.Time, r *jobRank, s int, racks []manager.Label, list []*candidate) (manager.Label, manager.Time) {
	j := r.job
	var best manager.Label
	var bestAt manager.Time
	for _, rack := range racks {
		if rack == "" {
			continue
		}
		f := d.rackForecast(now, rackID{pool: d.poolOf(j), rack: rack}, list)
		at, ok := f.all(d, &j.Steps[s], j.Remaining(s)-j.OpenRunsIn(s), d.times.task(j.Queue, j.Steps[s]))
		if ok && (best == "" || at < bestAt) {
			best, bestAt = rack, at
		}
	}
	return best, bestAt
}

// gangWaits decides whether a gang that could start on several racks, or remote from its data, waits for one rack.
func (d *Dispatcher) gangWaits(now manager.Time, r *jobRank, s int, places, list []*candidate) bool {
	j := r.job
	step := &j.Steps[s]
	if !d.waitsEnabled() || step.LongRunning || d.gangIsNear(j, s, places) {
		return false
	}
	racks := []manager.Label{step.DataRack}
	if step.DataRack == "" {
		racks = sortedRacks(list)
	}
	rack, at := d.soonestRack(now, r, s, racks, list)
	_, wait := d.waitFor(now, r, manager.TaskID{Graph: j.Graph.Graph, Step: s}, rack, at, rack != "")
	return wait
}

// gangIsNear reports whether a gang's places are as near to its data and to each other as its step asks.
func (d *Dispatcher) gangIsNear(j *recorder.Job, s int, places []*candidate) bool {
	step := &j.Steps[s]
	for _, w := range places {
		if step.DataRack != "" && !w.onRack(step.DataRack) || step.PreferSameRack && w.latest.Rack != places[0].latest.Rack {
			return false
		}
	}
	return true
}

// holdsGang reports whether a gang waits for a rack in this cycle.
func (d *Dispatcher) holdsGang(now manager.Time, j *recorder.Job, s int) bool {
	w := d.locality.waits[manager.TaskID{Graph: j.Graph.Graph, Step: s}]
	return w != nil && w.at == now
}

// endGangWait ends the wait of a gang that starts.
func (d *Dispatcher) endGangWait(now manager.Time, j *recorder.Job, s int, places []*candidate) {
	reason := manager.LocalityTooLong
	if d.gangIsNear(j, s, places) {
		reason = manager.LocalityNear
	}
	local := d.times.task(j.Queue, j.Steps[s])
	d.endWait(now, manager.TaskID{Graph: j.Graph.Graph, Step: s}, reason, d.remoteTime(local)-local)
}

// recordedSlowdown returns the slowdown that is recorded with the end of a run, or 0 if it is none.
func (d *Dispatcher) recordedSlowdown(w *worker, e manager.EndedRun) float64 {
	if f := d.slowdown(w, e.Task); f > 1 && e.How == manager.RunDone {
		return f
	}
	return 0
}
