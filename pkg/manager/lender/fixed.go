package lender

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Unshared is the naive SlotSource: every gateway uses all slots of each upstream.
type Unshared struct {
	counter counter
}

// Static is a SlotSource of fixed shares: a gateway uses the slots whose home it is, and those of a
// lost gateway stay idle.
type Static struct {
	Self     manager.GatewayID
	Gateways []manager.GatewayID

	shares  *shares
	counter counter
}

var (
	_ manager.SlotSource = (*Unshared)(nil)
	_ manager.SlotSource = (*Static)(nil)
)

// counter counts the slots in use by address.
type counter struct {
	inUse   map[manager.Address]int
	running map[manager.RequestID]manager.Address
}

func (c *counter) take(r manager.RequestID, a manager.Address) {
	if c.inUse == nil {
		c.inUse = map[manager.Address]int{}
		c.running = map[manager.RequestID]manager.Address{}
	}
	c.inUse[a]++
	c.running[r] = a
}

func (c *counter) give(r manager.RequestID) {
	a, ok := c.running[r]
	if !ok {
		return
	}
	delete(c.running, r)
	c.inUse[a]--
	if c.inUse[a] == 0 {
		delete(c.inUse, a)
	}
}

// Available returns the slots of m that this gateway does not use.
func (u *Unshared) Available(_ manager.Time, m manager.Member, _ manager.Time) int {
	return limit(m) - u.counter.inUse[m.Address]
}

// Acquire uses a slot.
func (u *Unshared) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	if u.Available(now, m, until) < 1 {
		return false
	}
	u.counter.take(r, m.Address)
	return true
}

// Release returns a slot.
func (u *Unshared) Release(_ manager.Time, r manager.RequestID) { u.counter.give(r) }

// Revoked returns nothing.
func (u *Unshared) Revoked(manager.Time) []manager.RequestID { return nil }

// SetDemand does nothing.
func (u *Unshared) SetDemand(manager.Time, manager.SlotDemand) {}

// Available returns the slots of this gateway's share that it does not use.
func (s *Static) Available(_ manager.Time, m manager.Member, _ manager.Time) int {
	if s.shares == nil {
		s.shares = newShares(s.Gateways, AssignSpread)
	}
	return s.shares.of(s.Self, m) - s.counter.inUse[m.Address]
}

// Acquire uses a slot.
func (s *Static) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	if s.Available(now, m, until) < 1 {
		return false
	}
	s.counter.take(r, m.Address)
	return true
}

// Release returns a slot.
func (s *Static) Release(_ manager.Time, r manager.RequestID) { s.counter.give(r) }

// Revoked returns nothing.
func (s *Static) Revoked(manager.Time) []manager.RequestID { return nil }

// SetDemand does nothing.
func (s *Static) SetDemand(manager.Time, manager.SlotDemand) {}
