package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// demand is the need of a service's queue for slots, and the state of requests and offers for them.
type demand struct {
	count         int
	minHold       manager.Duration
	wait          manager.Duration
	updatedAt     manager.Time
	nextBorrow    manager.Time
	backoff       manager.Duration
	borrowPending bool
	// offeredBy is a peer that has offered idle slots, or empty.
	offeredBy manager.GatewayID
	// waiters are the peers whose requests were not fully satisfied, in the order of their requests.
	waiters []waiter
	// reservedFor is a peer whose requests wait much longer than those here. The next free slot is
	// reserved for it until reservedUntil.
	reservedFor   manager.GatewayID
	reservedUntil manager.Time
	// nextOffer is the earliest time of the next offer.
	nextOffer manager.Time
}

// waiter is a peer whose request for slots was not fully satisfied.
type waiter struct {
	peer    manager.GatewayID
	askedAt manager.Time
	minHold manager.Duration
}

// waiting reports whether requests of the service wait for slots at this gateway.
func (d *demand) waiting(now manager.Time) bool {
	return d.count > 0 && now.Sub(d.updatedAt) <= demandTimeout
}

// addWaiter appends a peer to the list of waiters.
func (d *demand) addWaiter(now manager.Time, peer manager.GatewayID, least manager.Duration) {
	d.removeWaiters(now, peer)
	d.waiters = append(d.waiters, waiter{peer: peer, askedAt: now, minHold: least})
}

// reserve reserves the next free slot for a peer whose requests wait much longer than those here. It
// reports whether free slots are now reserved for that peer.
func (d *demand) reserve(now manager.Time, r manager.SlotRequest) bool {
	if now < d.reservedUntil {
		return d.reservedFor == r.From
	}
	if 100*r.Borrow.WaitMs < minWaitPercent*d.wait || r.Borrow.WaitMs < minWait {
		return false
	}
	d.reservedFor = r.From
	d.reservedUntil = now.Add(reserveTimeout)
	return true
}

// removeWaiters removes a peer and all waiters older than waiterRetention.
func (d *demand) removeWaiters(now manager.Time, peer manager.GatewayID) {
	d.waiters = slices.DeleteFunc(d.waiters, func(other waiter) bool { return other.peer == peer || now.Sub(other.askedAt) > waiterRetention })
}
