package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// inviteTime is how long a worker that was asked to report here counts as one that does; its next report
// follows within that.
const inviteTime = 2 * manager.Second

const (
	// perWorkerPause spreads the reports of a large fleet: a report costs the leader some tenths of a
	// millisecond of its processor.
	pausePerWorker = 0.75
	// maxPause keeps the reports well within a lease.
	maxPause = 2 * manager.Second
)

// pause is the time between an answer and the next report.
func (d *Dispatcher) reportPause() manager.Duration {
	return max(d.Options.NextMs, min(maxPause, manager.Duration(pausePerWorker*float64(len(d.workers)))))
}

// reportAge is the age up to which the latest report of a worker shows what it does now.
func (d *Dispatcher) maxReportAge() manager.Duration {
	return max(minReportAge, 2*(d.reportPause()+d.Options.IdlePollMs))
}

// countDirect notes whether a worker reports here or through another node.
func (d *Dispatcher) updateDirect(now manager.Time, w *worker, forwarded bool) {
	if !forwarded {
		d.addDirect(w)
	} else if now >= w.invitedUntil {
		d.removeDirect(w)
	}
	w.forwarded = forwarded
}

// hold and release keep the number of workers that report here or were asked to.
func (d *Dispatcher) addDirect(w *worker) {
	if !w.direct {
		w.direct = true
		d.direct++
	}
}

func (d *Dispatcher) removeDirect(w *worker) {
	if w.direct {
		w.direct = false
		d.direct--
	}
}

// reportTo returns where a worker should report next; empty leaves it. It answers fleets with more workers than
// connections can be held here: each worker asked is counted at once, as thousands report within a second.
func (d *Dispatcher) reportTo(now manager.Time, w *worker) manager.Address {
	if w.direct {
		return d.Options.Address
	}
	if !d.acceptsDirect() {
		return ""
	}
	d.addDirect(w)
	w.invitedUntil = now.Add(inviteTime)
	return d.Options.Address
}

// crowded tells whether more workers are known than can report here.
func (d *Dispatcher) tooManyWorkers() bool {
	return d.Options.MaxDirect > 0 && len(d.workers) > d.Options.MaxDirect
}

// roomForDirect tells whether more workers may report here.
func (d *Dispatcher) acceptsDirect() bool {
	return d.Options.MaxDirect == 0 || d.direct < d.Options.MaxDirect
}
