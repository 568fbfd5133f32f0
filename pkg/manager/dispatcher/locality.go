package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/localizer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// localitySweepPeriod is the pause between two searches for waits whose job has ended.
const localitySweepPeriod = 1 * manager.Second

// minHoldGap is the least time between two cycles in which a task waits that counts as the end of one wait and the
// beginning of another.
const minHoldGap = 500 * manager.Millisecond

// holdGap returns the longest time between two cycles in which a task waits that counts as waiting. In a longer time, in
// which each worker reports twice, there was no capacity for the task, so that its wait did not hold it.
func (d *Dispatcher) holdGap() manager.Duration { return max(minHoldGap, 2*d.reportPause()) }

// locality holds the waits for racks. It is not replicated: a new dispatcher begins each wait anew.
type locality struct {
	waits map[manager.TaskID]*localityWait
	holds map[manager.GraphID]*jobHold
	steps map[StepID]*stepRacks
	// cycle numbers the cycles, and now is the time of the present one.
	cycle   uint64
	now     manager.Time
	sweptAt manager.Time
	// candidates holds the workers of each pool that may get tasks in this cycle.
	candidates map[manager.PoolID][]*candidate
	// waiting is the resources of the tasks of each pool that wait in this cycle.
	waiting map[manager.PoolID]manager.Resources
	// started holds the expected ends of the starts that this cycle proposes.
	started map[manager.WorkerInstance][]release
	// forecasts and pressures are caches of a cycle.
	forecasts map[rackID]*rackForecast
	pressures map[manager.PoolID]*poolPressure
}

// localityWait is the wait of one task. It is kept until the task starts or its job ends.
type localityWait struct {
	rack  manager.Label
	until manager.Time
	// at is the latest cycle in which the task waited although a remote worker accepted it, and waited how long it did until
	// then, without times in which no worker did.
	at     manager.Time
	waited manager.Duration
}

// jobHold is when the first wait of a job began, for how long waits have held it with nothing running, and the latest cycle in
// which they did.
type jobHold struct {
	since manager.Time
	total manager.Duration
	at    manager.Time
}

// EndedWait holds what the metrics count of a task that waited for a rack.
type EndedWait struct {
	WaitedMs manager.Duration
	Reason   manager.LocalityReason
	// PaidOff means that the task started near its data, earlier than a remote run that started at the beginning of the
	// wait would have lasted beyond a local one.
	PaidOff bool
}

func setDefaultLocality(o *Options) {
	if o.Locality == nil {
		o.Locality = localizer.Adaptive{}
	}
}

func newLocality() locality {
	return locality{waits: map[manager.TaskID]*localityWait{}, holds: map[manager.GraphID]*jobHold{}, steps: map[StepID]*stepRacks{}}
}

// waitsEnabled reports whether tasks may wait for racks.
func (d *Dispatcher) waitsEnabled() bool { return d.Options.RemoteFactor > 1 }

// startLocality prepares the waits for a cycle.
func (d *Dispatcher) startLocality(now manager.Time) {
	if !d.waitsEnabled() {
		return
	}
	l := &d.locality
	l.cycle++
	l.now = now
	l.forecasts, l.pressures = map[rackID]*rackForecast{}, map[manager.PoolID]*poolPressure{}
	l.waiting, l.started = map[manager.PoolID]manager.Resources{}, map[manager.WorkerInstance][]release{}
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
	maps.DeleteFunc(l.steps, func(id StepID, _ *stepRacks) bool { return d.State.Active()[id.Graph] == nil })
}

// localityInput describes a task for the policy.
func (d *Dispatcher) localityInput(now manager.Time, r *jobRank, id manager.TaskID, n nearForecast) manager.LocalityInput {
	j := r.job
	local := d.times.task(j.Queue, j.Steps[id.Step])
	remote := d.remoteTime(local)
	in := manager.LocalityInput{
		Now: now, Since: now, LocalMs: local, RemoteMs: remote, NearAt: n.at, Ahead: n.ahead, TurnMs: n.turnMs, Contested: n.contested,
		LatestStart: r.latestStart, LatestRemote: d.objective(j).Add(-d.remotePath(now, j, id.Step)),
		BacklogMs: d.pressure(now, d.poolOf(j)).backlog(local, remote), Idle: j.OpenRuns() == 0,
	}
	if w := d.locality.waits[id]; w != nil && now.Sub(w.at) <= d.holdGap() {
		in.WaitUntil = w.until
	}
	if hold := d.locality.holds[j.Graph.Graph]; hold != nil {
		in.Since, in.HeldMs = hold.since, hold.total
		if gap := now.Sub(hold.at); in.Idle && gap <= d.holdGap() {
			in.HeldMs += gap
		}
	}
	return in
}

// remotePath returns the expected duration of the longest chain of steps of a job that are not done, with the given step
// run remote, and all others whose rack has no capacity for them now.
func (d *Dispatcher) remotePath(now manager.Time, j *recorder.Job, remote int) manager.Duration {
	longest := make([]manager.Duration, len(j.Steps))
	var total manager.Duration
	for i, s := range j.Steps {
		if j.Remaining(i) > 0 {
			longest[i] = d.times.task(j.Queue, s)
		}
		if i == remote || s.PreferSameRack || s.DataRack != "" && !d.nearNow(now, j, i) {
			longest[i] = d.remoteTime(longest[i])
		}
		var before manager.Duration
		for _, n := range s.DependsOn {
			before = max(before, longest[n])
		}
		longest[i] += before
		total = max(total, longest[i])
	}
	return total
}

// nearNow reports whether the rack of a step's data has free capacity for a task of it now, beside the tasks that wait.
func (d *Dispatcher) nearNow(now manager.Time, j *recorder.Job, s int) bool {
	for _, w := range d.rackForecast(now, rackID{pool: d.poolOf(j), rack: j.Steps[s].DataRack}).workers {
		if w.free(d).Fits(j.Steps[s].Reserved()) {
			return true
		}
	}
	return false
}

// remoteTime returns the duration of a remote run.
func (d *Dispatcher) remoteTime(local manager.Duration) manager.Duration {
	return manager.DurationOf(float64(local) * d.Options.RemoteFactor)
}

// waitFor decides whether a task, which a remote worker accepts now, waits for a rack. It returns why the task does not
// wait.
func (d *Dispatcher) waitFor(now manager.Time, r *jobRank, id manager.TaskID, n nearForecast) (manager.LocalityReason, bool) {
	if n.rack == "" {
		return manager.LocalityNoWorker, false
	}
	in := d.localityInput(now, r, id, n)
	o := d.Options.Locality.Decide(in)
	if !o.Wait {
		return o.Reason, false
	}
	w := d.locality.waits[id]
	switch {
	case w == nil:
		w = &localityWait{rack: n.rack, until: o.Until}
		d.locality.waits[id] = w
	case in.WaitUntil == 0:
		w.until = o.Until
	default:
		w.waited += now.Sub(w.at)
	}
	w.at = now
	hold := d.locality.holds[r.job.Graph.Graph]
	if hold == nil {
		hold = &jobHold{since: now}
		d.locality.holds[r.job.Graph.Graph] = hold
	}
	if in.Idle && !in.Contested {
		hold.total, hold.at = in.HeldMs, now
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
	waited := w.waited
	if gap := now.Sub(w.at); gap <= d.holdGap() {
		waited += gap
	}
	paid := reason == manager.LocalityNear && waited < gain
	d.logMinor(manager.LogRackWaitEnded, "RequestID", id.Graph, "Task", id, "Rack", w.rack, "WaitedMs", waited, "Reason", reason, "PaidOff", paid)
	if reason != manager.LocalityJobEnded {
		d.logLines[len(d.logLines)-1].Waited = &EndedWait{WaitedMs: waited, Reason: reason, PaidOff: paid}
	}
}
