package lender

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// promise is the support of one holder for one shard.
type promise struct {
	holder manager.Address
	start  manager.StartID
	// number is the request that renewed the promise last.
	number uint64
	until  manager.Time
}

// voter supports at most one holder of each shard at a time. It keeps nothing on disk: after a start
// it abstains until every gateway has said what it still relies on, or until no promise can be left.
type voter struct {
	gateways []manager.Address
	maxHold  manager.Duration
	started  manager.Time
	promises map[manager.Address]promise
	// relied is, by gateway, the time until which it relies on a promise made before the start.
	relied map[manager.Address]manager.Time
	voting bool
}

// hear takes what a gateway relies on.
func (v *voter) hear(now manager.Time, from manager.Address, kept manager.Duration) {
	if v.voting {
		return
	}
	v.relied[from] = max(v.relied[from], now.Add(max(kept, 0)))
}

// ready tells whether the voter may vote.
func (v *voter) ready(now manager.Time) bool {
	if v.voting {
		return true
	}
	v.voting = now.Sub(v.started) >= v.maxHold || v.allHeard(now)
	return v.voting
}

func (v *voter) allHeard(now manager.Time) bool {
	for _, g := range v.gateways {
		if until, ok := v.relied[g]; !ok || until > now {
			return false
		}
	}
	return true
}

// vote returns the shards for which the asking holder is supported.
func (v *voter) vote(now manager.Time, r manager.SlotRequest) []manager.Address {
	for _, s := range r.Release {
		if p := v.promises[s]; p.holder == r.From && p.start == r.Start && p.number < r.Number {
			delete(v.promises, s)
		}
	}
	if !v.ready(now) {
		return nil
	}
	hold := min(r.HoldMs, v.maxHold)
	var granted []manager.Address
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
