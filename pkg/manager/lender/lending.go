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
	// wantTimeout is how long a want is valid. A gateway that waits for slots of a service itself does
	// not lend any, except one at a time to a peer whose requests wait much longer.
	wantTimeout = 200 * manager.Millisecond
	// wantRetention is how long the state of a service is kept after its last want.
	wantRetention = 10 * manager.Second
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

// borrowing tracks the borrowed slots and the wants of each service.
type borrowing struct {
	slots   map[manager.Address][]*borrowedSlot
	wants   map[manager.ServiceID]*want
	returns map[manager.GatewayID][]manager.LoanID
	// returnsSentAt is when the last message that only returned slots was sent to a peer.
	returnsSentAt map[manager.GatewayID]manager.Time
}

func (l *borrowing) init() {
	l.slots = map[manager.Address][]*borrowedSlot{}
	l.wants = map[manager.ServiceID]*want{}
	l.returns = map[manager.GatewayID][]manager.LoanID{}
	l.returnsSentAt = map[manager.GatewayID]manager.Time{}
}

func (l *borrowing) wantOf(s manager.ServiceID) *want {
	if l.wants[s] == nil {
		l.wants[s] = &want{backoff: minBorrowBackoff, updatedAt: never}
	}
	return l.wants[s]
}

// reserved reports whether the next free slot of a service is reserved for a peer.
func (l *borrowing) reserved(now manager.Time, s manager.ServiceID) bool {
	w := l.wants[s]
	return w != nil && now < w.reservedUntil
}

func (l *borrowing) free(a manager.Address, until manager.Time) int {
	n := 0
	for _, b := range l.slots[a] {
		if !b.inUse && b.until >= until {
			n++
		}
	}
	return n
}

// allocate takes the idle borrowed slot that expires first, among those valid until the given time.
func (l *borrowing) allocate(_ manager.Time, a manager.Address, until manager.Time) *borrowedSlot {
	var best *borrowedSlot
	for _, b := range l.slots[a] {
		if !b.inUse && b.until >= until && (best == nil || b.until < best.until) {
			best = b
		}
	}
	if best != nil {
		best.inUse = true
	}
	return best
}

func (l *borrowing) release(now manager.Time, a allocation) {
	for _, b := range l.slots[a.group.address] {
		if b.loan == a.loan && b.lender == a.lender {
			b.inUse = false
			b.idleSince = now
		}
	}
}

// SetDemand updates how many slots a service's queue needs.
func (k *Leaser) SetDemand(now manager.Time, update manager.SlotDemand) {
	k.init(now)
	if update.Count == 0 && k.borrowing.wants[update.Service] == nil {
		return
	}
	w := k.borrowing.wantOf(update.Service)
	w.count = update.Count
	w.minHold = min(update.Until.Sub(now), k.maxHold-renewalMargin)
	w.wait = update.WaitMs
	w.updatedAt = now
}

// borrowRequests returns a request for slots of each service with waiting requests, addressed to a peer
// that offered slots or to a random reachable one.
func (k *Leaser) borrowRequests(now manager.Time) []manager.SlotExchange {
	peers := slices.DeleteFunc(k.peers(), func(p manager.GatewayID) bool { return k.unreachable[p] })
	if len(peers) == 0 || k.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range k.borrowing.services() {
		w := k.borrowing.wants[s]
		if !w.waiting(now) || w.borrowPending || now < w.nextBorrow {
			continue
		}
		w.borrowPending = true
		peer := w.offeredBy
		if peer == "" {
			peer = peers[k.source.IntN(len(peers))]
		}
		w.offeredBy = ""
		r := k.request(now, peer)
		needed := w.minHold + closeMargin
		r.Borrow = &manager.Borrow{Service: s, Count: min(w.count, maxLoans), LeastMs: needed, HoldMs: needed + loanMargin, WaitMs: w.wait}
		due = append(due, manager.SlotExchange{Peer: peer, Request: r})
	}
	return due
}

// offerRequests returns an offer of each service's idle slots, addressed to the peer that has waited
// longest, or to the one that they are reserved for.
func (k *Leaser) offerRequests(now manager.Time) []manager.SlotExchange {
	if k.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range k.borrowing.services() {
		w := k.borrowing.wants[s]
		w.removeWaiters(now, "")
		reserved := now < w.reservedUntil
		if len(w.waiters) == 0 || w.waiting(now) && !reserved || now < w.nextOffer {
			continue
		}
		i := 0
		if reserved {
			i = max(slices.IndexFunc(w.waiters, func(o waiter) bool { return o.peer == w.reservedFor }), 0)
		}
		chosen := w.waiters[i]
		if _, idle := k.idleSlots(now, s, now.Add(chosen.minHold)); idle == 0 {
			continue
		}
		w.nextOffer = now.Add(minOfferInterval)
		w.waiters = slices.Delete(w.waiters, i, i+1)
		r := k.request(now, chosen.peer)
		r.Offer = s
		due = append(due, manager.SlotExchange{Peer: chosen.peer, Request: r})
	}
	return due
}

// acceptOffer addresses the next borrow request to a peer that offered idle slots.
func (l *borrowing) acceptOffer(now manager.Time, from manager.GatewayID, s manager.ServiceID) {
	if w := l.wants[s]; w != nil && w.waiting(now) {
		w.offeredBy = from
		w.nextBorrow = now
	}
}

func (l *borrowing) services() []manager.ServiceID {
	list := make([]manager.ServiceID, 0, len(l.wants))
	for s := range l.wants {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// addLoans records the loans of an answer. If there are none, the backoff doubles.
func (l *borrowing) addLoans(now, sent manager.Time, e manager.SlotExchange, loans []manager.Loan) {
	w := l.wantOf(e.Request.Borrow.Service)
	w.borrowPending = false
	if len(loans) == 0 {
		w.backoff = min(2*w.backoff, maxBorrowBackoff)
	} else {
		w.backoff = minBorrowBackoff
	}
	w.nextBorrow = now.Add(w.backoff)
	for _, loan := range loans {
		until := sent.Add(min(loan.HoldMs, e.Request.Borrow.HoldMs))
		if until <= now {
			continue
		}
		l.slots[loan.Address] = append(l.slots[loan.Address], &borrowedSlot{
			loan: loan.Loan, lender: e.Peer, until: until, idleSince: now,
		})
	}
}

// lend lends idle slots to a peer, preferring the upstreams with the most idle slots.
func (k *Leaser) lend(now manager.Time, r manager.SlotRequest) []manager.Loan {
	w := k.borrowing.wantOf(r.Borrow.Service)
	if k.stopping || r.Borrow.LeastMs <= 0 {
		return nil
	}
	limit := min(r.Borrow.Count, maxLoans)
	if w.waiting(now) {
		if !w.reserve(now, r) {
			w.addWaiter(now, r.From, r.Borrow.LeastMs)
			return nil
		}
		limit = 1
	}
	idle, total := k.idleSlots(now, r.Borrow.Service, now.Add(r.Borrow.LeastMs))
	var loans []manager.Loan
	for len(loans) < min(limit, total) {
		i := mostIdle(idle)
		idle[i].free--
		hold := min(r.Borrow.HoldMs, k.maxHold, k.shards[idle[i].group.shard].expiresAt.Sub(now))
		id := k.usage.lend(idle[i].group, r, now.Add(hold))
		loans = append(loans, manager.Loan{Loan: id, Address: idle[i].group.address, HoldMs: hold})
	}
	if len(loans) > 0 && w.reservedFor == r.From {
		w.reservedUntil = now
	}
	if len(loans) < r.Borrow.Count {
		w.addWaiter(now, r.From, r.Borrow.LeastMs)
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
func (k *Leaser) idleSlots(now manager.Time, s manager.ServiceID, until manager.Time) ([]idleGroup, int) {
	var list []idleGroup
	total := 0
	for _, m := range k.Registrar.Ready(now, s) {
		for _, g := range k.shares.gateways {
			held := k.shards[g]
			if held == nil {
				continue
			}
			if n := k.free(now, held, m, until); n > 0 {
				list = append(list, idleGroup{group: slotGroup{shard: g, address: m.Address}, free: n})
				total += n
			}
		}
	}
	return list, total
}

// removeStaleWants removes the state of services without a recent want. Callers choose the service
// names, so the number of entries would otherwise be unbounded.
func (l *borrowing) removeStaleWants(now manager.Time) {
	for s, w := range l.wants {
		if now.Sub(w.updatedAt) > wantRetention && now >= w.nextBorrow && !w.borrowPending && len(w.waiters) == 0 {
			delete(l.wants, s)
		}
	}
}

// removeIdle removes borrowed slots that have expired or been idle for too long, and queues the latter
// for return.
func (l *borrowing) removeIdle(now manager.Time) {
	for _, a := range l.addresses() {
		l.slots[a] = slices.DeleteFunc(l.slots[a], func(b *borrowedSlot) bool {
			if b.inUse {
				return false
			}
			if b.until > now && now.Sub(b.idleSince) < idleTimeout {
				return false
			}
			if b.until > now {
				l.returns[b.lender] = append(l.returns[b.lender], b.loan)
			}
			return true
		})
		if len(l.slots[a]) == 0 {
			delete(l.slots, a)
		}
	}
}

func (l *borrowing) addresses() []manager.Address {
	list := make([]manager.Address, 0, len(l.slots))
	for a := range l.slots {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

func (l *borrowing) popReturns(peer manager.GatewayID) []manager.LoanID {
	loans := l.returns[peer]
	delete(l.returns, peer)
	return loans
}

// returnRequests returns the messages that give idle borrowed slots back, with several slots in each.
func (k *Leaser) returnRequests(now manager.Time) []manager.SlotExchange {
	k.borrowing.removeIdle(now)
	k.borrowing.removeStaleWants(now)
	lenders := make([]manager.GatewayID, 0, len(k.borrowing.returns))
	for p := range k.borrowing.returns {
		if now.Sub(k.borrowing.returnsSentAt[p]) >= idleTimeout {
			lenders = append(lenders, p)
		}
	}
	slices.Sort(lenders)
	var due []manager.SlotExchange
	for _, p := range lenders {
		k.borrowing.returnsSentAt[p] = now
		due = append(due, manager.SlotExchange{Peer: p, Request: k.request(now, p)})
	}
	return due
}
