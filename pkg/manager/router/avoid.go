package router

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// excludeAvoided removes the upstream that failed the previous attempt, unless there is no other.
func excludeAvoided(r manager.Request, candidates []manager.Candidate) []manager.Candidate {
	if r.Avoid == "" || len(candidates) < 2 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c manager.Candidate) bool { return c.Member.Upstream == r.Avoid })
}
