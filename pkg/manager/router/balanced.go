package router

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultZoneCost is the cost of the round trip to another availability zone, in milliseconds. A larger
// cost loads the upstreams of the gateway's own zone unevenly.
const DefaultZoneCost = 3 * manager.Millisecond

// Balanced is a Router that picks the better of two random candidates by expected response time (power
// of two choices). It prefers the gateway's own availability zone unless that is busier, and ejects
// upstreams that fail or are slow.
type Balanced struct {
	// Source is the random source. Its seed makes the choices reproducible.
	Source *rand.Rand
	// AvailabilityZone is the zone of this gateway.
	AvailabilityZone manager.AvailabilityZone
	// ZoneCost is the cost of another zone, in milliseconds. The default is DefaultZoneCost.
	ZoneCost manager.Duration

	health health
}

var _ manager.Router = (*Balanced)(nil)

// Pick returns the better of two random candidates that are not ejected, or an ejected candidate that is
// due for a probe.
func (b *Balanced) Pick(now manager.Time, r manager.Request, candidates []manager.Candidate) (manager.UpstreamID, bool) {
	allowed := b.health.eligible(now, r, excludeAvoided(r, candidates))
	if len(allowed) == 0 {
		return "", false
	}
	first := b.Source.IntN(len(allowed))
	if len(allowed) == 1 {
		return b.choose(now, allowed[first])
	}
	second := b.Source.IntN(len(allowed) - 1)
	if second >= first {
		second++
	}
	if b.cost(now, allowed[second]) < b.cost(now, allowed[first]) {
		first = second
	}
	return b.choose(now, allowed[first])
}

func (b *Balanced) choose(now manager.Time, c manager.Candidate) (manager.UpstreamID, bool) {
	b.health.recordDispatch(now, c.Member)
	return c.Member.Upstream, true
}

// cost returns the expected time of a request at a candidate, which grows with the candidate's load.
func (b *Balanced) cost(now manager.Time, c manager.Candidate) float64 {
	load := float64(max(c.InUse, c.Member.InFlight)) / float64(max(c.Member.Slots, 1))
	cost := b.health.expectedTime(now, c.Member) * (1 + load)
	if c.Member.AvailabilityZone != b.AvailabilityZone {
		zoneCost := b.ZoneCost
		if zoneCost == 0 {
			zoneCost = DefaultZoneCost
		}
		cost += float64(zoneCost)
	}
	return cost
}

// Observe records the outcome of an attempt.
func (b *Balanced) Observe(now manager.Time, o manager.Outcome) { b.health.observe(now, o) }
