package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// place is the slots of one address that have their home in one shard.
type place struct {
	shard   manager.Address
	address manager.Address
}

// lent is a slot that a peer may use until until.
type lent struct {
	loan     manager.LoanID
	borrower manager.Address
	start    manager.StartID
	until    manager.Time
}

// use is the slot of one running request.
type use struct {
	place place
	// loan is the borrowed slot, or 0 for a slot of a held shard.
	loan manager.LoanID
	// lender is whom the borrowed slot belongs to.
	lender manager.Address
}

// book counts the slots of held shards that are in use or lent.
type book struct {
	inUse   map[place]int
	byShard map[manager.Address]int
	lent    map[place][]lent
	running map[manager.RequestID]use
	next    manager.LoanID
}

func (b *book) init() {
	b.inUse = map[place]int{}
	b.byShard = map[manager.Address]int{}
	b.lent = map[place][]lent{}
	b.running = map[manager.RequestID]use{}
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
func (b *book) idle(now manager.Time, shard manager.Address) bool {
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

func (b *book) take(r manager.RequestID, p place) {
	b.inUse[p]++
	b.byShard[p.shard]++
	b.running[r] = use{place: p}
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
func (b *book) takeBack(from manager.Address, start manager.StartID, loans []manager.LoanID) {
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

// Free returns how many requests may start at m now and hold their slots until until.
func (k *Keeper) Free(now manager.Time, m manager.Member, until manager.Time) int {
	k.init(now)
	if k.stopping {
		return 0
	}
	k.hold.see(now, until.Sub(now)+closeMargin)
	until = until.Add(closeMargin)
	n := k.lending.free(m.Address, until)
	for _, s := range k.shards {
		n += k.free(now, s, m, until)
	}
	return n
}

// Take uses a slot until Give or until, whichever comes first; borrowed slots go first, as they end
// soonest.
func (k *Keeper) Take(now manager.Time, r manager.RequestID, m manager.Member, until manager.Time) bool {
	k.init(now)
	if k.stopping {
		return false
	}
	until = until.Add(closeMargin)
	k.lending.used(now, m.Service)
	if b := k.lending.take(now, m.Address, until); b != nil {
		k.book.running[r] = use{place: place{address: m.Address}, loan: b.loan, lender: b.lender}
		return true
	}
	for _, g := range k.shares.gateways {
		s := k.shards[g]
		if s != nil && k.free(now, s, m, until) > 0 {
			k.book.take(r, place{shard: g, address: m.Address})
			return true
		}
	}
	return false
}

// Give returns the slot of a request.
func (k *Keeper) Give(now manager.Time, r manager.RequestID) {
	u, ok := k.book.running[r]
	if !ok {
		return
	}
	delete(k.book.running, r)
	if u.loan == 0 {
		k.book.release(u.place)
		return
	}
	k.lending.give(now, u)
}
