package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// attemptTimeout is how long a successor tries to win a majority before it backs off.
	attemptTimeout = 2 * manager.Second
	// attemptBackoff is the pause after a failed attempt, multiplied by the successor's rank from 1, so
	// that two successors don't split the votes again.
	attemptBackoff = 1 * manager.Second
)

// noExpiry is the expiry of a lease that no other gateway can win.
const noExpiry = manager.Time(1 << 60)

// shard is the lease on one home gateway's slots that this gateway holds or tries to win.
type shard struct {
	home manager.GatewayID
	// grants contains the expiry of each gateway's vote.
	grants map[manager.GatewayID]manager.Time
	// expiresAt is the time until which a majority has granted the lease.
	expiresAt manager.Time
	// draining is true if no new request may start on the shard's slots.
	draining bool
	// attemptStart is the start of the attempt to win the lease. Votes requested before it were
	// released and don't count.
	attemptStart manager.Time
	// retryAt is the earliest time of the next attempt.
	retryAt manager.Time
}

func newShard(home manager.GatewayID) *shard {
	return &shard{home: home, grants: map[manager.GatewayID]manager.Time{}}
}

// grant records a gateway's vote. It never shortens the lease.
func (s *shard) grant(from manager.GatewayID, until manager.Time, majority int) {
	s.grants[from] = max(s.grants[from], until)
	if len(s.grants) < majority {
		return
	}
	times := make([]manager.Time, 0, len(s.grants))
	for _, t := range s.grants {
		times = append(times, t)
	}
	slices.Sort(times)
	s.expiresAt = max(s.expiresAt, times[len(times)-majority])
}

// updateShards tries to lease the shards of lost gateways and drains those whose home is back.
func (l *Leaser) updateShards(now manager.Time) {
	for _, home := range l.shares.gateways {
		if home == l.Self {
			continue
		}
		held := l.shards[home]
		switch {
		case held == nil && l.isSuccessor(home):
			s := newShard(home)
			s.attemptStart = now
			l.shards[home] = s
		case held != nil:
			l.updateHeldShard(now, held)
		}
	}
	l.voteForSelf(now)
}

func (l *Leaser) updateHeldShard(now manager.Time, s *shard) {
	if _, back := l.recoveredAt[s.home]; back {
		s.draining = true
	}
	timedOut := s.expiresAt <= now && now.Sub(s.attemptStart) > attemptTimeout
	if timedOut && !s.draining {
		next := newShard(s.home)
		next.retryAt = now.Add(attemptBackoff * manager.Duration(1+l.shares.rank(string(s.home), l.Self)))
		next.attemptStart = next.retryAt
		l.shards[s.home] = next
		return
	}
	if s.draining && s.expiresAt <= now {
		delete(l.shards, s.home)
		delete(l.recoveredAt, s.home)
	}
}

// isSuccessor reports whether this gateway is the highest-ranked gateway that it considers reachable
// and should therefore take over the shard of an unreachable home.
func (l *Leaser) isSuccessor(home manager.GatewayID) bool {
	if !l.unreachable[home] || l.stopping || !l.needsQuorum() {
		return false
	}
	for _, g := range l.shares.ranking(string(home)) {
		if g == home || l.unreachable[g] {
			continue
		}
		return g == l.Self
	}
	return false
}

// voteForSelf counts this gateway's own votes, which need no message.
func (l *Leaser) voteForSelf(now manager.Time) {
	l.lastNumber++
	hold := l.leaseDuration(now)
	r := manager.SlotRequest{
		From: l.Self, Start: l.Start, Number: l.lastNumber, Shards: l.requestedShards(now), HoldMs: hold, Release: l.releasedShards(now),
	}
	for _, s := range l.voter.vote(now, r) {
		l.shards[s].grant(l.Self, now.Add(hold), l.majority())
	}
}

// requestedShards returns the shards to lease or renew, ordered by home.
func (l *Leaser) requestedShards(now manager.Time) []manager.GatewayID {
	var list []manager.GatewayID
	for _, g := range l.shares.gateways {
		s := l.shards[g]
		if s == nil || now < s.retryAt {
			continue
		}
		// The lease of a draining shard is renewed while any of its slots is in use or lent.
		if !s.draining || s.expiresAt > now && !l.usage.idle(now, g) {
			list = append(list, g)
		}
	}
	return list
}

// releasedShards returns the shards whose votes can be released, as this gateway has given them up and
// none of their slots is in use or lent, ordered by home.
func (l *Leaser) releasedShards(now manager.Time) []manager.GatewayID {
	var list []manager.GatewayID
	for _, g := range l.shares.gateways {
		s := l.shards[g]
		if s == nil {
			continue
		}
		backingOff := s.expiresAt <= now && now < s.retryAt
		if backingOff || s.draining && l.usage.idle(now, g) {
			list = append(list, g)
		}
	}
	return list
}

// needsBroadcast reports whether a lease is missing or too short, so that all peers should be asked at
// once.
func (l *Leaser) needsBroadcast(now manager.Time) bool {
	if !l.needsQuorum() || l.stopping {
		return false
	}
	needed := now.Add(l.hold.longest(now))
	for _, g := range l.requestedShards(now) {
		if l.shards[g].expiresAt < needed {
			return true
		}
	}
	return false
}

// holdTracker tracks the longest time that slots were needed for within the last one to two windows.
type holdTracker struct {
	windowStart manager.Time
	current     manager.Duration
	previous    manager.Duration
}

func (h *holdTracker) record(now manager.Time, d manager.Duration) {
	h.rotate(now)
	h.current = max(h.current, d)
}

func (h *holdTracker) rotate(now manager.Time) {
	if now.Sub(h.windowStart) < holdWindow {
		return
	}
	h.previous = h.current
	if now.Sub(h.windowStart) >= 2*holdWindow {
		h.previous = 0
	}
	h.current = 0
	h.windowStart = now
}

func (h *holdTracker) longest(now manager.Time) manager.Duration {
	h.rotate(now)
	return max(h.current, h.previous)
}
