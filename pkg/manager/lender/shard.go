package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// attemptTime is how long an heir tries to win a majority before it steps back.
	attemptTime = 2 * manager.Second
	// stepBack is the pause after a failed attempt for each rank of the heir, so that two don't
	// split the votes again.
	stepBack = 1 * manager.Second
)

// forever is the horizon of a shard that no other gateway can win.
const forever = manager.Time(1 << 60)

// shard is the lease of one home gateway's slots that this gateway holds or tries to win.
type shard struct {
	home   manager.GatewayID
	grants map[manager.GatewayID]manager.Time
	// horizon is the time until which a majority supports this gateway.
	horizon manager.Time
	// dropped says that no request may start on the shard's slots any more.
	dropped bool
	// since is the start of the attempt to win it; supports asked for before it were released.
	since manager.Time
	// pauseUntil holds back the next attempt.
	pauseUntil manager.Time
}

func newShard(home manager.GatewayID) *shard {
	return &shard{home: home, grants: map[manager.GatewayID]manager.Time{}}
}

// grant takes a gateway's support; it only ever extends the horizon.
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
	s.horizon = max(s.horizon, times[len(times)-majority])
}

// review takes up the shards of lost gateways and drops those whose home came back.
func (k *Keeper) review(now manager.Time) {
	for _, home := range k.shares.gateways {
		if home == k.Self {
			continue
		}
		held := k.shards[home]
		switch {
		case held == nil && k.heirOf(home):
			s := newShard(home)
			s.since = now
			k.shards[home] = s
		case held != nil:
			k.reviewHeld(now, held)
		}
	}
	k.vote(now)
}

func (k *Keeper) reviewHeld(now manager.Time, s *shard) {
	if _, back := k.returned[s.home]; back {
		s.dropped = true
	}
	tried := s.horizon <= now && now.Sub(s.since) > attemptTime
	if tried && !s.dropped {
		next := newShard(s.home)
		next.pauseUntil = now.Add(stepBack * manager.Duration(1+k.shares.rank(string(s.home), k.Self)))
		next.since = next.pauseUntil
		k.shards[s.home] = next
		return
	}
	if s.dropped && s.horizon <= now {
		delete(k.shards, s.home)
		delete(k.returned, s.home)
	}
}

// heirOf tells whether this gateway is the first to take up a shard, as far as it knows.
func (k *Keeper) heirOf(home manager.GatewayID) bool {
	if !k.failed[home] || k.stopping || !k.contested() {
		return false
	}
	for _, g := range k.shares.order(string(home)) {
		if g == home || k.failed[g] {
			continue
		}
		return g == k.Self
	}
	return false
}

// vote counts this gateway's own support, which needs no message.
func (k *Keeper) vote(now manager.Time) {
	k.number++
	hold := k.holdMs(now)
	r := manager.SlotRequest{
		From: k.Self, Start: k.Start, Number: k.number, Shards: k.asked(now), HoldMs: hold, Release: k.releases(now),
	}
	for _, s := range k.voter.vote(now, r) {
		k.shards[s].grant(k.Self, now.Add(hold), k.majority())
	}
}

// asked returns the shards to lease or renew, ordered by home.
func (k *Keeper) asked(now manager.Time) []manager.GatewayID {
	var list []manager.GatewayID
	for _, g := range k.shares.gateways {
		s := k.shards[g]
		if s == nil || now < s.pauseUntil {
			continue
		}
		// A dropped shard is renewed while one of its requests still runs.
		if !s.dropped || s.horizon > now && !k.book.idle(now, g) {
			list = append(list, g)
		}
	}
	return list
}

// releases returns the shards that are given up with nothing in use or lent, ordered by home.
func (k *Keeper) releases(now manager.Time) []manager.GatewayID {
	var list []manager.GatewayID
	for _, g := range k.shares.gateways {
		s := k.shards[g]
		if s == nil {
			continue
		}
		pausing := s.horizon <= now && now < s.pauseUntil
		if pausing || s.dropped && k.book.idle(now, g) {
			list = append(list, g)
		}
	}
	return list
}

// urgent tells whether a lease is missing that a round with every peer may bring.
func (k *Keeper) urgent(now manager.Time) bool {
	if !k.contested() || k.stopping {
		return false
	}
	needed := now.Add(k.hold.longest(now))
	for _, g := range k.asked(now) {
		if k.shards[g].horizon < needed {
			return true
		}
	}
	return false
}

// holdTracker remembers the longest deadline of the last one to two windows.
type holdTracker struct {
	window   manager.Time
	current  manager.Duration
	previous manager.Duration
}

func (h *holdTracker) see(now manager.Time, d manager.Duration) {
	h.roll(now)
	h.current = max(h.current, d)
}

func (h *holdTracker) roll(now manager.Time) {
	if now.Sub(h.window) < holdWindow {
		return
	}
	h.previous = h.current
	if now.Sub(h.window) >= 2*holdWindow {
		h.previous = 0
	}
	h.current = 0
	h.window = now
}

func (h *holdTracker) longest(now manager.Time) manager.Duration {
	h.roll(now)
	return max(h.current, h.previous)
}
