package applier

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

const (
	// ClaimWindow is how long a claim is kept, counted from the time in its id; a resend after it is
	// refused as expired.
	ClaimWindow = 5 * manager.Minute
	// MaxClaimAhead limits how far the time in an id may be ahead of the state's time; without it such
	// claims would be kept longer.
	MaxClaimAhead = 1 * manager.Minute
	// MaxClaims limits the claims kept; if more are made within one window, new ones are refused.
	MaxClaims = 100_000
	// MaxUntimedClaims limits the ids without a time, which must be remembered forever; beyond it new ones
	// are refused.
	MaxUntimedClaims = 250_000
	// MaxAnswerBytes limits the body of a recorded answer; a resend of a request with a larger answer gets
	// the outcome unknown.
	MaxAnswerBytes = 64 * 1024
	// MaxAnswersBytes limits all recorded answers together; the oldest are dropped first, and a resend of
	// their requests gets the outcome unknown.
	MaxAnswersBytes = 8 << 20
)

func (s *State) applyClaim(c manager.Command) manager.Result {
	s.claims.expire(s.now)
	switch {
	case c.MakeClaim != nil:
		result := s.makeClaim(*c.MakeClaim)
		return manager.Result{Revision: s.revision, Claim: &result}
	case c.RecordAnswer != nil:
		return s.recordAnswer(*c.RecordAnswer)
	default:
		return s.applyClaimBatch(*c.ClaimBatch)
	}
}

// applyClaimBatch records the answers first, so that a claim which an answer releases can be made again.
func (s *State) applyClaimBatch(b manager.ClaimBatch) manager.Result {
	if len(b.Claims)+len(b.Answers) > manager.MaxBatch {
		return s.fail(*invalid("ClaimBatch", "has too many claims and answers"))
	}
	result := manager.Result{Revision: s.revision, Claims: make([]manager.ClaimResult, 0, len(b.Claims))}
	for _, a := range b.Answers {
		// An answer that comes too late has no effect, and nothing waits for its result.
		s.recordAnswer(a)
	}
	for _, c := range b.Claims {
		result.Claims = append(result.Claims, s.makeClaim(c))
	}
	return result
}

func (s *State) makeClaim(c manager.MakeClaim) manager.ClaimResult {
	if old, ok := s.claims.index[c.Request]; ok {
		return repeatedClaimResult(old, c)
	}
	made, timed := claimer.MadeAt(c.Request)
	if !timed {
		made = s.now
	}
	switch {
	case s.now.Sub(made) > ClaimWindow || !timed && s.claims.isExpired(c.Request):
		return manager.ClaimResult{State: manager.ClaimExpired}
	case made.Sub(s.now) > MaxClaimAhead:
		return manager.ClaimResult{State: manager.ClaimAhead}
	case !timed && s.claims.untimed+len(s.claims.expiredIDs) >= MaxUntimedClaims:
		return manager.ClaimResult{State: manager.ClaimUntimed}
	case len(s.claims.index) >= MaxClaims:
		return manager.ClaimResult{State: manager.ClaimFull}
	}
	s.claims.add(&claimRecord{
		Request: c.Request, Digest: c.Digest, Attempt: c.Attempt, Until: made.Add(ClaimWindow), Untimed: !timed,
	})
	return manager.ClaimResult{State: manager.ClaimGranted}
}

func repeatedClaimResult(old *claimRecord, c manager.MakeClaim) manager.ClaimResult {
	switch {
	case old.Digest != c.Digest:
		return manager.ClaimResult{State: manager.ClaimMismatch}
	case old.Answer != nil:
		return manager.ClaimResult{State: manager.ClaimAnswered, Answer: old.Answer}
	case old.Answered > 0:
		return manager.ClaimResult{State: manager.ClaimForgotten}
	case old.Attempt == c.Attempt:
		return manager.ClaimResult{State: manager.ClaimGranted}
	default:
		return manager.ClaimResult{State: manager.ClaimPending}
	}
}

func (s *State) recordAnswer(c manager.RecordAnswer) manager.Result {
	old, ok := s.claims.index[c.Request]
	if !ok || old.Attempt != c.Attempt || old.Answered > 0 {
		return s.fail(*conflict("claim", string(c.Request), "is not held by this attempt"))
	}
	if c.NotRun {
		s.claims.remove(old)
		return manager.Result{Revision: s.revision}
	}
	s.claims.storeAnswer(old, c.Answer)
	return manager.Result{Revision: s.revision}
}
