package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// presence holds what a list of VMs must be newer than to prove that a VM no longer exists. All times are of this dispatcher's
// clock: for what an earlier one decided, its own start counts.
type presence struct {
	// acceptedAt is when a wave was accepted: its VMs existed then.
	acceptedAt map[uint64]manager.Time
	// seenAt is the latest sign of a VM whose worker is not known any more.
	seenAt map[manager.VMID]manager.Time
	// missedAt is when a list of several pages was requested that was the first to lack a VM.
	missedAt map[manager.VMID]manager.Time
}

// accept notes the acceptance of a wave.
func (p *presence) accept(wave uint64, now manager.Time) {
	if p.acceptedAt == nil {
		p.acceptedAt = map[uint64]manager.Time{}
	}
	p.acceptedAt[wave] = now
}

// note notes a sign of a VM.
func (p *presence) note(vm manager.VMID, at manager.Time) {
	if p.seenAt == nil {
		p.seenAt = map[manager.VMID]manager.Time{}
	}
	p.seenAt[vm] = max(p.seenAt[vm], at)
}

// update drops the signs that a list replaces.
func (p *presence) update(l *Listing) {
	for vm, at := range p.seenAt {
		if l.AskedAt > at {
			delete(p.seenAt, vm)
		}
	}
	for vm := range p.missedAt {
		if _, ok := l.VMs[vm]; ok {
			delete(p.missedAt, vm)
		}
	}
}

// dropCompletedWaves forgets the waves for which no list matters any more.
func (d *Dispatcher) dropCompletedWaves() {
	for id := range d.maintenance.presence.acceptedAt {
		if w := d.State.Waves[id]; w != nil && w.Completed() {
			delete(d.maintenance.presence.acceptedAt, id)
		}
	}
}

// provesGone reports whether a list that does not show a VM of a wave proves that the VM no longer exists: the list is newer
// than the wave and than every sign of the VM. A list of several pages needs a second one that confirms it.
func (d *Dispatcher) provesGone(l *Listing, wave uint64, vm manager.VMID) bool {
	p := &d.maintenance.presence
	newest := max(d.StartedAt, p.acceptedAt[wave], p.seenAt[vm])
	if l.mayHold(vm) || l.AskedAt <= newest {
		return false
	}
	if l.Pages <= 1 {
		return true
	}
	if first, ok := p.missedAt[vm]; ok && first > newest && first < l.AskedAt {
		return true
	}
	if p.missedAt == nil {
		p.missedAt = map[manager.VMID]manager.Time{}
	}
	p.missedAt[vm] = l.AskedAt
	return false
}
