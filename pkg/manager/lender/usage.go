package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// slotGroup identifies the slots of one upstream address that belong to one shard.
type slotGroup struct {
	shard   manager.GatewayID
	address manager.Address
}

// loan is a slot lent to a peer.
type loan struct {
	id       manager.LoanID
	borrower manager.GatewayID
	start    manager.StartID
	until    manager.Time
}

// allocation is the slot that a running request occupies.
type allocation struct {
	group slotGroup
	// loan is the loan of a borrowed slot, or 0 for a slot of a held shard.
	loan manager.LoanID
	// lender is the gateway that lent the borrowed slot.
	lender manager.GatewayID
	// until is the latest end of the request.
	until manager.Time
	// needsRenewal is true if the request started under a lease that did not cover until, so that the
	// lease must be renewed while it runs.
	needsRenewal bool
}

// usageTracker tracks which slots of held shards are in use or lent.
type usageTracker struct {
	inUse   map[slotGroup]int
	byShard map[manager.GatewayID]int
	loans   map[slotGroup][]loan
	running map[manager.RequestID]allocation
	// renewing contains the running requests that depend on lease renewals.
	renewing map[manager.RequestID]bool
	lastLoan manager.LoanID
}

func (t *usageTracker) init() {
	t.inUse = map[slotGroup]int{}
	t.byShard = map[manager.GatewayID]int{}
	t.loans = map[slotGroup][]loan{}
	t.running = map[manager.RequestID]allocation{}
	t.renewing = map[manager.RequestID]bool{}
}

// busy returns the number of slots of a group that are in use or lent.
func (t *usageTracker) busy(now manager.Time, g slotGroup) int {
	list, ok := t.loans[g]
	if !ok {
		return t.inUse[g]
	}
	list = slices.DeleteFunc(list, func(l loan) bool { return l.until <= now })
	if len(list) == 0 {
		delete(t.loans, g)
	} else {
		t.loans[g] = list
	}
	return t.inUse[g] + len(list)
}

// idle reports whether no slot of a shard is in use or lent.
func (t *usageTracker) idle(now manager.Time, shard manager.GatewayID) bool {
	if t.byShard[shard] > 0 {
		return false
	}
	for g := range t.loans {
		if g.shard == shard && t.busy(now, g) > 0 {
			return false
		}
	}
	return true
}

func (t *usageTracker) allocate(r manager.RequestID, a allocation) {
	t.inUse[a.group]++
	t.byShard[a.group.shard]++
	t.running[r] = a
	if a.needsRenewal {
		t.renewing[r] = true
	}
}

func (t *usageTracker) release(g slotGroup) {
	t.byShard[g.shard]--
	t.inUse[g]--
	if t.inUse[g] == 0 {
		delete(t.inUse, g)
	}
}

// lend records the loan of one slot.
func (t *usageTracker) lend(g slotGroup, r manager.SlotRequest, until manager.Time) manager.LoanID {
	t.lastLoan++
	t.loans[g] = append(t.loans[g], loan{id: t.lastLoan, borrower: r.From, start: r.Start, until: until})
	return t.lastLoan
}

// endLoans removes the loans that their borrower returned.
func (t *usageTracker) endLoans(from manager.GatewayID, start manager.StartID, returned []manager.LoanID) {
	if len(returned) == 0 {
		return
	}
	for g, list := range t.loans {
		t.loans[g] = slices.DeleteFunc(list, func(l loan) bool {
			return l.borrower == from && l.start == start && slices.Contains(returned, l.id)
		})
	}
}

// free returns how many slots of m in a shard are available until the given time.
func (l *Leaser) free(now manager.Time, s *shard, m manager.Member, until manager.Time) int {
	if s.draining || s.expiresAt < until {
		return 0
	}
	share := l.shares.slots(s.home, m)
	if share == 0 {
		return 0
	}
	return max(share-l.usage.busy(now, slotGroup{shard: s.home, address: m.Address}), 0)
}

// Available returns how many requests may start at m now and hold their slots until the given time.
func (l *Leaser) Available(now manager.Time, m manager.Member, until manager.Time) int {
	l.init(now)
	if l.stopping || l.borrowing.reserved(now, m.Service) {
		return 0
	}
	needed, renew := l.requiredExpiry(now, until)
	l.hold.record(now, needed.Sub(now))
	n := 0
	if !renew {
		n = l.borrowing.free(m.Address, needed)
	}
	for _, s := range l.shards {
		n += l.free(now, s, m, needed)
	}
	return n
}

// requiredExpiry returns the time until which a lease must be valid for a request to start, and
// whether the request may outlast that time.
func (l *Leaser) requiredExpiry(now, until manager.Time) (manager.Time, bool) {
	until = until.Add(closeMargin)
	longest := now.Add(l.maxHold - renewalMargin)
	return min(until, longest), until > longest
}

// Acquire allocates a slot until Release is called or until is reached, whichever comes first. It prefers
// borrowed slots because they expire soonest.
func (l *Leaser) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	l.init(now)
	if l.stopping {
		return false
	}
	needed, renew := l.requiredExpiry(now, until)
	if !renew {
		if b := l.borrowing.allocate(now, m.Address, needed); b != nil {
			l.usage.running[r] = allocation{group: slotGroup{address: m.Address}, loan: b.loan, lender: b.lender, until: until}
			return true
		}
	}
	for _, g := range l.shares.gateways {
		s := l.shards[g]
		if s != nil && l.free(now, s, m, needed) > 0 {
			l.usage.allocate(r, allocation{group: slotGroup{shard: g, address: m.Address}, until: until, needsRenewal: renew})
			return true
		}
	}
	return false
}

// Revoked returns the running requests whose slots may soon be leased to another gateway, ordered by ID.
func (l *Leaser) Revoked(now manager.Time) []manager.RequestID {
	l.init(now)
	var list []manager.RequestID
	for r := range l.usage.renewing {
		s := l.shards[l.usage.running[r].group.shard]
		if s == nil || s.expiresAt <= now.Add(releaseMargin) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		delete(l.usage.renewing, r)
	}
	slices.Sort(list)
	return list
}

// Release releases the slot of a request.
func (l *Leaser) Release(now manager.Time, r manager.RequestID) {
	a, ok := l.usage.running[r]
	if !ok {
		return
	}
	delete(l.usage.running, r)
	delete(l.usage.renewing, r)
	if a.loan == 0 {
		l.usage.release(a.group)
		return
	}
	l.borrowing.release(now, a)
}
