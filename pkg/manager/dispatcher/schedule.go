package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// wallWindow is the window over which the offset of the wall clock is filtered. The lowest offset counts, so that a
	// step ahead of the wall clock starts nothing early.
	wallWindow = 10 * manager.Second
	// wallSlotCount is the number of slots of the window.
	wallSlotCount = 10
	// maxClockAhead is how far a worker's wall clock may be ahead of the dispatcher's.
	maxClockAhead = 1 * manager.Hour
	// maxOpenTasks limits the tasks of the unfinished occurrences of a job, which are kept in memory.
	maxOpenTasks = 16_384
	// maxIdleTasks and maxIdleOccurrences limit the unfinished occurrences of a job that have no open run. Those that are due
	// beyond that are not recorded yet, as the job holds all that is known of them.
	maxIdleTasks       = manager.MaxGraphTasks
	maxIdleOccurrences = 64
	// maxOccurrences limits the occurrences that start in one cycle, and with them the size of the log entry.
	maxOccurrences = 32
)

// schedule tracks the wall clock, as the dispatcher's own clock does not show the time of day.
type schedule struct {
	// offsets holds the lowest difference between the wall clock and the dispatcher's clock in each slot of the window.
	offsets map[manager.Time]manager.Duration
	wall    manager.Time
}

// SetWall sets the time of the wall clock. It must be called before each cycle.
func (d *Dispatcher) SetWall(now, wall manager.Time) {
	s := &d.schedule
	if s.offsets == nil {
		s.offsets = map[manager.Time]manager.Duration{}
	}
	const width = wallWindow / wallSlotCount
	slot := now / manager.Time(width)
	offset := wall.Sub(now)
	if o, ok := s.offsets[slot]; !ok || offset < o {
		s.offsets[slot] = offset
	}
	lowest := offset
	for k, o := range s.offsets {
		if k <= slot-wallSlotCount {
			delete(s.offsets, k)
			continue
		}
		lowest = min(lowest, o)
	}
	s.wall = now.Add(lowest)
}

// startsAhead reports whether a worker instance claims a start in the future, after which no later instance could be
// known.
func (d *Dispatcher) startsAhead(r manager.WorkerReport) bool {
	return d.schedule.offsets != nil && r.Instance.StartedAt > d.schedule.wall.Add(maxClockAhead)
}

// startDueOccurrences starts the occurrences that are due, of all jobs in turn.
func (d *Dispatcher) startDueOccurrences(now manager.Time, c *recorder.Changes) {
	repeating := d.jobsWithDueOccurrence()
	if len(repeating) == 0 {
		return
	}
	idle := d.idleOccurrences()
	for ahead := 0; len(repeating) > 0; ahead++ {
		var left []*recorder.Job
		for _, j := range repeating {
			k := j.Occurred + ahead
			if len(c.Occur) >= maxOccurrences {
				return
			}
			if k >= j.Repeat.Count || d.schedule.wall < j.Repeat.DueAt(k) || !d.mayOverlap(now, j, idle[j.Graph.Graph]+ahead, ahead) {
				continue
			}
			c.Occur = append(c.Occur, recorder.Occurrence{Graph: j.Graph.Graph, Number: k})
			d.logMinor(manager.LogOccurrenceStarted, "RequestID", j.Graph.Graph, "Occurrence", k, "WallTime", d.schedule.wall)
			left = append(left, j)
		}
		repeating = left
	}
}

// jobsWithDueOccurrence returns the repeating jobs whose next occurrence is due: the one that has waited longest comes first.
func (d *Dispatcher) jobsWithDueOccurrence() []*recorder.Job {
	var list []*recorder.Job
	for _, j := range d.State.Active() {
		if j.Occurred < j.Repeat.Count && d.schedule.wall >= j.Repeat.DueAt(j.Occurred) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *recorder.Job) int {
		return cmp.Or(cmp.Compare(a.Repeat.DueAt(a.Occurred), b.Repeat.DueAt(b.Occurred)), cmp.Compare(a.Graph.Graph, b.Graph.Graph))
	})
	return list
}

// idleOccurrences counts the occurrences without an open run, by repeating job.
func (d *Dispatcher) idleOccurrences() map[manager.GraphID]int {
	idle := map[manager.GraphID]int{}
	for _, j := range d.State.Active() {
		if j.OpenRuns() > 0 || j.Unreleased() || !j.HasRemaining() {
			continue
		}
		if origin := j.Origin(); origin != nil {
			idle[origin.Graph.Graph]++
		} else if j.Repeat.Count > 0 {
			idle[j.Graph.Graph]++
		}
	}
	return idle
}

// mayOverlap reports whether another occurrence of a job may start beside the unfinished ones, of which some are idle, and those
// that start in this cycle. The first occurrence is the job itself, and adds no record.
func (d *Dispatcher) mayOverlap(now manager.Time, j *recorder.Job, idle, starting int) bool {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	open := j.Unfinished + starting
	if j.Unreleased() && starting == 0 || open == 0 && idle == 0 {
		return true
	}
	return (open == 0 || (open+1)*tasks <= maxOpenTasks) && idle < maxIdleOccurrences && (idle == 0 || (idle+1)*tasks <= maxIdleTasks) &&
		d.takeOccurrenceRoom(now, j)
}

// catchesUp reports whether a job is an occurrence that started so long after it was due that it can't meet its objective.
func (d *Dispatcher) catchesUp(now manager.Time, j *recorder.Job) bool {
	origin := j.Origin()
	if origin == nil {
		origin = j
	}
	if origin.Repeat.Count == 0 || d.schedule.offsets == nil {
		return false
	}
	_, k := j.Graph.Graph.Split()
	waited := d.schedule.wall.Sub(origin.Repeat.DueAt(k)) - now.Sub(j.ReleaseTime())
	return waited > d.objective(j).Sub(j.ReleaseTime())
}
