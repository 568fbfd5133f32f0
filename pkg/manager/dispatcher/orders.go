package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// answerReports answers the held reports for which there are orders or which have waited long enough.
func (d *Dispatcher) answerReports(now manager.Time) []Answer {
	var answers []Answer
	for _, w := range d.sortedWorkers() {
		if !w.polling {
			continue
		}
		if w.endsPending {
			// The capacity that the ends just committed have freed is assigned in the next cycle; the answer waits for
			// it.
			w.endsPending = false
			continue
		}
		waited := now.Sub(w.pollStartedAt) >= d.pollTimeout(w)
		if !waited && !w.ordersChanged {
			continue
		}
		o, urgent := d.orders(now, w)
		w.ordersChanged = false
		if !urgent && !waited {
			continue
		}
		w.polling, w.throttleOrders, w.answeredAt = false, nil, now
		if o.LeaseMs > 0 {
			w.leaseExpiresAt = max(w.leaseExpiresAt, w.pollStartedAt.Add(d.leaseTimeout()))
		}
		answers = append(answers, Answer{Call: w.call, Orders: o})
	}
	return answers
}

// pollTimeout returns how long a worker's report may be held.
func (d *Dispatcher) pollTimeout(w *worker) manager.Duration {
	if w.latest.Draining || d.backlog[w.latest.Pool] || w.forwarded && d.tooManyWorkers() {
		// A forwarded report that is held occupies a connection of the node that forwards it.
		return 0
	}
	if d.usageOf(w).finite {
		return d.Options.BusyPollMs
	}
	return d.Options.IdlePollMs
}

// orders returns the answer to a worker's latest report and whether it should be sent at once.
func (d *Dispatcher) orders(now manager.Time, w *worker) (*manager.WorkerOrders, bool) {
	o := &manager.WorkerOrders{
		LeaseMs: d.Options.LeaseMs, AckedEnds: w.ackedEnds, Token: d.Token, ReportTo: d.reportTo(now, w), NextMs: d.reportPause(),
	}
	urgent := len(w.latest.Ended) > 0
	if w.leaving {
		o.LeaseMs = 0
	} else {
		o.Start = d.startOrders(w)
	}
	o.Stop = d.stops(now, w)
	o.Throttle = w.throttleOrders
	return o, urgent || len(o.Start)+len(o.Stop)+len(o.Throttle) > 0
}

// unwanted reports whether an open run of a worker must end, or must not begin: its job has ended, its gang lacks a task,
// or it was withdrawn.
func (d *Dispatcher) unwanted(w *worker, id manager.TaskID, n manager.RunNumber) bool {
	return d.State.Jobs[id.Graph].State.Ended() || d.incompleteGang(id, n) || w.withdrawn[id] == n
}

// stops lists the runs that must end: unwanted runs, runs that are not open in the state, and evicted runs.
func (d *Dispatcher) stops(now manager.Time, w *worker) []manager.StopOrder {
	var list []manager.StopOrder
	add := func(id manager.TaskID, n manager.RunNumber) {
		if m, ok := w.stops[id]; ok && m.run == n && now.Sub(m.latest) < d.Options.StopMs {
			return
		}
		list = append(list, manager.StopOrder{Task: id, Run: n})
	}
	for id, r := range w.running {
		open := d.State.OpenRun(id, r.Run)
		if open == nil || open.Instance != w.instance || d.unwanted(w, id, r.Run) || d.evicted(w, id) {
			add(id, r.Run)
		}
	}
	for id, r := range d.State.Runs(w.instance) {
		if _, ok := w.running[id]; !ok && d.unwanted(w, id, r.Number) {
			add(id, r.Number)
		}
	}
	slices.SortFunc(list, func(a, b manager.StopOrder) int { return compareTasks(a.Task, b.Task) })
	for _, s := range list {
		w.markStopped(now, s)
		d.logMinor(manager.LogRunStopped, "RequestID", s.Task.Graph, "Task", s.Task, "Run", s.Run, "Worker", w.instance.Worker)
	}
	return list
}
