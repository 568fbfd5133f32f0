package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// promise is a vote for one holder of one shard.
type promise struct {
	holder manager.GatewayID
	start  manager.StartID
	// lastNumber is the number of the latest request that renewed the promise.
	lastNumber uint64
	until      manager.Time
}

// voter votes for at most one holder of each shard at a time. It keeps no state on disk: after a start
// it abstains until every gateway has reported the votes that it still relies on, or until every
// earlier promise must have expired.
type voter struct {
	gateways []manager.GatewayID
	maxHold  manager.Duration
	started  manager.Time
	promises map[manager.GatewayID]promise
	// reported contains the gateways that have reported the votes that they rely on.
	reported map[manager.GatewayID]bool
	voting   bool
}

// mergePromises adds the promises that a gateway reported, including those that it relies on. If two
// promises for one shard differ, the voter votes for no holder until both have expired.
func (v *voter) mergePromises(now manager.Time, from manager.GatewayID, promises []manager.SlotPromise) {
	if v.voting {
		return
	}
	v.reported[from] = true
	for _, a := range promises {
		known := v.promises[a.Shard]
		until := max(known.until, now.Add(min(a.ForMs, v.maxHold)))
		if known.until > now && (known.holder != a.Holder || known.start != a.Start) {
			v.promises[a.Shard] = promise{until: until}
			continue
		}
		v.promises[a.Shard] = promise{holder: a.Holder, start: a.Start, lastNumber: max(known.lastNumber, a.Number), until: until}
	}
}

// activePromises returns the promises that have not expired, ordered by shard.
func (v *voter) activePromises(now manager.Time) []manager.SlotPromise {
	var list []manager.SlotPromise
	for _, s := range v.gateways {
		if p := v.promises[s]; p.until > now {
			list = append(list, manager.SlotPromise{
				Shard: s, Holder: p.holder, Start: p.start, Number: p.lastNumber, ForMs: p.until.Sub(now),
			})
		}
	}
	return list
}

// mayVote reports whether the voter may vote.
func (v *voter) mayVote(now manager.Time) bool {
	if !v.voting {
		v.voting = now.Sub(v.started) >= v.maxHold || v.allReported()
	}
	return v.voting
}

func (v *voter) allReported() bool {
	for _, g := range v.gateways {
		if !v.reported[g] {
			return false
		}
	}
	return true
}

// vote returns the shards for which the voter votes for the requesting holder.
func (v *voter) vote(now manager.Time, r manager.SlotRequest) []manager.GatewayID {
	for _, s := range r.Release {
		if p := v.promises[s]; p.holder == r.From && p.start == r.Start && p.lastNumber < r.Number {
			delete(v.promises, s)
		}
	}
	if !v.mayVote(now) {
		return nil
	}
	hold := min(r.HoldMs, v.maxHold)
	var granted []manager.GatewayID
	for _, s := range r.Shards {
		if !slices.Contains(v.gateways, s) || hold <= 0 {
			continue
		}
		p := v.promises[s]
		same := p.holder == r.From && p.start == r.Start
		if p.until > now && !same {
			continue
		}
		until := now.Add(hold)
		if same {
			until = max(until, p.until)
		}
		v.promises[s] = promise{holder: r.From, start: r.Start, lastNumber: max(r.Number, numberIfSame(p, same)), until: until}
		granted = append(granted, s)
	}
	return granted
}

func numberIfSame(p promise, same bool) uint64 {
	if !same {
		return 0
	}
	return p.lastNumber
}
