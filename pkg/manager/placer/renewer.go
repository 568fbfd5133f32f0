package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// renewals is how many times a lease is renewed while it lasts; fewer would let one lost renewal end it.
const renewals = 3

// renew prolongs the leases whose tasks were reported lately, all in one command that names the
// leases renewed or those left out, whichever are fewer.
func (p *Adaptive) renew(b *board, batch *manager.TaskBatch) {
	period := p.Lease / renewals
	if p.renewedAt > p.since && b.now.Sub(p.renewedAt) < period {
		return
	}
	var heard, silent []manager.LeaseID
	for i := range b.hosts {
		for _, h := range b.hosts[i].tasks {
			switch {
			case h.fresh:
			case h.task != nil && b.now.Sub(h.task.heardAt) <= period:
				heard = append(heard, h.job.Lease.Lease)
			default:
				silent = append(silent, h.job.Lease.Lease)
			}
		}
	}
	if len(heard) == 0 {
		return
	}
	p.renewedAt = b.now
	renew := &manager.RenewLeases{Until: b.now.Add(p.Lease)}
	if len(heard) <= len(silent) {
		renew.Leases = heard
	} else {
		renew.All, renew.AllExcept = true, silent
	}
	batch.Renew = renew
}
