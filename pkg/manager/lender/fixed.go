package lender

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Unshared is a baseline SlotSource without coordination: every gateway uses all slots of each
// upstream.
type Unshared struct {
	counter counter
}

// Static is a SlotSource with fixed shares: a gateway uses only the slots assigned to it, and the
// slots of a lost gateway stay idle.
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

// counter counts the slots in use at each address.
type counter struct {
	inUse   map[manager.Address]int
	running map[manager.RequestID]manager.Address
}

func (c *counter) allocate(r manager.RequestID, a manager.Address) {
	if c.inUse == nil {
		c.inUse = map[manager.Address]int{}
		c.running = map[manager.RequestID]manager.Address{}
	}
	c.inUse[a]++
	c.running[r] = a
}

func (c *counter) release(r manager.RequestID) {
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

// Available returns the number of slots of m that this gateway does not use.
func (u *Unshared) Available(_ manager.Time, m manager.Member, _ manager.Time) int {
	return capacity(m) - u.counter.inUse[m.Address]
}

// Acquire allocates a slot.
func (u *Unshared) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	if u.Available(now, m, until) < 1 {
		return false
	}
	u.counter.allocate(r, m.Address)
	return true
}

// Release releases the slot of a request.
func (u *Unshared) Release(_ manager.Time, r manager.RequestID) { u.counter.release(r) }

// Revoked returns nothing, as no slot is ever leased to another gateway.
func (u *Unshared) Revoked(manager.Time) []manager.RequestID { return nil }

// SetDemand does nothing, as slots are not lent.
func (u *Unshared) SetDemand(manager.Time, manager.SlotDemand) {}

// Available returns the number of unused slots in this gateway's share.
func (s *Static) Available(_ manager.Time, m manager.Member, _ manager.Time) int {
	if s.shares == nil {
		s.shares = newShares(s.Gateways, AssignSpread)
	}
	return s.shares.slots(s.Self, m) - s.counter.inUse[m.Address]
}

// Acquire allocates a slot.
func (s *Static) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	if s.Available(now, m, until) < 1 {
		return false
	}
	s.counter.allocate(r, m.Address)
	return true
}

// Release releases the slot of a request.
func (s *Static) Release(_ manager.Time, r manager.RequestID) { s.counter.release(r) }

// Revoked returns nothing, as shares never move to another gateway.
func (s *Static) Revoked(manager.Time) []manager.RequestID { return nil }

// SetDemand does nothing, as slots are not lent.
func (s *Static) SetDemand(manager.Time, manager.SlotDemand) {}
