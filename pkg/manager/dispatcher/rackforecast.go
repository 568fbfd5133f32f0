package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// endDelay is the time from the end of a run to a report that shows it: a report that is held at that time is answered
	// first, within DefaultBusyPoll.
	endDelay = 100 * manager.Millisecond
	// maxReportDelay is how late a report may be until the worker is not counted on. The workers of a lost rack are noticed
	// that way half a second earlier than by maxCandidateAge.
	maxReportDelay = 300 * manager.Millisecond
	// overdueShare of the time for which a run has lasted is the least time that it is expected to go on, as estimates are
	// rough.
	overdueShare = 0.1
	// maxRackSlots bounds the tasks that one worker counts for, as those without resources fit without end.
	maxRackSlots = 1000
)

// rackID names a rack's workers of one pool.
type rackID struct {
	pool manager.PoolID
	rack manager.Label
}

// rackForecast predicts when the workers of a rack have capacity, after the tasks that wait for the rack.
type rackForecast struct {
	workers []*workerForecast
	// waiting is the number of tasks that wait for the rack.
	waiting int
	// slots caches how many tasks with given resources the rack runs at once.
	slots map[manager.Resources]int
}

// nearForecast is what is expected of the rack for which a task may wait. rack is "" if no live worker can run it.
type nearForecast struct {
	rack   manager.Label
	at     manager.Time
	ahead  int
	turnMs float64
	// contested means that the tasks that wait in this cycle could take all capacity that accepts the task.
	contested bool
}

// turn returns the mean time, in milliseconds, in which the rack completes a task of a step.
func (f *rackForecast) turn(step *manager.GraphStep, local manager.Duration) float64 {
	need := step.Reserved()
	n, ok := f.slots[need]
	if !ok {
		all := manager.GraphStep{Count: maxRackSlots, PerTask: need}
		for _, w := range f.workers {
			n += maxTasks(w.latest.Capacity.Sub(w.usage.longRunning), &all)
		}
		f.slots[need] = n
	}
	return float64(local) / float64(max(1, n))
}

// workerForecast predicts the free capacity of one worker.
type workerForecast struct {
	*worker
	// candidate is set if the worker may get tasks in this cycle; its free capacity contains the starts of the cycle.
	candidate *candidate
	// readyAt is when the next report of the worker is expected.
	readyAt manager.Time
	// reserved is the capacity that waiting tasks take, without what releases has returned by then.
	reserved manager.Resources
	// releases lists the ends of runs and reservations by time; those up to the latest reservation are removed.
	releases []release
}

// release is capacity that is expected to come free.
type release struct {
	at   manager.Time
	free manager.Resources
}

func compareReleases(a, b release) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.free.ProcessorMilliCores, b.free.ProcessorMilliCores),
		cmp.Compare(a.free.MemoryMegaBytes, b.free.MemoryMegaBytes), cmp.Compare(a.free.Accelerators, b.free.Accelerators))
}

// rackForecast returns the forecast of a rack, which is built once in a cycle.
func (d *Dispatcher) rackForecast(now manager.Time, id rackID) *rackForecast {
	if f := d.locality.forecasts[id]; f != nil {
		return f
	}
	byInstance := map[manager.WorkerInstance]*candidate{}
	for _, w := range d.locality.candidates[id.pool] {
		if w.onRack(id.rack) {
			byInstance[w.instance] = w
		}
	}
	f := &rackForecast{slots: map[manager.Resources]int{}}
	for _, w := range d.sortedWorkers() {
		if w.latest.Pool == id.pool && w.onRack(id.rack) && d.staysAvailable(now, w) {
			f.workers = append(f.workers, d.forecastWorker(now, w, byInstance[w.instance]))
		}
	}
	d.locality.forecasts[id] = f
	return f
}

// staysAvailable reports whether a worker is alive and may get finite tasks with one of its next reports.
func (d *Dispatcher) staysAvailable(now manager.Time, w *worker) bool {
	leaving := w.latest.Draining || w.evacuating || w.moveOrdered || w.movePending
	due := w.answeredAt.Add(d.reportPause() + maxReportDelay)
	return !leaving && (w.polling || now <= due && now.Sub(w.heardAt) <= maxCandidateAge) && !w.health.excluded(now)
}

func (d *Dispatcher) forecastWorker(now manager.Time, w *worker, c *candidate) *workerForecast {
	f := &workerForecast{worker: w, candidate: c, readyAt: now}
	if !w.polling {
		f.readyAt = max(now, w.answeredAt.Add(d.reportPause()))
	}
	for id, r := range d.State.Runs(w.instance) {
		if at, ok := d.expectedEnd(now, w, id, r); ok {
			f.releases = append(f.releases, release{at: at, free: d.taskResources(id)})
		}
	}
	f.releases = append(f.releases, d.locality.started[w.instance]...)
	slices.SortFunc(f.releases, compareReleases)
	return f
}

// noteRelease adds the expected end of a start that this cycle proposes to the forecast of the worker's rack.
func (d *Dispatcher) noteRelease(w *worker, step *manager.GraphStep, local manager.Duration) {
	lasts := local
	if step.DataRack != "" && !w.onRack(step.DataRack) {
		lasts = d.remoteTime(local)
	}
	r := release{at: d.locality.now.Add(lasts + endDelay), free: step.Reserved()}
	d.locality.started[w.instance] = append(d.locality.started[w.instance], r)
	f := d.locality.forecasts[rackID{pool: w.latest.Pool, rack: w.latest.Rack}]
	if f == nil {
		return
	}
	for _, known := range f.workers {
		if known.worker == w {
			known.addRelease(r)
		}
	}
}

func (f *workerForecast) addRelease(r release) {
	i, _ := slices.BinarySearchFunc(f.releases, r, compareReleases)
	f.releases = slices.Insert(f.releases, i, r)
}

// expectedEnd returns when the end of a run is expected to be known, and false for a run that does not end by itself.
func (d *Dispatcher) expectedEnd(now manager.Time, w *worker, id manager.TaskID, r *recorder.Run) (manager.Time, bool) {
	if slices.ContainsFunc(w.latest.Ended, func(e manager.EndedRun) bool { return e.Task == id && e.Run == r.Number }) {
		return now, true
	}
	j := d.State.Jobs[id.Graph]
	if j == nil || j.Steps[id.Step].LongRunning {
		return 0, false
	}
	ran := now.Sub(r.At)
	left := manager.DurationOf(float64(d.times.task(j.Queue, j.Steps[id.Step]))*d.slowdown(w, id)) - ran
	return now.Add(max(left, manager.DurationOf(overdueShare*float64(ran))) + endDelay), true
}

// free returns the worker's free capacity now, less what is reserved.
func (f *workerForecast) free(d *Dispatcher) manager.Resources {
	if f.candidate != nil {
		return f.candidate.free.Sub(f.reserved)
	}
	return d.usageOf(f.worker).free.Sub(f.reserved)
}

// earliest returns when the worker is expected to have capacity for a task, and false if it never has.
func (f *workerForecast) earliest(d *Dispatcher, step *manager.GraphStep) (manager.Time, bool) {
	if step.Requires != "" && !slices.Contains(f.latest.Labels, step.Requires) {
		return 0, false
	}
	free, need := f.free(d), step.Reserved()
	if free.Fits(need) {
		return f.readyAt, true
	}
	for _, r := range f.releases {
		free = free.Add(r.free)
		if free.Fits(need) {
			return max(f.readyAt, r.at), true
		}
	}
	return 0, false
}

// reserve takes the capacity for a task from a time on, for its duration.
func (f *workerForecast) reserve(at manager.Time, step *manager.GraphStep, lasts manager.Duration) {
	need := step.Reserved()
	n := 0
	for n < len(f.releases) && f.releases[n].at <= at {
		f.reserved = f.reserved.Sub(f.releases[n].free)
		n++
	}
	f.releases = f.releases[n:]
	f.reserved = f.reserved.Add(need)
	f.addRelease(release{at: at.Add(lasts), free: need})
	f.readyAt = max(f.readyAt, at)
}

// earliest returns the worker of the rack that is expected to have capacity for a task first, and when; or nil.
func (f *rackForecast) earliest(d *Dispatcher, step *manager.GraphStep) (*workerForecast, manager.Time) {
	var best *workerForecast
	var bestAt manager.Time
	for _, w := range f.workers {
		if at, ok := w.earliest(d, step); ok && (best == nil || at < bestAt) {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// clone returns a copy whose reservations leave f unchanged.
func (f *rackForecast) clone() *rackForecast {
	c := &rackForecast{}
	for _, w := range f.workers {
		o := *w
		o.releases = slices.Clone(w.releases)
		c.workers = append(c.workers, &o)
	}
	return c
}

// all returns when the rack is expected to have had capacity for n tasks of a step, and false if it never has.
func (f *rackForecast) all(d *Dispatcher, step *manager.GraphStep, n int, lasts manager.Duration) (manager.Time, bool) {
	c := f.clone()
	var last manager.Time
	for range n {
		w, at := c.earliest(d, step)
		if w == nil {
			return 0, false
		}
		w.reserve(at, step, lasts)
		last = max(last, at)
	}
	return last, len(c.workers) > 0
}
