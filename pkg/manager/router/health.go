package router

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// smoothing is the weight of a new outcome in the averages.
	smoothing = 0.2
	// minOutcomes is how many outcomes an upstream needs before it may be ejected.
	minOutcomes = 5
	// maxFailing is the share of failures above which an upstream is ejected.
	maxFailing = 0.5
	// maxSlower is how many times the service's median time an upstream may take; more than a busy
	// neighbour causes, less than a caller notices on each third request.
	maxSlower = 4.0
	// minSlowTime is the time in milliseconds below which no upstream counts as slow.
	minSlowTime = 20.0
	// maxEjected is the share of a service's upstreams that may be ejected at once: a whole zone of
	// three, but never most of the pool.
	maxEjected = 0.4
	// panicShare is the share of bad upstreams above which none is ejected: the cause is shared, and
	// the rest would collapse under the load of the ejected ones.
	panicShare = 0.5
	// firstEjection is how long the first ejection lasts; each further one in a row doubles it.
	firstEjection = 1 * manager.Second
	// maxEjection bounds an ejection, so that a mended upstream is soon back.
	maxEjection = 30 * manager.Second
	// probesNeeded is how many requests in a row, one at a time, must succeed after an ejection.
	probesNeeded = 3
	// settledOutcomes is after how many outcomes in use the next ejection is short again.
	settledOutcomes = 100
	// timeAge is how long a learned time keeps an upstream from being tried again; after it, the
	// service's median counts.
	timeAge = 5 * manager.Second
	// forgetAfter is how long an upstream without outcome is remembered.
	forgetAfter = 5 * manager.Minute
)

// health keeps the health of each upstream from the outcomes at this gateway.
type health struct {
	services map[manager.ServiceID]*serviceHealth
	sweepAt  manager.Time
}

// of returns what is known of a service, or nil.
func (h *health) of(s manager.ServiceID) *serviceHealth { return h.services[s] }

// allowed returns the candidates that may get a request; an ejected one gets one probe at a time.
func (h *health) allowed(now manager.Time, r manager.Request, candidates []manager.Candidate) []manager.Candidate {
	s := h.of(r.Service)
	if s == nil || s.ejected == 0 {
		return candidates
	}
	list := make([]manager.Candidate, 0, len(candidates))
	for _, c := range candidates {
		s.renew(now, c.Member)
		u := s.upstreams[c.Member.Upstream]
		if u == nil || !u.ejected() {
			list = append(list, c)
			continue
		}
		if u.probeDue(now, r.Idempotent) {
			return []manager.Candidate{c}
		}
	}
	return list
}

func (h *health) started(now manager.Time, m manager.Member) {
	s := h.of(m.Service)
	if s == nil {
		return
	}
	s.renew(now, m)
	if u := s.upstreams[m.Upstream]; u != nil && u.ejected() {
		u.probing = true
		u.probedAt = now
	}
}

// time returns the learned time of a request at m in milliseconds, or that of its service's median.
func (h *health) time(now manager.Time, m manager.Member) float64 {
	s := h.of(m.Service)
	if s == nil {
		return 1
	}
	if u := s.upstreams[m.Upstream]; u != nil && u.outcomes > 0 && now.Sub(u.seen) <= timeAge {
		return max(math.Round(u.time), 1)
	}
	return max(math.Round(s.median), 1)
}

func (h *health) observe(now manager.Time, o manager.Outcome) {
	h.sweep(now)
	if o.Cancelled {
		return
	}
	s := h.of(o.Service)
	if s == nil {
		s = &serviceHealth{upstreams: map[manager.UpstreamID]*upstreamHealth{}}
		h.services[o.Service] = s
	}
	s.observe(now, o)
}

// sweep forgets upstreams that are gone.
func (h *health) sweep(now manager.Time) {
	if h.services == nil {
		h.services = map[manager.ServiceID]*serviceHealth{}
	}
	if now < h.sweepAt {
		return
	}
	h.sweepAt = now.Add(forgetAfter)
	for id, s := range h.services {
		s.sweep(now)
		if len(s.upstreams) == 0 {
			delete(h.services, id)
		}
	}
}
