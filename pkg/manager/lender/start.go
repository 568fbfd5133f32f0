package lender

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// peerStart is the latest start of a peer that an answer proved.
type peerStart struct {
	start manager.StartID
	// at is when it was learned.
	at manager.Time
	// voting says that this start may vote, which it then may until its end.
	voting bool
}

func (s peerStart) vote(voting bool) peerStart {
	s.voting = s.voting || voting
	return s
}

// learn takes the start that an answer to a request sent at sent came from. It tells whether the
// answer may be used: one of another start counts only if it was asked for after the known start was
// learned, or it may come from before.
func (k *Keeper) learn(now, sent manager.Time, peer manager.GatewayID, start manager.StartID) bool {
	known, ok := k.starts[peer]
	if ok && known.start == start {
		return true
	}
	if ok && sent < known.at {
		return false
	}
	k.starts[peer] = peerStart{start: start, at: now}
	return true
}

// meet plans an exchange with a peer whose start is unknown: it may vote only after all have said
// that they know it.
func (k *Keeper) meet(peer manager.GatewayID, start manager.StartID) {
	known, ok := k.starts[peer]
	if ok && known.start == start {
		return
	}
	for _, p := range k.greet {
		if p == peer {
			return
		}
	}
	k.greet = append(k.greet, peer)
}

// promisedTo returns what a peer that may not vote yet must not vote against: the support that this
// gateway relies on, also of an earlier start of the peer, and that which it gave itself.
func (k *Keeper) promisedTo(now manager.Time, peer manager.GatewayID) []manager.SlotPromise {
	if k.starts[peer].voting {
		return nil
	}
	list := k.voter.promised(now)
	for _, g := range k.shares.gateways {
		if s := k.shards[g]; s != nil && s.grants[peer] > now {
			list = append(list, manager.SlotPromise{
				Shard: g, Holder: k.Self, Start: k.Start, Number: k.number, ForMs: s.grants[peer].Sub(now),
			})
		}
	}
	return list
}
