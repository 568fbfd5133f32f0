package lender

import (
	"math/rand/v2"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultDeadline is the deadline that leases cover if the settings name none. Requests with a
	// longer one run on under renewed leases, and end early if a renewal fails.
	DefaultDeadline = 10 * manager.Second
	// exchangePeriod is the pause between two exchanges with a peer, taken in turn; a longer one lets
	// leases run out before a majority renewed them.
	exchangePeriod = 500 * manager.Millisecond
	// renewSlack is added to the longest deadline in use; it must cover the exchanges with a majority,
	// and a lost gateway's slots stay idle for it.
	renewSlack = 3500 * manager.Millisecond
	// burstPause is the least time between two rounds with every peer at once.
	burstPause = 250 * manager.Millisecond
	// closeMargin is how long a slot outlives its request: the connection's close and clock drift.
	closeMargin = 250 * manager.Millisecond
	// longestMargin is what is added to a deadline before a slot is free for sure: the time that an
	// upstream takes to stop, and closeMargin.
	longestMargin = 500 * manager.Millisecond
	// holdWindow is how long a deadline counts for the length of leases.
	holdWindow = 30 * manager.Second
)

// Keeper is the SlotKeeper of one gateway.
type Keeper struct {
	Self manager.GatewayID
	// Gateways are all gateways; Self may be among them.
	Gateways []manager.GatewayID
	// Start is unique to this start of the gateway.
	Start manager.StartID
	// Registrar tells which upstreams' slots may be lent.
	Registrar manager.Registrar
	// Deadline is the longest deadline that a lease covers from the start, in milliseconds. A lost
	// gateway's slots are idle for at most this long and renewSlack, and a restarted gateway abstains
	// from votes for as long if a peer stays silent.
	Deadline   manager.Duration
	Assignment Assignment

	shares  *shares
	voter   *voter
	shards  map[manager.GatewayID]*shard
	book    book
	lending lending
	hold    holdTracker
	source  *rand.Rand
	maxHold manager.Duration

	number    uint64
	turn      []manager.GatewayID
	nextTurn  manager.Time
	lastBurst manager.Time
	starts    map[manager.GatewayID]peerStart
	greet     []manager.GatewayID
	failed    map[manager.GatewayID]bool
	returned  map[manager.GatewayID]manager.Time
	stopping  bool
}

var _ manager.SlotLeaser = (*Keeper)(nil)

func (k *Keeper) init(now manager.Time) {
	if k.shares != nil {
		return
	}
	if k.Deadline == 0 {
		k.Deadline = DefaultDeadline
	}
	k.maxHold = k.Deadline + longestMargin + renewSlack
	k.shares = newShares(append(slices.Clone(k.Gateways), k.Self), k.Assignment)
	k.voter = &voter{
		gateways: k.shares.gateways, maxHold: k.maxHold, started: now,
		promises: map[manager.GatewayID]promise{}, heard: map[manager.GatewayID]bool{},
	}
	k.source = rand.New(rand.NewPCG(startSeed(k.Start, k.Self), 1))
	k.starts = map[manager.GatewayID]peerStart{}
	k.failed = map[manager.GatewayID]bool{}
	k.returned = map[manager.GatewayID]manager.Time{}
	k.shards = map[manager.GatewayID]*shard{k.Self: newShard(k.Self)}
	k.book.init()
	k.lending.init()
	k.hold.see(now, k.Deadline+longestMargin)
	k.lastBurst = now.Add(-burstPause)
	k.nextTurn = now
	k.voter.adopt(now, k.Self, nil)
	if !k.contested() {
		k.shards[k.Self].horizon = forever
	}
}

// contested tells whether another gateway could win this one's slots. Of two gateways neither has a
// majority without the other, so each keeps its own.
func (k *Keeper) contested() bool { return len(k.shares.gateways) > 2 }

// holdMs is how long leases are asked for.
func (k *Keeper) holdMs(now manager.Time) manager.Duration {
	return min(k.hold.longest(now)+renewSlack, k.maxHold)
}

// Outgoing returns the messages to send now.
func (k *Keeper) Outgoing(now manager.Time) []manager.SlotExchange {
	k.init(now)
	k.review(now)
	if k.urgent(now) && now.Sub(k.lastBurst) >= burstPause {
		k.lastBurst = now
		k.nextTurn = now.Add(exchangePeriod)
		k.greet = nil
		return k.burst(now)
	}
	due := append(k.borrowDue(now), k.offersDue(now)...)
	for _, p := range k.greet {
		due = append(due, k.exchange(now, p))
	}
	k.greet = nil
	if now >= k.nextTurn && len(k.shares.gateways) > 1 {
		k.nextTurn = now.Add(exchangePeriod)
		due = append(due, k.exchange(now, k.nextPeer()))
	}
	return append(due, k.returnsDue(now)...)
}

func (k *Keeper) peers() []manager.GatewayID {
	return slices.DeleteFunc(slices.Clone(k.shares.gateways), func(g manager.GatewayID) bool { return g == k.Self })
}

// nextPeer goes through all peers in a random order, and in the same one again: so any majority in a
// row are different peers, and no lease waits for a second round.
func (k *Keeper) nextPeer() manager.GatewayID {
	if len(k.turn) == 0 {
		k.turn = k.peers()
		k.source.Shuffle(len(k.turn), func(i, j int) { k.turn[i], k.turn[j] = k.turn[j], k.turn[i] })
	}
	p := k.turn[0]
	k.turn = append(k.turn[1:], p)
	return p
}

func (k *Keeper) burst(now manager.Time) []manager.SlotExchange {
	var due []manager.SlotExchange
	for _, p := range k.peers() {
		due = append(due, k.exchange(now, p))
	}
	return due
}

// exchange returns a request that renews all leases; this gateway's own vote counts at once.
func (k *Keeper) exchange(now manager.Time, peer manager.GatewayID) manager.SlotExchange {
	r := k.request(now, peer)
	r.HoldMs = k.holdMs(now)
	r.Shards = k.asked(now)
	r.Release = k.releases(now)
	return manager.SlotExchange{Peer: peer, Request: r, Gossip: true}
}

func (k *Keeper) request(now manager.Time, peer manager.GatewayID) manager.SlotRequest {
	k.number++
	return manager.SlotRequest{
		From: k.Self, Start: k.Start, To: k.starts[peer].start, Set: k.shares.digest(), Number: k.number,
		Voting: k.voter.ready(now), Promised: k.promisedTo(now, peer), Returns: k.lending.takeReturns(peer),
	}
}

// Handle answers a peer's request.
func (k *Keeper) Handle(now manager.Time, r manager.SlotRequest) manager.SlotAnswer {
	k.init(now)
	if r.Set != k.shares.digest() || !slices.Contains(k.shares.gateways, r.From) {
		return manager.SlotAnswer{Start: k.Start, OtherSet: true}
	}
	k.meet(r.From, r.Start)
	k.hear(now, r.From, r.To, r.Promised)
	k.book.takeBack(r.From, r.Start, r.Returns)
	a := manager.SlotAnswer{
		Start: k.Start, To: k.starts[r.From].start, Granted: k.voter.vote(now, r),
		Voting: k.voter.ready(now),
	}
	if !r.Voting {
		a.Promised = k.promisedTo(now, r.From)
	}
	if r.Borrow != nil {
		a.Loans = k.lend(now, r)
	}
	if r.Offer != "" {
		k.lending.takeOffer(now, r.From, r.Offer)
	}
	return a
}

// hear notes that a gateway lives. The promises that it knows of count only if it knows this start:
// only then does it accept no support of an earlier one any more.
func (k *Keeper) hear(now manager.Time, from manager.GatewayID, to manager.StartID, promises []manager.SlotPromise) {
	if to == k.Start {
		k.voter.adopt(now, from, promises)
	}
	delete(k.failed, from)
	if _, ok := k.shards[from]; ok {
		k.returned[from] = now
	}
}

// Answered takes the answer to a request that was sent at sent.
func (k *Keeper) Answered(now, sent manager.Time, e manager.SlotExchange, a manager.SlotAnswer) {
	k.init(now)
	if a.OtherSet || !k.learn(now, sent, e.Peer, a.Start) {
		return
	}
	k.starts[e.Peer] = k.starts[e.Peer].vote(a.Voting)
	k.hear(now, e.Peer, a.To, a.Promised)
	until := sent.Add(e.Request.HoldMs)
	for _, s := range a.Granted {
		if held := k.shards[s]; held != nil && !held.dropped && sent >= held.since {
			held.grant(e.Peer, until, k.majority())
		}
	}
	if e.Request.Borrow != nil {
		k.lending.borrowed(now, sent, e, a.Loans)
	}
}

// Failed takes note that a request got no answer.
func (k *Keeper) Failed(now manager.Time, e manager.SlotExchange) {
	k.init(now)
	k.failed[e.Peer] = true
	if e.Request.Borrow != nil {
		k.lending.borrowed(now, now, e, nil)
	}
}

// HasLease tells whether this gateway may use any slots now.
func (k *Keeper) HasLease(now manager.Time) bool {
	k.init(now)
	return k.shards[k.Self].horizon > now
}

// Stop gives the leases up and returns the messages that say so; no request may start afterwards.
func (k *Keeper) Stop(now manager.Time) []manager.SlotExchange {
	k.init(now)
	k.stopping = true
	for _, s := range k.shards {
		s.dropped = true
	}
	k.vote(now)
	return k.burst(now)
}

func (k *Keeper) majority() int { return len(k.shares.gateways)/2 + 1 }
