package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// handleLeave marks a worker that said it is leaving. The message may name no instance and may come late from an earlier
// one, so it is accepted only for a worker that is draining. The worker may run on until it is answered, or for seconds
// without an answer, so its runs stay open until they are reported as ended, a later instance reports or its lease has
// expired.
func (d *Dispatcher) handleLeave(now manager.Time, l manager.WorkerInstance) {
	w := d.workers[l.Worker]
	if w == nil || w.leaving || !w.latest.Draining || l.StartedAt != 0 && l.StartedAt < w.instance.StartedAt {
		return
	}
	w.leaving, w.ordersChanged = true, true
	d.log(manager.LogWorkerLeft, "Worker", l.Worker, "Born", w.instance.StartedAt, "OpenRuns", len(d.State.Runs(w.instance)),
		"LeaseLeftMs", max(0, w.leaseExpiresAt.Sub(now)))
}

// expireLeases ends the runs of workers whose leases have certainly expired.
func (d *Dispatcher) expireLeases(now manager.Time, c *recorder.Changes) {
	if now.Sub(d.leasesCheckedAt) < leaseCheckPeriod {
		return
	}
	d.leasesCheckedAt = now
	for _, l := range d.sortedInstances(func(l manager.WorkerInstance) bool { return now > d.leaseExpiry(l) }) {
		reason := lossLeaseExpired
		if w := d.workerOf(l); w != nil && w.leaving {
			reason = lossWorkerLeft
		}
		d.endLostRuns(now, l, reason, c)
	}
	for _, w := range d.sortedWorkers() {
		switch {
		case w.polling:
		case w.leaving && len(d.State.Runs(w.instance)) == 0:
			d.removeWorker(w)
		case now > w.leaseExpiresAt.Add(silentRetention):
			d.removeWorker(w)
			d.log(manager.LogWorkerLost, "Worker", w.instance.Worker, "SilentMs", now.Sub(w.heardAt))
		}
	}
}
