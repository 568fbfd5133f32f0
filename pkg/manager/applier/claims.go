package applier

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// ClaimWindow is how long a claim is kept; a resend after it is refused as expired.
	ClaimWindow = 10 * manager.Minute
	// MaxClaims bounds the claims kept; with more in one window, new ones are refused.
	MaxClaims = 200_000
	// MaxAnswerBytes bounds a recorded answer's body; a resend of a larger one gets unknown.
	MaxAnswerBytes = 64 * 1024
)

// claimRecord is a claim and the answer it led to.
type claimRecord struct {
	Request manager.RequestID
	Digest  manager.ClaimDigest
	Attempt string
	At      manager.Time
	Answer  *manager.RecordedAnswer
}

// claimTable keeps claims in the order in which they were made.
type claimTable struct {
	order []*claimRecord
	index map[manager.RequestID]*claimRecord
}

func newClaimTable() *claimTable {
	return &claimTable{index: map[manager.RequestID]*claimRecord{}}
}

// expire forgets the claims that were made before the window.
func (t *claimTable) expire(now manager.Time) {
	n := 0
	for n < len(t.order) && now.Sub(t.order[n].At) > ClaimWindow {
		t.remove(t.order[n])
		n++
	}
	t.order = t.order[n:]
}

func (t *claimTable) add(r *claimRecord) {
	t.order = append(t.order, r)
	t.index[r.Request] = r
}

// remove forgets a claim unless a newer one has its id.
func (t *claimTable) remove(r *claimRecord) {
	if t.index[r.Request] == r {
		delete(t.index, r.Request)
	}
}

func (s *State) applyClaim(c manager.Command) manager.Result {
	s.claims.expire(s.now)
	if c.MakeClaim != nil {
		result := s.makeClaim(*c.MakeClaim)
		return manager.Result{Revision: s.revision, Claim: &result}
	}
	return s.recordAnswer(*c.RecordAnswer)
}

func (s *State) makeClaim(c manager.MakeClaim) manager.ClaimResult {
	old, ok := s.claims.index[c.Request]
	if ok {
		return resendResult(old, c)
	}
	if s.now.Sub(c.MadeAt) > ClaimWindow {
		return manager.ClaimResult{State: manager.ClaimExpired}
	}
	if len(s.claims.index) >= MaxClaims {
		return manager.ClaimResult{State: manager.ClaimFull}
	}
	s.claims.add(&claimRecord{Request: c.Request, Digest: c.Digest, Attempt: c.Attempt, At: s.now})
	return manager.ClaimResult{State: manager.ClaimGranted}
}

func resendResult(old *claimRecord, c manager.MakeClaim) manager.ClaimResult {
	switch {
	case old.Digest != c.Digest:
		return manager.ClaimResult{State: manager.ClaimMismatch}
	case old.Answer != nil:
		return manager.ClaimResult{State: manager.ClaimAnswered, Answer: old.Answer}
	case old.Attempt == c.Attempt:
		return manager.ClaimResult{State: manager.ClaimGranted}
	default:
		return manager.ClaimResult{State: manager.ClaimPending}
	}
}

func (s *State) recordAnswer(c manager.RecordAnswer) manager.Result {
	old, ok := s.claims.index[c.Request]
	if !ok || old.Attempt != c.Attempt {
		return s.fail(*conflict("claim", string(c.Request), "is not held by this attempt"))
	}
	if c.NotRun {
		s.claims.remove(old)
		return manager.Result{Revision: s.revision}
	}
	old.Answer = c.Answer
	return manager.Result{Revision: s.revision}
}
