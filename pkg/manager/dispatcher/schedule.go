package dispatcher

import (
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

// startDueOccurrences starts the occurrences that are due.
func (d *Dispatcher) startDueOccurrences(c *recorder.Changes) {
	var due []recorder.Occurrence
	for id, j := range d.State.Active() {
		for k := j.Occurred; k < j.Repeat.Count && d.schedule.wall >= j.Repeat.DueAt(k) && mayOverlap(j, k-j.Occurred); k++ {
			due = append(due, recorder.Occurrence{Graph: id, Number: k})
		}
	}
	slices.SortFunc(due, func(a, b recorder.Occurrence) int {
		return compareTasks(manager.TaskID{Graph: a.Graph, Step: a.Number}, manager.TaskID{Graph: b.Graph, Step: b.Number})
	})
	for _, o := range due[:min(len(due), maxOccurrences)] {
		c.Occur = append(c.Occur, o)
		d.logMinor(manager.LogOccurrenceStarted, "RequestID", o.Graph, "Occurrence", o.Number, "WallTime", d.schedule.wall)
	}
}

// mayOverlap reports whether another occurrence of a job may start beside the unfinished ones and some that start in this
// cycle.
func mayOverlap(j *recorder.Job, starting int) bool {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	open := j.Unfinished + starting
	return open == 0 || (open+1)*tasks <= maxOpenTasks
}
