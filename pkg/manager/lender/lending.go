package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// minBorrowBackoff is the minimum pause between two requests to borrow slots of one service.
	minBorrowBackoff = 50 * manager.Millisecond
	// maxBorrowBackoff limits the pause, which doubles each time a peer lends nothing.
	maxBorrowBackoff = 1000 * manager.Millisecond
	// demandTimeout is how long a demand is valid. A gateway that waits for slots of a service itself does
	// not lend any, except one at a time to a peer whose requests wait much longer.
	demandTimeout = 200 * manager.Millisecond
	// demandRetention is how long the state of a service is kept after its last demand.
	demandRetention = 10 * manager.Second
	// idleTimeout is how long a borrowed slot may be idle before it is returned, and the minimum interval
	// between two messages that only return slots to one peer.
	idleTimeout = 100 * manager.Millisecond
	// minOfferInterval is the minimum interval between two offers of one service's slots.
	minOfferInterval = 50 * manager.Millisecond
	// waiterRetention is how long a peer stays in the list of waiters.
	waiterRetention = 1 * manager.Second
	// minWaitPercent is the wait at a peer, in percent of the wait here, from which the peer gets a slot
	// that is needed here too. With a smaller value, gateways pass slots back and forth.
	minWaitPercent = 150
	// minWait is the wait at a peer, in milliseconds, below which it gets no slot that is needed here.
	minWait = 200
	// reserveTimeout is how long a slot stays reserved for a peer that does not request it.
	reserveTimeout = 100 * manager.Millisecond
	// maxLoans limits the number of loans in one answer.
	maxLoans = 64
	// loanMargin is added to the duration of a loan, so that a slot can serve several short requests.
	loanMargin = 3 * manager.Second
)

// never is earlier than any other time in use.
const never = manager.Time(-1 << 40)

// borrowedSlot is a slot that a peer lent to this gateway.
type borrowedSlot struct {
	loan   manager.LoanID
	lender manager.GatewayID
	until  manager.Time
	inUse  bool
	// idleSince is when the slot was borrowed or last released.
	idleSince manager.Time
}

// borrowing tracks the borrowed slots and the demands of each service.
type borrowing struct {
	slots   map[manager.Address][]*borrowedSlot
	demands map[manager.ServiceID]*demand
	returns map[manager.GatewayID][]manager.LoanID
	// returnsSentAt is when the last message that only returned slots was sent to a peer.
	returnsSentAt map[manager.GatewayID]manager.Time
}

func (b *borrowing) init() {
	b.slots = map[manager.Address][]*borrowedSlot{}
	b.demands = map[manager.ServiceID]*demand{}
	b.returns = map[manager.GatewayID][]manager.LoanID{}
	b.returnsSentAt = map[manager.GatewayID]manager.Time{}
}

func (b *borrowing) demandOf(s manager.ServiceID) *demand {
	if b.demands[s] == nil {
		b.demands[s] = &demand{backoff: minBorrowBackoff, updatedAt: never}
	}
	return b.demands[s]
}

// reserved reports whether the next free slot of a service is reserved for a peer.
func (b *borrowing) reserved(now manager.Time, s manager.ServiceID) bool {
	d := b.demands[s]
	return d != nil && now < d.reservedUntil
}

func (b *borrowing) free(a manager.Address, until manager.Time) int {
	n := 0
	for _, slot := range b.slots[a] {
		if !slot.inUse && slot.until >= until {
			n++
		}
	}
	return n
}

// allocate takes the idle borrowed slot that expires first, among those valid until the given time.
func (b *borrowing) allocate(_ manager.Time, a manager.Address, until manager.Time) *borrowedSlot {
	var best *borrowedSlot
	for _, slot := range b.slots[a] {
		if !slot.inUse && slot.until >= until && (best == nil || slot.until < best.until) {
			best = slot
		}
	}
	if best != nil {
		best.inUse = true
	}
	return best
}

func (b *borrowing) release(now manager.Time, a allocation) {
	for _, slot := range b.slots[a.group.address] {
		if slot.loan == a.loan && slot.lender == a.lender {
			slot.inUse = false
			slot.idleSince = now
		}
	}
}

// SetDemand updates how many slots a service's queue needs.
func (l *Leaser) SetDemand(now manager.Time, update manager.SlotDemand) {
	l.init(now)
	if update.Count == 0 && l.borrowing.demands[update.Service] == nil {
		return
	}
	d := l.borrowing.demandOf(update.Service)
	d.count = update.Count
	d.minHold = min(update.Until.Sub(now), l.maxHold-renewalMargin)
	d.wait = update.WaitMs
	d.updatedAt = now
}

// borrowRequests returns a request for slots of each service with waiting requests, addressed to a peer
// that offered slots or to a random reachable one.
func (l *Leaser) borrowRequests(now manager.Time) []manager.SlotExchange {
	peers := slices.DeleteFunc(l.peers(), func(p manager.GatewayID) bool { return l.unreachable[p] })
	if len(peers) == 0 || l.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range l.borrowing.services() {
		d := l.borrowing.demands[s]
		if !d.waiting(now) || d.borrowPending || now < d.nextBorrow {
			continue
		}
		d.borrowPending = true
		peer := d.offeredBy
		if peer == "" {
			peer = peers[l.source.IntN(len(peers))]
		}
		d.offeredBy = ""
		r := l.request(now, peer)
		needed := d.minHold + closeMargin
		r.Borrow = &manager.Borrow{Service: s, Count: min(d.count, maxLoans), LeastMs: needed, HoldMs: needed + loanMargin, WaitMs: d.wait}
		due = append(due, manager.SlotExchange{Peer: peer, Request: r})
	}
	return due
}

// offerRequests returns an offer of each service's idle slots, addressed to the peer that has waited
// longest, or to the one that they are reserved for.
func (l *Leaser) offerRequests(now manager.Time) []manager.SlotExchange {
	if l.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range l.borrowing.services() {
		d := l.borrowing.demands[s]
		d.removeWaiters(now, "")
		reserved := now < d.reservedUntil
		if len(d.waiters) == 0 || d.waiting(now) && !reserved || now < d.nextOffer {
			continue
		}
		i := 0
		if reserved {
			i = max(slices.IndexFunc(d.waiters, func(o waiter) bool { return o.peer == d.reservedFor }), 0)
		}
		chosen := d.waiters[i]
		if _, idle := l.idleSlots(now, s, now.Add(chosen.minHold)); idle == 0 {
			continue
		}
		d.nextOffer = now.Add(minOfferInterval)
		d.waiters = slices.Delete(d.waiters, i, i+1)
		r := l.request(now, chosen.peer)
		r.Offer = s
		due = append(due, manager.SlotExchange{Peer: chosen.peer, Request: r})
	}
	return due
}

// acceptOffer addresses the next borrow request to a peer that offered idle slots.
func (b *borrowing) acceptOffer(now manager.Time, from manager.GatewayID, s manager.ServiceID) {
	if d := b.demands[s]; d != nil && d.waiting(now) {
		d.offeredBy = from
		d.nextBorrow = now
	}
}

func (b *borrowing) services() []manager.ServiceID {
	list := make([]manager.ServiceID, 0, len(b.demands))
	for s := range b.demands {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// addLoans records the loans of an answer. If there are none, the backoff doubles.
func (b *borrowing) addLoans(now, sent manager.Time, e manager.SlotExchange, loans []manager.Loan) {
	d := b.demandOf(e.Request.Borrow.Service)
	d.borrowPending = false
	if len(loans) == 0 {
		d.backoff = min(2*d.backoff, maxBorrowBackoff)
	} else {
		d.backoff = minBorrowBackoff
	}
	d.nextBorrow = now.Add(d.backoff)
	for _, loan := range loans {
		until := sent.Add(min(loan.HoldMs, e.Request.Borrow.HoldMs))
		if until <= now {
			continue
		}
		b.slots[loan.Address] = append(b.slots[loan.Address], &borrowedSlot{
			loan: loan.Loan, lender: e.Peer, until: until, idleSince: now,
		})
	}
}

// lend lends idle slots to a peer, preferring the upstreams with the most idle slots.
func (l *Leaser) lend(now manager.Time, r manager.SlotRequest) []manager.Loan {
	d := l.borrowing.demandOf(r.Borrow.Service)
	if l.stopping || r.Borrow.LeastMs <= 0 {
		return nil
	}
	limit := min(r.Borrow.Count, maxLoans)
	if d.waiting(now) {
		if !d.reserve(now, r) {
			d.addWaiter(now, r.From, r.Borrow.LeastMs)
			return nil
		}
		limit = 1
	}
	idle, total := l.idleSlots(now, r.Borrow.Service, now.Add(r.Borrow.LeastMs))
	var loans []manager.Loan
	for len(loans) < min(limit, total) {
		i := mostIdle(idle)
		idle[i].free--
		hold := min(r.Borrow.HoldMs, l.maxHold, l.shards[idle[i].group.shard].expiresAt.Sub(now))
		id := l.usage.lend(idle[i].group, r, now.Add(hold))
		loans = append(loans, manager.Loan{Loan: id, Address: idle[i].group.address, HoldMs: hold})
	}
	if len(loans) > 0 && d.reservedFor == r.From {
		d.reservedUntil = now
	}
	if len(loans) < r.Borrow.Count {
		d.addWaiter(now, r.From, r.Borrow.LeastMs)
	}
	return loans
}

// idleGroup is a slot group and its number of idle slots.
type idleGroup struct {
	group slotGroup
	free  int
}

func mostIdle(list []idleGroup) int {
	best := 0
	for i := range list {
		if list[i].free > list[best].free {
			best = i
		}
	}
	return best
}

// idleSlots returns the slot groups of a service with slots that may be lent until the given time, and
// the total number of these slots.
func (l *Leaser) idleSlots(now manager.Time, s manager.ServiceID, until manager.Time) ([]idleGroup, int) {
	var list []idleGroup
	total := 0
	for _, m := range l.Registrar.Ready(now, s) {
		for _, g := range l.shares.gateways {
			held := l.shards[g]
			if held == nil {
				continue
			}
			if n := l.free(now, held, m, until); n > 0 {
				list = append(list, idleGroup{group: slotGroup{shard: g, address: m.Address}, free: n})
				total += n
			}
		}
	}
	return list, total
}

// removeStaleDemands removes the state of services without a recent demand. Callers choose the service
// names, so the number of entries would otherwise be unbounded.
func (b *borrowing) removeStaleDemands(now manager.Time) {
	for s, d := range b.demands {
		if now.Sub(d.updatedAt) > demandRetention && now >= d.nextBorrow && !d.borrowPending && len(d.waiters) == 0 {
			delete(b.demands, s)
		}
	}
}

// removeIdle removes borrowed slots that have expired or been idle for too long, and queues the latter
// for return.
func (b *borrowing) removeIdle(now manager.Time) {
	for _, a := range b.addresses() {
		b.slots[a] = slices.DeleteFunc(b.slots[a], func(slot *borrowedSlot) bool {
			if slot.inUse {
				return false
			}
			if slot.until > now && now.Sub(slot.idleSince) < idleTimeout {
				return false
			}
			if slot.until > now {
				b.returns[slot.lender] = append(b.returns[slot.lender], slot.loan)
			}
			return true
		})
		if len(b.slots[a]) == 0 {
			delete(b.slots, a)
		}
	}
}

func (b *borrowing) addresses() []manager.Address {
	list := make([]manager.Address, 0, len(b.slots))
	for a := range b.slots {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

func (b *borrowing) popReturns(peer manager.GatewayID) []manager.LoanID {
	loans := b.returns[peer]
	delete(b.returns, peer)
	return loans
}

// returnRequests returns the messages that give idle borrowed slots back, with several slots in each.
func (l *Leaser) returnRequests(now manager.Time) []manager.SlotExchange {
	l.borrowing.removeIdle(now)
	l.borrowing.removeStaleDemands(now)
	lenders := make([]manager.GatewayID, 0, len(l.borrowing.returns))
	for p := range l.borrowing.returns {
		if now.Sub(l.borrowing.returnsSentAt[p]) >= idleTimeout {
			lenders = append(lenders, p)
		}
	}
	slices.Sort(lenders)
	var due []manager.SlotExchange
	for _, p := range lenders {
		l.borrowing.returnsSentAt[p] = now
		due = append(due, manager.SlotExchange{Peer: p, Request: l.request(now, p)})
	}
	return due
}
