package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// wallWindow is the time over which the wall clock's steps are smoothed: the lowest reading counts, so
	// that a step ahead starts nothing early.
	wallWindow = 10 * manager.Second
	// wallSlots part the window.
	wallSlotCount = 10
	// maxOccurrences bounds the occurrences that begin in one step, and so the size of its entry.
	maxOccurrences = 32
)

// schedule tells the time of day to a dispatcher whose own clock knows none.
type schedule struct {
	// offsets are the lowest differences between the wall clock and the dispatcher's in each slot of the window.
	offsets map[manager.Time]manager.Duration
	wall    manager.Time
}

// SetWall tells the wall clock's time; the adapter calls it before each Step.
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

// startDueOccurrences begins the occurrences that are due.
func (d *Dispatcher) startDueOccurrences(c *recorder.Changes) {
	var due []recorder.Occurrence
	for id, j := range d.State.Active() {
		for k := j.Occurred; k < j.Repeat.Count && d.schedule.wall >= j.Repeat.DueAt(k); k++ {
			due = append(due, recorder.Occurrence{Graph: id, Number: k})
		}
	}
	slices.SortFunc(due, func(a, b recorder.Occurrence) int {
		return compareTasks(manager.TaskID{Graph: a.Graph, Step: a.Number}, manager.TaskID{Graph: b.Graph, Step: b.Number})
	})
	for _, o := range due[:min(len(due), maxOccurrences)] {
		c.Occur = append(c.Occur, o)
		d.logMinor(manager.LogOccurrenceBegins, "RequestID", o.Graph, "Occurrence", o.Number, "WallTime", d.schedule.wall)
	}
}
