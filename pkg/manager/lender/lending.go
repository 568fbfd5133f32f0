package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// borrowPause is the least time between two requests for slots of one service.
	borrowPause = 20 * manager.Millisecond
	// maxBorrowPause bounds the pause after peers had nothing to lend, doubled each time.
	maxBorrowPause = 1 * manager.Second
	// wantAge is how long a want counts; a gateway that waits for slots lends none of them.
	wantAge = 200 * manager.Millisecond
	// idleTime is how long a borrowed slot may be idle before it is returned.
	idleTime = 100 * manager.Millisecond
	// silentTime is how long a service must be silent here before all its idle slots are lent.
	silentTime = 500 * manager.Millisecond
	// maxLoans bounds the slots in one answer.
	maxLoans = 64
	// loanSlack is added to a loan, so that a slot serves several short requests.
	loanSlack = 1 * manager.Second
)

// never is a time before every other that is used.
const never = manager.Time(-1 << 40)

// borrowedSlot is a slot that a peer lent to this gateway.
type borrowedSlot struct {
	loan   manager.LoanID
	lender manager.Address
	until  manager.Time
	inUse  bool
	// idleSince is when it was last given back.
	idleSince manager.Time
}

// want is what a service's queue asks for.
type want struct {
	count  int
	hold   manager.Duration
	at     manager.Time
	next   manager.Time
	pause  manager.Duration
	asking bool
	// lastUse is when a slot of the service was last taken here.
	lastUse manager.Time
}

// lending keeps the borrowed slots and what is wanted.
type lending struct {
	slots   map[manager.Address][]*borrowedSlot
	wants   map[manager.ServiceID]*want
	returns map[manager.Address][]manager.LoanID
	// sent is when slots were last returned to a peer by a message of their own.
	sent map[manager.Address]manager.Time
}

func (l *lending) init() {
	l.slots = map[manager.Address][]*borrowedSlot{}
	l.wants = map[manager.ServiceID]*want{}
	l.returns = map[manager.Address][]manager.LoanID{}
	l.sent = map[manager.Address]manager.Time{}
}

func (l *lending) want(s manager.ServiceID) *want {
	if l.wants[s] == nil {
		l.wants[s] = &want{pause: borrowPause, at: never, lastUse: never}
	}
	return l.wants[s]
}

func (l *lending) used(now manager.Time, s manager.ServiceID) { l.want(s).lastUse = now }

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

// Want says that n requests of a service wait for slots that they need until until.
func (k *Keeper) Want(now manager.Time, s manager.ServiceID, n int, until manager.Time) {
	k.init(now)
	w := k.lending.want(s)
	w.count = n
	w.hold = until.Sub(now)
	w.at = now
}

// borrowDue asks a random peer for slots of each service that waits.
func (k *Keeper) borrowDue(now manager.Time) []manager.SlotExchange {
	peers := slices.DeleteFunc(k.peers(), func(p manager.Address) bool { return k.failed[p] })
	if len(peers) == 0 || k.stopping {
		return nil
	}
	var due []manager.SlotExchange
	for _, s := range k.lending.services() {
		w := k.lending.wants[s]
		if now.Sub(w.at) > wantAge || w.count == 0 || w.asking || now < w.next {
			continue
		}
		w.asking = true
		peer := peers[k.source.IntN(len(peers))]
		r := k.request(now, peer)
		r.Borrow = &manager.Borrow{Service: s, Count: min(w.count, maxLoans), HoldMs: w.hold + closeMargin + loanSlack}
		due = append(due, manager.SlotExchange{Peer: peer, Request: r})
	}
	return due
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
	hold := min(r.Borrow.HoldMs, k.MaxHold)
	if now.Sub(w.at) <= wantAge && w.count > 0 || k.stopping || hold <= 0 {
		return nil
	}
	idle, total := k.idleSlots(now, r.Borrow.Service, now.Add(hold))
	if now.Sub(w.lastUse) < silentTime {
		total /= 2
	}
	var loans []manager.Loan
	for len(loans) < min(r.Borrow.Count, total, maxLoans) {
		i := mostIdle(idle)
		idle[i].free--
		id := k.book.lend(idle[i].place, r, now.Add(hold))
		loans = append(loans, manager.Loan{Loan: id, Address: idle[i].place.address, HoldMs: hold})
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

func (l *lending) takeReturns(peer manager.Address) []manager.LoanID {
	loans := l.returns[peer]
	delete(l.returns, peer)
	return loans
}

// returnsDue returns idle borrowed slots, several in a message.
func (k *Keeper) returnsDue(now manager.Time) []manager.SlotExchange {
	k.lending.collect(now)
	lenders := make([]manager.Address, 0, len(k.lending.returns))
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
