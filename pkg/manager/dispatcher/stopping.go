package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// stopDeliveryTime is the time after which an answer that was sent before a stop order has either reached its worker or
// never will.
const stopDeliveryTime = 1500 * manager.Millisecond

// stopMark tells when the stop order of a run was first and last sent. No start order of the run is sent after the first.
type stopMark struct {
	run    manager.RunNumber
	first  manager.Time
	latest manager.Time
}

func (w *worker) markStopped(now manager.Time, s manager.StopOrder) {
	m, ok := w.stops[s.Task]
	if !ok || m.run != s.Run {
		m = stopMark{run: s.Run, first: now}
	}
	m.latest = now
	w.stops[s.Task] = m
}

// endStoppedRuns ends the runs that were stopped before they began. The stop order is repeated until then, but only its
// first sending counts: the worker may report more often than the order takes to be delivered.
func (d *Dispatcher) endStoppedRuns(now manager.Time, w *worker, c *recorder.Changes) {
	for _, id := range slices.SortedFunc(maps.Keys(w.stops), compareTasks) {
		m := w.stops[id]
		if _, ok := w.running[id]; ok || now.Sub(m.first) < stopDeliveryTime {
			continue
		}
		r := d.State.Runs(w.instance)[id]
		if r == nil || r.Number != m.run {
			delete(w.stops, id)
			continue
		}
		ended := slices.ContainsFunc(w.latest.Ended, func(e manager.EndedRun) bool { return e.Task == id && e.Run == r.Number })
		if !ended && d.unwanted(w, id, r.Number) {
			c.End = append(c.End, recorder.End{Task: id, Run: r.Number, How: manager.RunStopped})
		}
	}
}
