package router

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Random is a baseline Router that picks a random candidate and ignores the load.
type Random struct {
	// Source is the random source. Its seed makes the choices reproducible.
	Source *rand.Rand
}

var _ manager.Router = (*Random)(nil)

// Pick returns a random candidate.
func (r *Random) Pick(_ manager.Time, _ manager.Request, candidates []manager.Candidate) (manager.UpstreamID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[r.Source.IntN(len(candidates))].Member.Upstream, true
}

// Observe ignores the outcome.
func (r *Random) Observe(manager.Time, manager.Outcome) {}
