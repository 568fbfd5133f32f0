package lender

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// peerStart is the latest start of a peer that an answer has confirmed.
type peerStart struct {
	start     manager.StartID
	learnedAt manager.Time
	// voting is true once this start may vote; it never loses that right.
	voting bool
}

func (s peerStart) withVoting(voting bool) peerStart {
	s.voting = s.voting || voting
	return s
}

// learnStart records the start from which a peer answered a request sent at the given time, and reports
// whether the answer may be used. An answer from another start than the known one counts only if the
// request was sent after the known start was learned; otherwise it may come from an earlier start.
func (l *Leaser) learnStart(now, sent manager.Time, peer manager.GatewayID, start manager.StartID) bool {
	known, ok := l.starts[peer]
	if ok && known.start == start {
		return true
	}
	if ok && sent < known.learnedAt {
		return false
	}
	l.starts[peer] = peerStart{start: start, learnedAt: now}
	return true
}

// planHandshake schedules an exchange with a peer whose start is unknown. Such a peer may vote only
// after all gateways have confirmed that they know its start.
func (l *Leaser) planHandshake(peer manager.GatewayID, start manager.StartID) {
	known, ok := l.starts[peer]
	if ok && known.start == start {
		return
	}
	for _, p := range l.handshakes {
		if p == peer {
			return
		}
	}
	l.handshakes = append(l.handshakes, peer)
}

// promisesFor returns the promises that a peer that may not vote yet must not contradict: the votes that
// this gateway granted, and those that it relies on, including votes of an earlier start of the peer.
func (l *Leaser) promisesFor(now manager.Time, peer manager.GatewayID) []manager.SlotPromise {
	if l.starts[peer].voting {
		return nil
	}
	list := l.voter.activePromises(now)
	for _, g := range l.shares.gateways {
		if s := l.shards[g]; s != nil && s.grants[peer] > now {
			list = append(list, manager.SlotPromise{
				Shard: g, Holder: l.Self, Start: l.Start, Number: l.lastNumber, ForMs: s.grants[peer].Sub(now),
			})
		}
	}
	return list
}
