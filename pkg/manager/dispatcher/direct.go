package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// inviteTime is how long a worker that was asked to report directly counts as one that does. Its next report arrives
// within that time.
const inviteTime = 2 * manager.Second

const (
	// pausePerWorker spreads the reports of a large fleet, in milliseconds for each worker: a report costs the leader
	// some tenths of a millisecond of processor time.
	pausePerWorker = 0.75
	// maxPause keeps the interval between reports well below the lease.
	maxPause = 2 * manager.Second
)

// reportPause returns the pause between an answer and the worker's next report.
func (d *Dispatcher) reportPause() manager.Duration {
	return max(d.Options.NextMs, min(maxPause, manager.Duration(pausePerWorker*float64(len(d.workers)))))
}

// maxReportAge returns the age up to which the latest report of a worker shows what it runs now.
func (d *Dispatcher) maxReportAge() manager.Duration {
	return max(minReportAge, 2*(d.reportPause()+d.Options.IdlePollMs))
}

// updateDirect records whether a worker reports directly or through another node.
func (d *Dispatcher) updateDirect(now manager.Time, w *worker, forwarded bool) {
	if !forwarded {
		d.addDirect(w)
	} else if now >= w.invitedUntil {
		d.removeDirect(w)
	}
	w.forwarded = forwarded
}

// addDirect and removeDirect maintain the number of workers that report directly or were asked to.
func (d *Dispatcher) addDirect(w *worker) {
	if !w.isDirect {
		w.isDirect = true
		d.direct++
	}
}

func (d *Dispatcher) removeDirect(w *worker) {
	if w.isDirect {
		w.isDirect = false
		d.direct--
	}
}

// reportTo returns the address for a worker's next report; "" leaves the choice to the worker. A worker that is invited
// is counted at once: with more workers than the leader can hold connections, thousands may report within a second.
func (d *Dispatcher) reportTo(now manager.Time, w *worker) manager.Address {
	if w.isDirect {
		return d.Options.Address
	}
	if !d.acceptsDirect() {
		return ""
	}
	d.addDirect(w)
	w.invitedUntil = now.Add(inviteTime)
	return d.Options.Address
}

// tooManyWorkers reports whether more workers are known than may report directly.
func (d *Dispatcher) tooManyWorkers() bool {
	return d.Options.MaxDirect > 0 && len(d.workers) > d.Options.MaxDirect
}

// acceptsDirect reports whether another worker may report directly.
func (d *Dispatcher) acceptsDirect() bool {
	return d.Options.MaxDirect == 0 || d.direct < d.Options.MaxDirect
}
