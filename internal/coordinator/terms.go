package coordinator

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// HeaderTerm names the leader's term in an answer to another node's call.
	HeaderTerm = "Leader-Term"
	// shownTermAge is how long after its last answer a term keeps answers of lower ones out. Leaders that do not know that
	// they were replaced stop within an election timeout, and attempts end after 4 s. A group that was bootstrapped
	// again starts with low terms, so that no term may be kept for good.
	shownTermAge = 10 * manager.Second
)

// shownTerm is the highest term of a leader whose answer a node has passed on.
type shownTerm struct {
	mu   sync.Mutex
	term manager.Term
	at   manager.Time
}

// accept reports whether an answer of a leader's term may be passed on: after that of a later leader it could show an older
// configuration. Term 0 is that of a leader of a version that does not name it.
func (s *shownTerm) accept(now manager.Time, t manager.Term) bool {
	if t == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t < s.term && now.Sub(s.at) < shownTermAge {
		return false
	}
	s.term, s.at = t, now
	return true
}

// readTerm returns the term that an answer names, or 0.
func readTerm(h http.Header) manager.Term {
	t, err := strconv.ParseUint(h.Get(HeaderTerm), 10, 64)
	if err != nil {
		return 0
	}
	return manager.Term(t)
}

func writeTerm(h http.Header, t manager.Term) {
	if t > 0 {
		h.Set(HeaderTerm, strconv.FormatUint(uint64(t), 10))
	}
}

// CallInTerm answers a call and returns the term in which it was answered.
func (l *Leader) CallInTerm(ctx context.Context, c manager.FleetCall) (manager.FleetReply, manager.Term, error) {
	term, ok := l.leadership()
	if !ok {
		return manager.FleetReply{}, 0, manager.ErrNotLeader{}
	}
	reply, err := l.Call(ctx, c)
	if now, ok := l.leadership(); ok && now != term {
		// The call may have been answered in either term.
		return manager.FleetReply{}, 0, manager.ErrOutcomeUnknown{}
	}
	return reply, term, err
}
