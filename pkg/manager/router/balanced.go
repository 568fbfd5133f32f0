package router

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultZoneCost is what a hop to another availability zone counts, in milliseconds there and back;
// a larger one loads the local upstreams unevenly.
const DefaultZoneCost = 3 * manager.Millisecond

// Balanced takes the better of two random candidates by expected time, prefers the own availability
// zone where that is not busier, and leaves out upstreams that fail or slow what they get.
type Balanced struct {
	// Source is the random source; its seed makes the choices repeatable.
	Source *rand.Rand
	// AvailabilityZone is where this gateway runs.
	AvailabilityZone manager.AvailabilityZone
	// ZoneCost is what another zone adds to a request's time, in milliseconds.
	ZoneCost manager.Duration

	health health
}

var _ manager.Router = (*Balanced)(nil)

// Pick returns the better of two random candidates that are in use.
func (b *Balanced) Pick(now manager.Time, r manager.Request, candidates []manager.Candidate) (manager.UpstreamID, bool) {
	allowed := b.health.allowed(now, r, avoid(r, candidates))
	if len(allowed) == 0 {
		return "", false
	}
	first := b.Source.IntN(len(allowed))
	if len(allowed) == 1 {
		return b.chosen(now, allowed[first])
	}
	second := b.Source.IntN(len(allowed) - 1)
	if second >= first {
		second++
	}
	if b.cost(now, allowed[second]) < b.cost(now, allowed[first]) {
		first = second
	}
	return b.chosen(now, allowed[first])
}

func (b *Balanced) chosen(now manager.Time, c manager.Candidate) (manager.UpstreamID, bool) {
	b.health.started(now, c.Member)
	return c.Member.Upstream, true
}

// cost is the expected time of a request at a candidate, longer the fuller it is.
func (b *Balanced) cost(now manager.Time, c manager.Candidate) float64 {
	load := float64(max(c.InUse, c.Member.InFlight)) / float64(max(c.Member.Slots, 1))
	cost := b.health.time(now, c.Member) * (1 + load)
	if c.Member.AvailabilityZone != b.AvailabilityZone {
		zoneCost := b.ZoneCost
		if zoneCost == 0 {
			zoneCost = DefaultZoneCost
		}
		cost += float64(zoneCost)
	}
	return cost
}

// Observe takes the outcome of an attempt.
func (b *Balanced) Observe(now manager.Time, o manager.Outcome) { b.health.observe(now, o) }
