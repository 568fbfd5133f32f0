package router

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// avoid leaves out the upstream that failed the attempt before, unless there is no other.
func avoid(r manager.Request, candidates []manager.Candidate) []manager.Candidate {
	if r.Avoid == "" || len(candidates) < 2 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c manager.Candidate) bool { return c.Member.Upstream == r.Avoid })
}
