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

func (k *Leaser) init(now manager.Time) {
	if k.shares != nil {
		return
	}
	if k.Deadline == 0 {
		k.Deadline = DefaultDeadline
	}
	k.maxHold = k.Deadline + releaseMargin + renewalMargin
	k.shares = newShares(append(slices.Clone(k.Gateways), k.Self), k.Assignment)
	k.voter = &voter{
		gateways: k.shares.gateways, maxHold: k.maxHold, started: now,
		promises: map[manager.GatewayID]promise{}, reported: map[manager.GatewayID]bool{},
	}
	k.source = rand.New(rand.NewPCG(startSeed(k.Start, k.Self), 1))
	k.starts = map[manager.GatewayID]peerStart{}
	k.unreachable = map[manager.GatewayID]bool{}
	k.recoveredAt = map[manager.GatewayID]manager.Time{}
	k.shards = map[manager.GatewayID]*shard{k.Self: newShard(k.Self)}
	k.usage.init()
	k.borrowing.init()
	k.hold.record(now, k.Deadline+releaseMargin)
	k.lastBroadcast = now.Add(-minBroadcastInterval)
	k.nextExchange = now
	k.voter.mergePromises(now, k.Self, nil)
	if !k.needsQuorum() {
		k.shards[k.Self].expiresAt = noExpiry
	}
}

// needsQuorum reports whether leases depend on the votes of other gateways. With two gateways,
// neither has a majority without the other, so each keeps its own slots.
func (k *Leaser) needsQuorum() bool { return len(k.shares.gateways) > 2 }

// leaseDuration returns the duration of the leases to request.
func (k *Leaser) leaseDuration(now manager.Time) manager.Duration {
	return min(k.hold.longest(now)+renewalMargin, k.maxHold)
}

// Outgoing returns the messages to send now.
func (k *Leaser) Outgoing(now manager.Time) []manager.SlotExchange {
	k.init(now)
	k.updateShards(now)
	if k.needsBroadcast(now) && now.Sub(k.lastBroadcast) >= minBroadcastInterval {
		k.lastBroadcast = now
		k.nextExchange = now.Add(exchangeInterval)
		k.handshakes = nil
		return k.broadcast(now)
	}
	due := append(k.borrowRequests(now), k.offerRequests(now)...)
	for _, p := range k.handshakes {
		due = append(due, k.exchange(now, p))
	}
	k.handshakes = nil
	if now >= k.nextExchange && len(k.shares.gateways) > 1 {
		k.nextExchange = now.Add(exchangeInterval)
		due = append(due, k.exchange(now, k.nextPeer()))
	}
	return append(due, k.returnRequests(now)...)
}

func (k *Leaser) peers() []manager.GatewayID {
	return slices.DeleteFunc(slices.Clone(k.shares.gateways), func(g manager.GatewayID) bool { return g == k.Self })
}

// nextPeer iterates over the peers in a random order. The order is the same in every round, so that a
// majority in a row always consists of different peers and no lease waits for a second round.
func (k *Leaser) nextPeer() manager.GatewayID {
	if len(k.peerOrder) == 0 {
		k.peerOrder = k.peers()
		k.source.Shuffle(len(k.peerOrder), func(i, j int) { k.peerOrder[i], k.peerOrder[j] = k.peerOrder[j], k.peerOrder[i] })
	}
	p := k.peerOrder[0]
	k.peerOrder = append(k.peerOrder[1:], p)
	return p
}

func (k *Leaser) broadcast(now manager.Time) []manager.SlotExchange {
	var due []manager.SlotExchange
	for _, p := range k.peers() {
		due = append(due, k.exchange(now, p))
	}
	return due
}

// exchange returns a request that renews all leases. This gateway's own vote is counted separately, by
// voteForSelf.
func (k *Leaser) exchange(now manager.Time, peer manager.GatewayID) manager.SlotExchange {
	r := k.request(now, peer)
	r.HoldMs = k.leaseDuration(now)
	r.Shards = k.requestedShards(now)
	r.Release = k.releasedShards(now)
	return manager.SlotExchange{Peer: peer, Request: r, Gossip: true}
}

func (k *Leaser) request(now manager.Time, peer manager.GatewayID) manager.SlotRequest {
	k.lastNumber++
	return manager.SlotRequest{
		From: k.Self, Start: k.Start, To: k.starts[peer].start, Set: k.shares.digest(), Number: k.lastNumber,
		Voting: k.voter.mayVote(now), Promised: k.promisesFor(now, peer), Returns: k.borrowing.popReturns(peer),
	}
}

// Handle answers a peer's request.
func (k *Leaser) Handle(now manager.Time, r manager.SlotRequest) manager.SlotAnswer {
	k.init(now)
	if r.Set != k.shares.digest() || !slices.Contains(k.shares.gateways, r.From) {
		return manager.SlotAnswer{Start: k.Start, OtherSet: true}
	}
	k.planHandshake(r.From, r.Start)
	k.markReachable(now, r.From, r.To, r.Promised)
	k.usage.endLoans(r.From, r.Start, r.Returns)
	a := manager.SlotAnswer{
		Start: k.Start, To: k.starts[r.From].start, Granted: k.voter.vote(now, r),
		Voting: k.voter.mayVote(now),
	}
	if !r.Voting {
		a.Promised = k.promisesFor(now, r.From)
	}
	if r.Borrow != nil {
		a.Loans = k.lend(now, r)
	}
	if r.Offer != "" {
		k.borrowing.acceptOffer(now, r.From, r.Offer)
	}
	return a
}

// markReachable records that a gateway is alive. The promises that it reports count only if it knows
// this start of the gateway, because only then does it no longer accept votes of an earlier start.
func (k *Leaser) markReachable(now manager.Time, from manager.GatewayID, to manager.StartID, promises []manager.SlotPromise) {
	if to == k.Start {
		k.voter.mergePromises(now, from, promises)
	}
	delete(k.unreachable, from)
	if _, ok := k.shards[from]; ok {
		k.recoveredAt[from] = now
	}
}

// Answered processes the answer to a request that was sent at the given time.
func (k *Leaser) Answered(now, sent manager.Time, e manager.SlotExchange, a manager.SlotAnswer) {
	k.init(now)
	if a.OtherSet || !k.learnStart(now, sent, e.Peer, a.Start) {
		return
	}
	k.starts[e.Peer] = k.starts[e.Peer].withVoting(a.Voting)
	k.markReachable(now, e.Peer, a.To, a.Promised)
	until := sent.Add(e.Request.HoldMs)
	for _, s := range a.Granted {
		if held := k.shards[s]; held != nil && !held.draining && sent >= held.attemptStart {
			held.grant(e.Peer, until, k.majority())
		}
	}
	if e.Request.Borrow != nil {
		k.borrowing.addLoans(now, sent, e, a.Loans)
	}
}

// Failed records that a request got no answer.
func (k *Leaser) Failed(now manager.Time, e manager.SlotExchange) {
	k.init(now)
	k.unreachable[e.Peer] = true
	if e.Request.Borrow != nil {
		k.borrowing.addLoans(now, now, e, nil)
	}
}

// HasLease reports whether this gateway may use any slots now.
func (k *Leaser) HasLease(now manager.Time) bool {
	k.init(now)
	return k.shards[k.Self].expiresAt > now
}

// Stop releases the leases and returns the messages that announce it. No request may start afterwards.
func (k *Leaser) Stop(now manager.Time) []manager.SlotExchange {
	k.init(now)
	k.stopping = true
	for _, s := range k.shards {
		s.draining = true
	}
	k.voteForSelf(now)
	return k.broadcast(now)
}

func (k *Leaser) majority() int { return len(k.shares.gateways)/2 + 1 }
