package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// gangWaitTime is how long a gang waits for capacity before workers are kept free for it. Most gangs find capacity among
	// the runs that end within a second.
	gangWaitTime = 1 * manager.Second
	// maxReservation limits the time for which workers of a pool are kept free for gangs without a pause, and
	// maxIdleReservation that in which less than busyShare of the pool is used meanwhile.
	maxReservation     = 10 * manager.Second
	maxIdleReservation = 1 * manager.Second
	busyShare          = 0.6
	// reservationPause is the least pause after such a time. It doubles for the gang with each time, up to
	// maxReservationPause.
	reservationPause    = 2 * manager.Second
	maxReservationPause = 1 * manager.Minute
)

// reservation is the time for which workers of a pool have been kept free for gangs.
type reservation struct {
	since manager.Time
	// idleSince is since when less than busyShare of the pool is used, or 0.
	idleSince manager.Time
	// at is the latest cycle of the reservation.
	at          manager.Time
	pausedUntil manager.Time
}

// gangPause is the pause of a gang that could not start although workers were kept free for it.
type gangPause struct {
	until    manager.Time
	duration manager.Duration
}

// reserveForGang keeps workers free for a gang of the job that has waited longer than gangWaitTime and was not placed in this
// cycle, as smaller tasks would take their capacity. It returns the workers that are left for other jobs, and whether some are
// reserved.
func (d *Dispatcher) reserveForGang(now manager.Time, j *recorder.Job, list []*candidate, c *recorder.Changes) ([]*candidate, bool) {
	for s := range j.Steps {
		if !d.gangStarves(now, j, s, c) {
			continue
		}
		id := StepID{Graph: j.Graph.Graph, Step: s}
		chosen := d.chooseReserved(now, j, s, list)
		if chosen == nil || !d.mayReserve(now, d.poolOf(j), id) {
			continue
		}
		for _, w := range chosen {
			w.reservedFor = id
		}
		return slices.DeleteFunc(slices.Clone(list), func(w *candidate) bool { return slices.Contains(chosen, w) }), true
	}
	return list, false
}

// gangStarves reports whether a step is a gang that waits for capacity for too long.
func (d *Dispatcher) gangStarves(now manager.Time, j *recorder.Job, s int, c *recorder.Changes) bool {
	step := &j.Steps[s]
	if !step.Gang || step.LongRunning || j.Remaining(s) == 0 || !j.StepReady(s) || j.NextGangRun(s) == 0 || !d.obtainable(d.poolOf(j), step) ||
		!d.fitsCap(j, s, step.Count) {
		return false
	}
	if slices.ContainsFunc(j.Tasks[s], func(t recorder.Task) bool { return mayReachLimit(now, &t) }) {
		// It waits for reports, not for capacity.
		return false
	}
	if d.holdsGang(now, j, s) {
		// It waits for a rack, while there is capacity for it.
		return false
	}
	since := j.ReleaseTime()
	for i := range j.Tasks[s] {
		since = max(since, j.Tasks[s][i].EndedAt)
	}
	started := slices.ContainsFunc(c.Start, func(o recorder.Start) bool { return o.Task.Graph == j.Graph.Graph && o.Task.Step == s })
	return !started && now.Sub(since) > gangWaitTime
}

// chooseReserved returns the workers that can hold a gang once their finite tasks have ended, or nil if all of them can't. It
// prefers those that are reserved for the gang already, and then those with the fewest finite tasks.
func (d *Dispatcher) chooseReserved(now manager.Time, j *recorder.Job, s int, all []*candidate) []*candidate {
	step, id := &j.Steps[s], StepID{Graph: j.Graph.Graph, Step: s}
	list := slices.DeleteFunc(slices.Clone(d.permittedCandidates(now, j, s, all)), func(w *candidate) bool {
		return w.movePending || step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires)
	})
	finite := func(w *candidate) int64 {
		return int64(w.latest.Capacity.Sub(w.longRunning).Sub(w.free).ProcessorMilliCores)
	}
	reserved := func(w *candidate) int {
		if w.reservedFor == id {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(reserved(a), reserved(b)), cmp.Compare(finite(a), finite(b)))
	})
	n := 0
	for i, w := range list {
		if n += maxTasks(w.latest.Capacity.Sub(w.longRunning), step); n >= step.Count {
			return list[:i+1]
		}
	}
	return nil
}

// mayReserve reports whether workers of a pool may be kept free for a gang in this cycle. It ends a reservation that lasts too
// long: a run may never end, and accepted jobs must not wait without limit while their pool is idle.
func (d *Dispatcher) mayReserve(now manager.Time, p manager.PoolID, id StepID) bool {
	r := d.reservations[p]
	if r == nil {
		r = &reservation{}
		d.reservations[p] = r
	}
	if now < r.pausedUntil || now < d.gangPauses[id].until {
		return false
	}
	if now.Sub(r.at) > d.holdGap() {
		r.since, r.idleSince = now, 0
	}
	r.at = now
	switch {
	case d.usedShare(p) >= busyShare:
		r.idleSince = 0
	case r.idleSince == 0:
		r.idleSince = now
	}
	if now.Sub(r.since) <= maxReservation && (r.idleSince == 0 || now.Sub(r.idleSince) <= maxIdleReservation) {
		return true
	}
	d.pauseGang(now, id)
	r.pausedUntil = now.Add(reservationPause)
	d.log(manager.LogReservationEnded, "RequestID", id.Graph, "Step", id.Step, "Pool", p, "ReservedMs", now.Sub(r.since), "PausedMs", d.gangPauses[id].duration)
	return false
}

// pauseGang starts the next pause of a gang, and drops those of jobs that have ended.
func (d *Dispatcher) pauseGang(now manager.Time, id StepID) {
	maps.DeleteFunc(d.gangPauses, func(id StepID, _ gangPause) bool { return d.State.Active()[id.Graph] == nil })
	pause := min(maxReservationPause, max(reservationPause, 2*d.gangPauses[id].duration))
	d.gangPauses[id] = gangPause{until: now.Add(pause), duration: pause}
}

// usedShare returns the share of the processors of a pool that tasks use.
func (d *Dispatcher) usedShare(p manager.PoolID) float64 {
	var used, all manager.MilliCores
	for _, w := range d.workers {
		if w.latest.Pool == p {
			all += w.latest.Capacity.ProcessorMilliCores
			used += w.latest.Capacity.ProcessorMilliCores - d.usageOf(w).free.ProcessorMilliCores
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}
