package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// want is what a service's queue asks for.
type want struct {
	count  int
	hold   manager.Duration
	wait   manager.Duration
	at     manager.Time
	next   manager.Time
	pause  manager.Duration
	asking bool
	// offeredBy is a peer that said it has idle slots, or empty.
	offeredBy manager.GatewayID
	// waiters are peers that asked in vain, in the order in which they asked.
	waiters []waiter
	// reservedFor is a peer whose requests wait much longer; until reservedUntil the next slot that
	// comes free is for it.
	reservedFor   manager.GatewayID
	reservedUntil manager.Time
	// nextOffer holds back the next offer.
	nextOffer manager.Time
}

// waiter is a peer that asked in vain.
type waiter struct {
	peer  manager.GatewayID
	at    manager.Time
	least manager.Duration
}

// waits tells whether requests wait here for slots.
func (w *want) waits(now manager.Time) bool { return w.count > 0 && now.Sub(w.at) <= wantAge }

// remember notes a peer that asked in vain.
func (w *want) remember(now manager.Time, peer manager.GatewayID, least manager.Duration) {
	w.forget(now, peer)
	w.waiters = append(w.waiters, waiter{peer: peer, at: now, least: least})
}

// reserve keeps the next free slot for a peer whose requests wait much longer than those here. It
// tells whether the slots that are free now are that peer's.
func (w *want) reserve(now manager.Time, r manager.SlotRequest) bool {
	if now < w.reservedUntil {
		return w.reservedFor == r.From
	}
	if 100*r.Borrow.WaitMs < waitPercent*w.wait || r.Borrow.WaitMs < leastWait {
		return false
	}
	w.reservedFor = r.From
	w.reservedUntil = now.Add(reserveTime)
	return true
}

// forget drops a peer and those that asked long ago.
func (w *want) forget(now manager.Time, peer manager.GatewayID) {
	w.waiters = slices.DeleteFunc(w.waiters, func(o waiter) bool { return o.peer == peer || now.Sub(o.at) > waiterAge })
}
