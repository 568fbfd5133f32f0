package gateway

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// LockedKeeper lets several goroutines use a SlotLeaser.
type LockedKeeper struct {
	Inner manager.SlotLeaser

	mu sync.Mutex
}

var _ manager.SlotLeaser = (*LockedKeeper)(nil)

// Available returns how many requests may start at m now and hold their slots until until.
func (k *LockedKeeper) Available(now manager.Time, m manager.Member, until manager.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Available(now, m, until)
}

// Acquire uses a slot until Give or until, whichever comes first.
func (k *LockedKeeper) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Acquire(now, r, m, until)
}

// Release returns the slot of a request.
func (k *LockedKeeper) Release(now manager.Time, r manager.RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Inner.Release(now, r)
}

// Revoked returns the running requests that must end now.
func (k *LockedKeeper) Revoked(now manager.Time) []manager.RequestID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Revoked(now)
}

// SetDemand says what a service's queue asks for.
func (k *LockedKeeper) SetDemand(now manager.Time, w manager.SlotDemand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Inner.SetDemand(now, w)
}

// Outgoing returns the messages to send now.
func (k *LockedKeeper) Outgoing(now manager.Time) []manager.SlotExchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Outgoing(now)
}

// Handle answers a peer's request.
func (k *LockedKeeper) Handle(now manager.Time, r manager.SlotRequest) manager.SlotAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Handle(now, r)
}

// Answered takes the answer to a request that was sent at sent.
func (k *LockedKeeper) Answered(now, sent manager.Time, e manager.SlotExchange, a manager.SlotAnswer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Inner.Answered(now, sent, e, a)
}

// Failed takes note that a request got no answer.
func (k *LockedKeeper) Failed(now manager.Time, e manager.SlotExchange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Inner.Failed(now, e)
}

// HasLease tells whether this gateway may use any slots now.
func (k *LockedKeeper) HasLease(now manager.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.HasLease(now)
}

// Stop gives the leases up and returns the messages that say so.
func (k *LockedKeeper) Stop(now manager.Time) []manager.SlotExchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Inner.Stop(now)
}
