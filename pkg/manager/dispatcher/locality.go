package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// localitySweepPeriod is the pause between two searches for waits whose job has ended.
const localitySweepPeriod = 1 * manager.Second

// maxHoldGap bounds the time between two cycles that counts as held: in a longer one there was no capacity for the job, or
// it had something running.
const maxHoldGap = 500 * manager.Millisecond

// locality holds the waits for racks. It is not replicated: a new dispatcher begins each wait anew.
type locality struct {
	waits map[manager.TaskID]*localityWait
	holds map[manager.GraphID]*jobHold
	// homes holds the rack that was chosen for the tasks of a step that should share one. An empty rack means that the
	// step was spread over several.
	homes   map[StepID]manager.Label
	sweptAt manager.Time
	// shortBefore holds the pools that had a backlog in the previous cycle.
	shortBefore map[manager.PoolID]bool
	// forecasts and backlogs are caches of a cycle.
	forecasts map[rackID]*rackForecast
	backlogs  map[manager.PoolID]manager.Duration
}

// localityWait is the wait of one task. It is kept after its end until the task starts.
type localityWait struct {
	rack  manager.Label
	since manager.Time
	until manager.Time
	// at is the latest cycle in which the task waited although a remote worker accepted it.
	at manager.Time
}

// jobHold is for how long waits have held a job with nothing running, and the latest cycle in which they did.
type jobHold struct {
	total manager.Duration
	at    manager.Time
}

// EndedWait holds what the metrics count of a task that waited for a rack.
type EndedWait struct {
	WaitedMs manager.Duration
	// PaidOff means that the task started near its data, earlier than a remote run that started at the beginning of the
	// wait would have lasted beyond a local one.
	PaidOff bool
}

// waitsEnabled reports whether tasks may wait for racks.
func (d *Dispatcher) waitsEnabled() bool { return d.Options.RemoteFactor > 1 }

// startLocality prepares the waits for a cycle.
func (d *Dispatcher) startLocality(now manager.Time) {
	if !d.waitsEnabled() {
		return
	}
	l := &d.locality
	l.shortBefore, l.forecasts, l.backlogs = d.backlog, map[rackID]*rackForecast{}, map[manager.PoolID]manager.Duration{}
	if l.waits == nil {
		l.waits, l.holds, l.homes = map[manager.TaskID]*localityWait{}, map[manager.GraphID]*jobHold{}, map[StepID]manager.Label{}
	}
	if now.Sub(l.sweptAt) < localitySweepPeriod {
		return
	}
	l.sweptAt = now
	for _, id := range slices.SortedFunc(maps.Keys(l.waits), compareTasks) {
		if d.State.Active()[id.Graph] == nil {
			d.endWait(now, id, manager.LocalityJobEnded, 0)
		}
	}
	maps.DeleteFunc(l.holds, func(g manager.GraphID, _ *jobHold) bool { return d.State.Active()[g] == nil })
	maps.DeleteFunc(l.homes, func(id StepID, _ manager.Label) bool { return d.State.Active()[id.Graph] == nil })
}

// onRack reports whether a worker is on a rack.
func (w *worker) onRack(rack manager.Label) bool {
	return w.latest.Rack == rack || slices.Contains(w.latest.Labels, rack)
}

// slowdown returns how many times as long as near its data a run on a worker lasts.
func (d *Dispatcher) slowdown(w *worker, id manager.TaskID) float64 {
	j := d.State.Jobs[id.Graph]
	if !d.waitsEnabled() || j == nil {
		return 1
	}
	step := &j.Steps[id.Step]
	if step.DataRack != "" && !w.onRack(step.DataRack) {
		return d.Options.RemoteFactor
	}
	if step.PreferSameRack {
		if rack, spread := d.rackOfStep(j, id.Step); spread || rack != "" && rack != w.latest.Rack {
			return d.Options.RemoteFactor
		}
	}
	return 1
}

// rackOfStep returns the rack on which the tasks of a step run, and whether they run on several.
func (d *Dispatcher) rackOfStep(j *recorder.Job, s int) (rack manager.Label, spread bool) {
	rack, known := d.locality.homes[StepID{Graph: j.Graph.Graph, Step: s}]
	if known && rack == "" {
		return "", true
	}
	for i := range j.Tasks[s] {
		r := j.Tasks[s][i].Open
		if r == nil {
			continue
		}
		w := d.workers[r.Instance.Worker]
		if w == nil || w.instance != r.Instance {
			continue
		}
		if rack != "" && rack != w.latest.Rack {
			return "", true
		}
		rack = w.latest.Rack
	}
	return rack, false
}

// localityBacklog returns how long a pool needs for its waiting tasks, or 0 if each found a worker in the previous cycle.
func (d *Dispatcher) localityBacklog(now manager.Time, p manager.PoolID) manager.Duration {
	if !d.locality.shortBefore[p] {
		return 0
	}
	if b, ok := d.locality.backlogs[p]; ok {
		return b
	}
	var total work
	for _, j := range d.jobsByPool[p] {
		for s := range j.Steps {
			if d.stepWaits(j, s) {
				total.add(j.Steps[s], float64(j.Remaining(s)-j.OpenRunsIn(s))*float64(d.times.task(j.Queue, j.Steps[s])))
			}
		}
	}
	b := manager.DurationOf(total.over(d.freeCapacity(now, p)))
	d.locality.backlogs[p] = b
	return b
}

// localityInput describes a task for the policy.
func (d *Dispatcher) localityInput(now manager.Time, r *jobRank, id manager.TaskID, nearAt manager.Time) manager.LocalityInput {
	j := r.job
	local := d.times.task(j.Queue, j.Steps[id.Step])
	in := manager.LocalityInput{
		Now: now, LocalMs: local, RemoteMs: d.remoteTime(local), NearAt: nearAt,
		LatestStart: r.latestStart, BacklogMs: d.localityBacklog(now, d.poolOf(j)), Idle: j.OpenRuns() == 0,
	}
	if w := d.locality.waits[id]; w != nil {
		in.WaitUntil = w.until
	}
	if hold := d.locality.holds[j.Graph.Graph]; hold != nil {
		in.HeldMs = hold.total
		if in.Idle {
			in.HeldMs += min(maxHoldGap, now.Sub(hold.at))
		}
	}
	return in
}

// remoteTime returns the duration of a remote run.
func (d *Dispatcher) remoteTime(local manager.Duration) manager.Duration {
	return manager.DurationOf(float64(local) * d.Options.RemoteFactor)
}

// waitFor decides whether a task, which a remote worker accepts now, waits for a rack that is expected to accept it at
// nearAt. ok is false if the rack has no worker for it. It returns why the task does not wait.
func (d *Dispatcher) waitFor(now manager.Time, r *jobRank, id manager.TaskID, rack manager.Label, nearAt manager.Time, ok bool) (manager.LocalityReason, bool) {
	if !ok {
		return manager.LocalityNoWorker, false
	}
	in := d.localityInput(now, r, id, nearAt)
	o := d.Options.Locality.Decide(in)
	if !o.Wait {
		return o.Reason, false
	}
	w := d.locality.waits[id]
	if w == nil {
		w = &localityWait{rack: rack, since: now, until: o.Until}
		d.locality.waits[id] = w
	}
	w.at = now
	if in.Idle {
		d.locality.holds[r.job.Graph.Graph] = &jobHold{total: in.HeldMs, at: now}
	}
	return "", true
}

// endWait ends the wait of a task, if it has one, and logs it. gain is how much longer a remote run lasts.
func (d *Dispatcher) endWait(now manager.Time, id manager.TaskID, reason manager.LocalityReason, gain manager.Duration) {
	w := d.locality.waits[id]
	if w == nil {
		return
	}
	delete(d.locality.waits, id)
	waited := now.Sub(w.since)
	paid := reason == manager.LocalityNear && waited < gain
	d.logMinor(manager.LogRackWaitEnded, "RequestID", id.Graph, "Task", id, "Rack", w.rack, "WaitedMs", waited, "Reason", reason, "PaidOff", paid)
	if reason != manager.LocalityJobEnded {
		d.logLines[len(d.logLines)-1].Waited = &EndedWait{WaitedMs: waited, PaidOff: paid}
	}
}

// sortedRacks returns the racks of the candidates in order.
func sortedRacks(list []*candidate) []manager.Label {
	var racks []manager.Label
	for _, w := range list {
		racks = append(racks, w.latest.Rack)
	}
	slices.SortFunc(racks, cmp.Compare)
	return slices.Compact(racks)
}
