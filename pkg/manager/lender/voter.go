package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// promise is the support of one holder for one shard.
type promise struct {
	holder manager.GatewayID
	start  manager.StartID
	// number is the request that renewed the promise last.
	number uint64
	until  manager.Time
}

// voter supports at most one holder of each shard at a time. It keeps nothing on disk: after a start
// it abstains until every gateway has said what it still relies on, or until no promise can be left.
type voter struct {
	gateways []manager.GatewayID
	maxHold  manager.Duration
	started  manager.Time
	promises map[manager.GatewayID]promise
	// heard are the gateways that have said what they rely on.
	heard  map[manager.GatewayID]bool
	voting bool
}

// adopt takes the promises that a gateway knows of, its own reliance among them. Should two of one
// shard differ, nobody is supported until both have run out.
func (v *voter) adopt(now manager.Time, from manager.GatewayID, promises []manager.SlotPromise) {
	if v.voting {
		return
	}
	v.heard[from] = true
	for _, a := range promises {
		known := v.promises[a.Shard]
		until := max(known.until, now.Add(min(a.ForMs, v.maxHold)))
		if known.until > now && (known.holder != a.Holder || known.start != a.Start) {
			v.promises[a.Shard] = promise{until: until}
			continue
		}
		v.promises[a.Shard] = promise{holder: a.Holder, start: a.Start, number: max(known.number, a.Number), until: until}
	}
}

// promised returns the promises that still hold, ordered by shard.
func (v *voter) promised(now manager.Time) []manager.SlotPromise {
	var list []manager.SlotPromise
	for _, s := range v.gateways {
		if p := v.promises[s]; p.until > now {
			list = append(list, manager.SlotPromise{
				Shard: s, Holder: p.holder, Start: p.start, Number: p.number, ForMs: p.until.Sub(now),
			})
		}
	}
	return list
}

// ready tells whether the voter may vote.
func (v *voter) ready(now manager.Time) bool {
	if !v.voting {
		v.voting = now.Sub(v.started) >= v.maxHold || v.allHeard()
	}
	return v.voting
}

func (v *voter) allHeard() bool {
	for _, g := range v.gateways {
		if !v.heard[g] {
			return false
		}
	}
	return true
}

// vote returns the shards for which the asking holder is supported.
func (v *voter) vote(now manager.Time, r manager.SlotRequest) []manager.GatewayID {
	for _, s := range r.Release {
		if p := v.promises[s]; p.holder == r.From && p.start == r.Start && p.number < r.Number {
			delete(v.promises, s)
		}
	}
	if !v.ready(now) {
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
		v.promises[s] = promise{holder: r.From, start: r.Start, number: max(r.Number, numberOf(p, same)), until: until}
		granted = append(granted, s)
	}
	return granted
}

func numberOf(p promise, same bool) uint64 {
	if !same {
		return 0
	}
	return p.number
}
