package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// place is the slots of one address that have their home in one shard.
type place struct {
	shard   manager.GatewayID
	address manager.Address
}

// lent is a slot that a peer may use until until.
type lent struct {
	loan     manager.LoanID
	borrower manager.GatewayID
	start    manager.StartID
	until    manager.Time
}

// use is the slot of one running request.
type use struct {
	place place
	// loan is the borrowed slot, or 0 for a slot of a held shard.
	loan manager.LoanID
	// lender is whom the borrowed slot belongs to.
	lender manager.GatewayID
	// until is when the request ends at the latest.
	until manager.Time
	// long says that the lease did not cover until at the start, so that it must be renewed.
	long bool
}

// book counts the slots of held shards that are in use or lent.
type book struct {
	inUse   map[place]int
	byShard map[manager.GatewayID]int
	lent    map[place][]lent
	running map[manager.RequestID]use
	// long are the running requests that rely on renewals.
	long map[manager.RequestID]bool
	next manager.LoanID
}

func (b *book) init() {
	b.inUse = map[place]int{}
	b.byShard = map[manager.GatewayID]int{}
	b.lent = map[place][]lent{}
	b.running = map[manager.RequestID]use{}
	b.long = map[manager.RequestID]bool{}
}

// busy returns the slots of a place that are in use or lent.
func (b *book) busy(now manager.Time, p place) int {
	list, ok := b.lent[p]
	if !ok {
		return b.inUse[p]
	}
	list = slices.DeleteFunc(list, func(l lent) bool { return l.until <= now })
	if len(list) == 0 {
		delete(b.lent, p)
	} else {
		b.lent[p] = list
	}
	return b.inUse[p] + len(list)
}

// idle tells whether nothing of a shard is in use or lent.
func (b *book) idle(now manager.Time, shard manager.GatewayID) bool {
	if b.byShard[shard] > 0 {
		return false
	}
	for p := range b.lent {
		if p.shard == shard && b.busy(now, p) > 0 {
			return false
		}
	}
	return true
}

func (b *book) take(r manager.RequestID, u use) {
	b.inUse[u.place]++
	b.byShard[u.place.shard]++
	b.running[r] = u
	if u.long {
		b.long[r] = true
	}
}

func (b *book) release(p place) {
	b.byShard[p.shard]--
	b.inUse[p]--
	if b.inUse[p] == 0 {
		delete(b.inUse, p)
	}
}

// lend records a loan of one slot.
func (b *book) lend(p place, r manager.SlotRequest, until manager.Time) manager.LoanID {
	b.next++
	b.lent[p] = append(b.lent[p], lent{loan: b.next, borrower: r.From, start: r.Start, until: until})
	return b.next
}

// takeBack ends loans that their borrower returned.
func (b *book) takeBack(from manager.GatewayID, start manager.StartID, loans []manager.LoanID) {
	if len(loans) == 0 {
		return
	}
	for p, list := range b.lent {
		b.lent[p] = slices.DeleteFunc(list, func(l lent) bool {
			return l.borrower == from && l.start == start && slices.Contains(loans, l.loan)
		})
	}
}

// free returns the slots of m in a shard that may be used until until.
func (k *Keeper) free(now manager.Time, s *shard, m manager.Member, until manager.Time) int {
	if s.dropped || s.horizon < until {
		return 0
	}
	share := k.shares.of(s.home, m)
	if share == 0 {
		return 0
	}
	return max(share-k.book.busy(now, place{shard: s.home, address: m.Address}), 0)
}

// Available returns how many requests may start at m now and hold their slots until until.
func (k *Keeper) Available(now manager.Time, m manager.Member, until manager.Time) int {
	k.init(now)
	if k.stopping || k.lending.reserved(now, m.Service) {
		return 0
	}
	covered, long := k.covered(now, until)
	k.hold.see(now, covered.Sub(now))
	n := 0
	if !long {
		n = k.lending.free(m.Address, covered)
	}
	for _, s := range k.shards {
		n += k.free(now, s, m, covered)
	}
	return n
}

// covered returns the time until which a lease must hold for a request to start, and whether the
// request may run on after it.
func (k *Keeper) covered(now, until manager.Time) (manager.Time, bool) {
	until = until.Add(closeMargin)
	longest := now.Add(k.maxHold - renewSlack)
	return min(until, longest), until > longest
}

// Acquire uses a slot until Give or until, whichever comes first; borrowed slots go first, as they end
// soonest.
func (k *Keeper) Acquire(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	k.init(now)
	if k.stopping {
		return false
	}
	covered, long := k.covered(now, until)
	if !long {
		if b := k.lending.take(now, m.Address, covered); b != nil {
			k.book.running[r] = use{place: place{address: m.Address}, loan: b.loan, lender: b.lender, until: until}
			return true
		}
	}
	for _, g := range k.shares.gateways {
		s := k.shards[g]
		if s != nil && k.free(now, s, m, covered) > 0 {
			k.book.take(r, use{place: place{shard: g, address: m.Address}, until: until, long: long})
			return true
		}
	}
	return false
}

// Revoked returns the running requests whose slots may be another gateway's soon, ordered by id.
func (k *Keeper) Revoked(now manager.Time) []manager.RequestID {
	k.init(now)
	var list []manager.RequestID
	for r := range k.book.long {
		s := k.shards[k.book.running[r].place.shard]
		if s == nil || s.horizon <= now.Add(longestMargin) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		delete(k.book.long, r)
	}
	slices.Sort(list)
	return list
}

// Release returns the slot of a request.
func (k *Keeper) Release(now manager.Time, r manager.RequestID) {
	u, ok := k.book.running[r]
	if !ok {
		return
	}
	delete(k.book.running, r)
	delete(k.book.long, r)
	if u.loan == 0 {
		k.book.release(u.place)
		return
	}
	k.lending.give(now, u)
}
