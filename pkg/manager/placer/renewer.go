package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// renewalsPerLease is how many times a lease is renewed within its time; with fewer, one lost renewal could end it.
const renewalsPerLease = 3

// renewLeases renews the leases whose tasks were reported within the last renewal period. One command lists either
// the leases to renew or those to leave out, whichever list is shorter.
func (p *Adaptive) renewLeases(view *fleetView, batch *manager.TaskBatch) {
	period := p.Lease / renewalsPerLease
	if p.renewedAt > p.since && view.now.Sub(p.renewedAt) < period {
		return
	}
	var reported, overdue []manager.LeaseID
	for i := range view.hosts {
		for _, t := range view.hosts[i].tasks {
			switch {
			case t.starting:
			case t.usage != nil && view.now.Sub(t.usage.reportedAt) <= period:
				reported = append(reported, t.job.Lease.Lease)
			default:
				overdue = append(overdue, t.job.Lease.Lease)
			}
		}
	}
	if len(reported) == 0 {
		return
	}
	p.renewedAt = view.now
	renew := &manager.RenewLeases{Until: view.now.Add(p.Lease)}
	if len(reported) <= len(overdue) {
		renew.Leases = reported
	} else {
		renew.All, renew.AllExcept = true, overdue
	}
	batch.Renew = renew
}
