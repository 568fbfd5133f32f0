package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// borrowPause is the least time between two requests for slots of one service.
	borrowPause = 50 * manager.Millisecond
	// maxBorrowPause bounds the pause after peers had nothing to lend, doubled each time.
	maxBorrowPause = 1000 * manager.Millisecond
	// wantAge is how long a want counts; a gateway that waits for slots lends none of them.
	wantAge = 200 * manager.Millisecond
	// wantForget is how long a service's wants are remembered.
	wantForget = 10 * manager.Second
	// idleTime is how long a borrowed slot may be idle before it is returned.
	idleTime = 100 * manager.Millisecond
	// offerPause is the least time between two offers of one service's slots.
	offerPause = 50 * manager.Millisecond
	// waiterAge is how long a peer that asked in vain is remembered.
	waiterAge = 1 * manager.Second
	// waitPercent is how long requests must wait at a peer, compared with here, to get a slot that is
	// needed here too; a smaller one hands slots to and fro.
	waitPercent = 150
	// leastWait is the wait in milliseconds below which slots that are needed are not handed on.
	leastWait = 200
	// reserveTime bounds how long a slot is kept for a peer that does not fetch it.
	reserveTime = 100 * manager.Millisecond
	// maxLoans bounds the slots in one answer.
	maxLoans = 64
	// loanSlack is added to a loan, so that a slot serves several short requests.
	loanSlack = 3 * manager.Second
)

// never is a time before every other that is used.
const never = manager.Time(-1 << 40)

// borrowedSlot is a slot that a peer lent to this gateway.
type borrowedSlot struct {
	loan   manager.LoanID
	lender manager.GatewayID
	until  manager.Time
	inUse  bool
	// idleSince is when it was last given back.
	idleSince manager.Time
}

// lending keeps the borrowed slots and what is wanted.
type lending struct {
	slots   map[manager.Address][]*borrowedSlot
	wants   map[manager.ServiceID]*want
	returns map[manager.GatewayID][]manager.LoanID
	// sent is when slots were last returned to a peer by a message of their own.
	sent map[manager.GatewayID]manager.Time
}

func (l *lending) init() {
	l.slots = map[manager.Address][]*borrowedSlot{}
	l.wants = map[manager.ServiceID]*want{}
	l.returns = map[manager.GatewayID][]manager.LoanID{}
	l.sent = map[manager.GatewayID]manager.Time{}
}

func (l *lending) want(s manager.ServiceID) *want {
	if l.wants[s] == nil {
		l.wants[s] = &want{pause: borrowPause, at: never}
	}
	return l.wants[s]
}

// reserved tells whether the next free slot of a service is a peer's.
func (l *lending) reserved(now manager.Time, s manager.ServiceID) bool {
	w := l.wants[s]
	return w != nil && now < w.reservedUntil
}

func (l *lending) free(a manager.Address, until manager.Time) int {
	n := 0
	for _, b := range l.slots[a] {
		if !b.inUse && b.until >= until {
			n++
		}
	}
	return n
}

// take uses the borrowed slot that ends first of those that last until until.
func (l *lending) take(_ manager.Time, a manager.Address, until manager.Time) *borrowedSlot {
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

func (l *lending) give(now manager.Time, u use) {
	for _, b := range l.slots[u.place.address] {
		if b.loan == u.loan && b.lender == u.lender {
			b.inUse = false
			b.idleSince = now
		}
	}
}

// SetDemand says what a service's queue asks for.
func (k *Keeper) SetDemand(now manager.Time, sw manager.SlotDemand) {
	k.init(now)
	if sw.Count == 0 && k.lending.wants[sw.Service] == nil {
		return
	}
	w := k.lending.want(sw.Service)
	w.count = sw.Count
	w.hold = min(sw.Until.Sub(now), k.maxHold-renewSlack)
	w.wait = sw.WaitMs
	w.at = now
}

// borrowDue asks a random peer for slots of each service that waits.
func (k *Keeper) borrowDue(now manager.Time) []manager.SlotExchange {
	peers := slices.DeleteFunc(k.peers(), func(p manager.GatewayID) bool { return k.failed[p] })
	if len(peers) == 0 || k.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range k.lending.services() {
		w := k.lending.wants[s]
		if !w.waits(now) || w.asking || now < w.next {
			continue
		}
		w.asking = true
		peer := w.offeredBy
		if peer == "" {
			peer = peers[k.source.IntN(len(peers))]
		}
		w.offeredBy = ""
		r := k.request(now, peer)
		least := w.hold + closeMargin
		r.Borrow = &manager.Borrow{Service: s, Count: min(w.count, maxLoans), LeastMs: least, HoldMs: least + loanSlack, WaitMs: w.wait}
		due = append(due, manager.SlotExchange{Peer: peer, Request: r})
	}
	return due
}

// offersDue tells the peer that waits longest of a service's idle slots.
func (k *Keeper) offersDue(now manager.Time) []manager.SlotExchange {
	if k.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range k.lending.services() {
		w := k.lending.wants[s]
		w.forget(now, "")
		reserved := now < w.reservedUntil
		if len(w.waiters) == 0 || w.waits(now) && !reserved || now < w.nextOffer {
			continue
		}
		i := 0
		if reserved {
			i = max(slices.IndexFunc(w.waiters, func(o waiter) bool { return o.peer == w.reservedFor }), 0)
		}
		first := w.waiters[i]
		if _, idle := k.idleSlots(now, s, now.Add(first.least)); idle == 0 {
			continue
		}
		w.nextOffer = now.Add(offerPause)
		w.waiters = slices.Delete(w.waiters, i, i+1)
		r := k.request(now, first.peer)
		r.Offer = s
		due = append(due, manager.SlotExchange{Peer: first.peer, Request: r})
	}
	return due
}

// takeOffer asks a peer that has idle slots at the next chance.
func (l *lending) takeOffer(now manager.Time, from manager.GatewayID, s manager.ServiceID) {
	if w := l.wants[s]; w != nil && w.waits(now) {
		w.offeredBy = from
		w.next = now
	}
}

func (l *lending) services() []manager.ServiceID {
	list := make([]manager.ServiceID, 0, len(l.wants))
	for s := range l.wants {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// borrowed takes the loans of an answer; nothing lent doubles the pause.
func (l *lending) borrowed(now, sent manager.Time, e manager.SlotExchange, loans []manager.Loan) {
	w := l.want(e.Request.Borrow.Service)
	w.asking = false
	if len(loans) == 0 {
		w.pause = min(2*w.pause, maxBorrowPause)
	} else {
		w.pause = borrowPause
	}
	w.next = now.Add(w.pause)
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

// lend grants loans of idle slots to a peer, from the upstreams with most of them.
func (k *Keeper) lend(now manager.Time, r manager.SlotRequest) []manager.Loan {
	w := k.lending.want(r.Borrow.Service)
	if k.stopping || r.Borrow.LeastMs <= 0 {
		return nil
	}
	most := min(r.Borrow.Count, maxLoans)
	if w.waits(now) {
		if !w.reserve(now, r) {
			w.remember(now, r.From, r.Borrow.LeastMs)
			return nil
		}
		most = 1
	}
	idle, total := k.idleSlots(now, r.Borrow.Service, now.Add(r.Borrow.LeastMs))
	var loans []manager.Loan
	for len(loans) < min(most, total) {
		i := mostIdle(idle)
		idle[i].free--
		hold := min(r.Borrow.HoldMs, k.maxHold, k.shards[idle[i].place.shard].horizon.Sub(now))
		id := k.book.lend(idle[i].place, r, now.Add(hold))
		loans = append(loans, manager.Loan{Loan: id, Address: idle[i].place.address, HoldMs: hold})
	}
	if len(loans) > 0 && w.reservedFor == r.From {
		w.reservedUntil = now
	}
	if len(loans) < r.Borrow.Count {
		w.remember(now, r.From, r.Borrow.LeastMs)
	}
	return loans
}

type idlePlace struct {
	place place
	free  int
}

func mostIdle(list []idlePlace) int {
	best := 0
	for i := range list {
		if list[i].free > list[best].free {
			best = i
		}
	}
	return best
}

// idleSlots returns the places of a service with slots that may be lent until until, and their sum.
func (k *Keeper) idleSlots(now manager.Time, s manager.ServiceID, until manager.Time) ([]idlePlace, int) {
	var list []idlePlace
	total := 0
	for _, m := range k.Registrar.Ready(now, s) {
		for _, g := range k.shares.gateways {
			held := k.shards[g]
			if held == nil {
				continue
			}
			if n := k.free(now, held, m, until); n > 0 {
				list = append(list, idlePlace{place: place{shard: g, address: m.Address}, free: n})
				total += n
			}
		}
	}
	return list, total
}

// sweep forgets what services wanted long ago; callers choose the names.
func (l *lending) sweep(now manager.Time) {
	for s, w := range l.wants {
		if now.Sub(w.at) > wantForget && now >= w.next && !w.asking && len(w.waiters) == 0 {
			delete(l.wants, s)
		}
	}
}

// collect moves borrowed slots that are idle or ended out of use.
func (l *lending) collect(now manager.Time) {
	for _, a := range l.addresses() {
		l.slots[a] = slices.DeleteFunc(l.slots[a], func(b *borrowedSlot) bool {
			if b.inUse {
				return false
			}
			if b.until > now && now.Sub(b.idleSince) < idleTime {
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

func (l *lending) addresses() []manager.Address {
	list := make([]manager.Address, 0, len(l.slots))
	for a := range l.slots {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

func (l *lending) takeReturns(peer manager.GatewayID) []manager.LoanID {
	loans := l.returns[peer]
	delete(l.returns, peer)
	return loans
}

// returnsDue returns idle borrowed slots, several in a message.
func (k *Keeper) returnsDue(now manager.Time) []manager.SlotExchange {
	k.lending.collect(now)
	k.lending.sweep(now)
	lenders := make([]manager.GatewayID, 0, len(k.lending.returns))
	for p := range k.lending.returns {
		if now.Sub(k.lending.sent[p]) >= idleTime {
			lenders = append(lenders, p)
		}
	}
	slices.Sort(lenders)
	var due []manager.SlotExchange
	for _, p := range lenders {
		k.lending.sent[p] = now
		due = append(due, manager.SlotExchange{Peer: p, Request: k.request(now, p)})
	}
	return due
}
