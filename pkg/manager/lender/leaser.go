package lender

import (
	"math/rand/v2"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultDeadline is the request deadline that leases cover if the settings name none. Requests
	// with a longer deadline depend on lease renewals and are ended early if a renewal fails.
	DefaultDeadline = 10 * manager.Second
	// exchangeInterval is the pause between two exchanges; peers are contacted round-robin. With a
	// longer one, leases expire before a majority has renewed them.
	exchangeInterval = 500 * manager.Millisecond
	// renewalMargin is added to the longest deadline in use to get the lease duration. It must cover
	// the exchanges with a majority; the slots of a lost gateway stay idle for this time too.
	renewalMargin = 3500 * manager.Millisecond
	// minBroadcastInterval is the minimum interval between two broadcasts to all peers.
	minBroadcastInterval = 250 * manager.Millisecond
	// closeMargin is how long a slot stays occupied after its request, to cover closing the connection
	// and clock drift.
	closeMargin = 250 * manager.Millisecond
	// releaseMargin is the time after a deadline at which a slot is certainly free: the time that an
	// upstream takes to stop, plus closeMargin.
	releaseMargin = 500 * manager.Millisecond
	// holdWindow is how long an observed deadline influences the lease duration.
	holdWindow = 30 * manager.Second
)

// Leaser is the SlotLeaser of one gateway. It leases shards by majority vote and lends and borrows
// slots.
type Leaser struct {
	Self manager.GatewayID
	// Gateways lists all gateways; it may include Self.
	Gateways []manager.GatewayID
	// Start identifies this start of the gateway uniquely.
	Start manager.StartID
	// Registrar lists the upstreams whose slots may be lent.
	Registrar manager.Registrar
	// Deadline is the longest request deadline, in milliseconds, that a lease covers without renewal.
	// The slots of a lost gateway are idle for at most this long plus renewalMargin. A restarted
	// gateway abstains from voting for as long if a peer does not answer.
	Deadline   manager.Duration
	Assignment Assignment

	shares    *shares
	voter     *voter
	shards    map[manager.GatewayID]*shard
	usage     usageTracker
	borrowing borrowing
	hold      holdTracker
	source    *rand.Rand
	maxHold   manager.Duration

	lastNumber    uint64
	peerOrder     []manager.GatewayID
	nextExchange  manager.Time
	lastBroadcast manager.Time
	starts        map[manager.GatewayID]peerStart
	handshakes    []manager.GatewayID
	unreachable   map[manager.GatewayID]bool
	recoveredAt   map[manager.GatewayID]manager.Time
	stopping      bool
}

var _ manager.SlotLeaser = (*Leaser)(nil)

func (l *Leaser) init(now manager.Time) {
	if l.shares != nil {
		return
	}
	if l.Deadline == 0 {
		l.Deadline = DefaultDeadline
	}
	l.maxHold = l.Deadline + releaseMargin + renewalMargin
	l.shares = newShares(append(slices.Clone(l.Gateways), l.Self), l.Assignment)
	l.voter = &voter{
		gateways: l.shares.gateways, maxHold: l.maxHold, started: now,
		promises: map[manager.GatewayID]promise{}, reported: map[manager.GatewayID]bool{},
	}
	l.source = rand.New(rand.NewPCG(startSeed(l.Start, l.Self), 1))
	l.starts = map[manager.GatewayID]peerStart{}
	l.unreachable = map[manager.GatewayID]bool{}
	l.recoveredAt = map[manager.GatewayID]manager.Time{}
	l.shards = map[manager.GatewayID]*shard{l.Self: newShard(l.Self)}
	l.usage.init()
	l.borrowing.init()
	l.hold.record(now, l.Deadline+releaseMargin)
	l.lastBroadcast = now.Add(-minBroadcastInterval)
	l.nextExchange = now
	l.voter.mergePromises(now, l.Self, nil)
	if !l.needsQuorum() {
		l.shards[l.Self].expiresAt = noExpiry
	}
}

// needsQuorum reports whether leases depend on the votes of other gateways. With two gateways,
// neither has a majority without the other, so each keeps its own slots.
func (l *Leaser) needsQuorum() bool { return len(l.shares.gateways) > 2 }

// leaseDuration returns the duration of the leases to request.
func (l *Leaser) leaseDuration(now manager.Time) manager.Duration {
	return min(l.hold.longest(now)+renewalMargin, l.maxHold)
}

// Outgoing returns the messages to send now.
func (l *Leaser) Outgoing(now manager.Time) []manager.SlotExchange {
	l.init(now)
	l.updateShards(now)
	if l.needsBroadcast(now) && now.Sub(l.lastBroadcast) >= minBroadcastInterval {
		l.lastBroadcast = now
		l.nextExchange = now.Add(exchangeInterval)
		l.handshakes = nil
		return l.broadcast(now)
	}
	due := append(l.borrowRequests(now), l.offerRequests(now)...)
	for _, p := range l.handshakes {
		due = append(due, l.exchange(now, p))
	}
	l.handshakes = nil
	if now >= l.nextExchange && len(l.shares.gateways) > 1 {
		l.nextExchange = now.Add(exchangeInterval)
		due = append(due, l.exchange(now, l.nextPeer()))
	}
	return append(due, l.returnRequests(now)...)
}

func (l *Leaser) peers() []manager.GatewayID {
	return slices.DeleteFunc(slices.Clone(l.shares.gateways), func(g manager.GatewayID) bool { return g == l.Self })
}

// nextPeer iterates over the peers in a random order. The order is the same in every round, so that a
// majority in a row always consists of different peers and no lease waits for a second round.
func (l *Leaser) nextPeer() manager.GatewayID {
	if len(l.peerOrder) == 0 {
		l.peerOrder = l.peers()
		l.source.Shuffle(len(l.peerOrder), func(i, j int) { l.peerOrder[i], l.peerOrder[j] = l.peerOrder[j], l.peerOrder[i] })
	}
	p := l.peerOrder[0]
	l.peerOrder = append(l.peerOrder[1:], p)
	return p
}

func (l *Leaser) broadcast(now manager.Time) []manager.SlotExchange {
	var due []manager.SlotExchange
	for _, p := range l.peers() {
		due = append(due, l.exchange(now, p))
	}
	return due
}

// exchange returns a request that renews all leases. This gateway's own vote is counted separately, by
// voteForSelf.
func (l *Leaser) exchange(now manager.Time, peer manager.GatewayID) manager.SlotExchange {
	r := l.request(now, peer)
	r.HoldMs = l.leaseDuration(now)
	r.Shards = l.requestedShards(now)
	r.Release = l.releasedShards(now)
	return manager.SlotExchange{Peer: peer, Request: r, Gossip: true}
}

func (l *Leaser) request(now manager.Time, peer manager.GatewayID) manager.SlotRequest {
	l.lastNumber++
	return manager.SlotRequest{
		From: l.Self, Start: l.Start, To: l.starts[peer].start, Set: l.shares.digest(), Number: l.lastNumber,
		Voting: l.voter.mayVote(now), Promised: l.promisesFor(now, peer), Returns: l.borrowing.popReturns(peer),
	}
}

// Handle answers a peer's request.
func (l *Leaser) Handle(now manager.Time, r manager.SlotRequest) manager.SlotAnswer {
	l.init(now)
	if r.Set != l.shares.digest() || !slices.Contains(l.shares.gateways, r.From) {
		return manager.SlotAnswer{Start: l.Start, OtherSet: true}
	}
	l.planHandshake(r.From, r.Start)
	l.markReachable(now, r.From, r.To, r.Promised)
	l.usage.endLoans(r.From, r.Start, r.Returns)
	a := manager.SlotAnswer{
		Start: l.Start, To: l.starts[r.From].start, Granted: l.voter.vote(now, r),
		Voting: l.voter.mayVote(now),
	}
	if !r.Voting {
		a.Promised = l.promisesFor(now, r.From)
	}
	if r.Borrow != nil {
		a.Loans = l.lend(now, r)
	}
	if r.Offer != "" {
		l.borrowing.acceptOffer(now, r.From, r.Offer)
	}
	return a
}

// markReachable records that a gateway is alive. The promises that it reports count only if it knows
// this start of the gateway, because only then does it no longer accept votes of an earlier start.
func (l *Leaser) markReachable(now manager.Time, from manager.GatewayID, to manager.StartID, promises []manager.SlotPromise) {
	if to == l.Start {
		l.voter.mergePromises(now, from, promises)
	}
	delete(l.unreachable, from)
	if _, ok := l.shards[from]; ok {
		l.recoveredAt[from] = now
	}
}

// Answered processes the answer to a request that was sent at the given time.
func (l *Leaser) Answered(now, sent manager.Time, e manager.SlotExchange, a manager.SlotAnswer) {
	l.init(now)
	if a.OtherSet || !l.learnStart(now, sent, e.Peer, a.Start) {
		return
	}
	l.starts[e.Peer] = l.starts[e.Peer].withVoting(a.Voting)
	l.markReachable(now, e.Peer, a.To, a.Promised)
	until := sent.Add(e.Request.HoldMs)
	for _, s := range a.Granted {
		if held := l.shards[s]; held != nil && !held.draining && sent >= held.attemptStart {
			held.grant(e.Peer, until, l.majority())
		}
	}
	if e.Request.Borrow != nil {
		l.borrowing.addLoans(now, sent, e, a.Loans)
	}
}

// Failed records that a request got no answer.
func (l *Leaser) Failed(now manager.Time, e manager.SlotExchange) {
	l.init(now)
	l.unreachable[e.Peer] = true
	if e.Request.Borrow != nil {
		l.borrowing.addLoans(now, now, e, nil)
	}
}

// HasLease reports whether this gateway may use any slots now.
func (l *Leaser) HasLease(now manager.Time) bool {
	l.init(now)
	return l.shards[l.Self].expiresAt > now
}

// Stop releases the leases and returns the messages that announce it. No request may start afterwards.
func (l *Leaser) Stop(now manager.Time) []manager.SlotExchange {
	l.init(now)
	l.stopping = true
	for _, s := range l.shards {
		s.draining = true
	}
	l.voteForSelf(now)
	return l.broadcast(now)
}

func (l *Leaser) majority() int { return len(l.shares.gateways)/2 + 1 }
