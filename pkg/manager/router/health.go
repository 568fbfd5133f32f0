package router

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// smoothing is the weight of a new outcome in the moving averages.
	smoothing = 0.2
	// minOutcomes is the number of outcomes that an upstream needs before it may be ejected.
	minOutcomes = 5
	// maxFailureRate is the failure rate above which an upstream is ejected.
	maxFailureRate = 0.5
	// slowFactor is the multiple of the service's median time above which an upstream is slow. It is more
	// than a noisy neighbor causes, and less than callers would notice on every third request.
	slowFactor = 4.0
	// minSlowTime is the time in milliseconds up to which no upstream is considered slow.
	minSlowTime = 20.0
	// maxEjectedShare is the share of a service's upstreams that may be ejected at the same time: a whole
	// zone of three, but never most of the upstreams.
	maxEjectedShare = 0.4
	// panicThreshold is the share of unhealthy upstreams above which none is ejected: the cause is then
	// common to all, and the others would collapse under the load of the ejected ones.
	panicThreshold = 0.5
	// baseEjectionTime is the duration of the first ejection. Each consecutive ejection doubles it.
	baseEjectionTime = 1 * manager.Second
	// maxEjectionTime limits the duration of an ejection, so that a recovered upstream is used again soon.
	maxEjectionTime = 30 * manager.Second
	// probesNeeded is the number of consecutive probes, sent one at a time, that must succeed to end an
	// ejection.
	probesNeeded = 3
	// backoffResetOutcomes is the number of outcomes without ejection after which the ejection time is
	// reset to baseEjectionTime.
	backoffResetOutcomes = 100
	// timeRetention is how long a measured time is used without a new outcome. Afterwards the service's
	// median is used, so that a slow measurement does not keep an upstream from being tried again.
	timeRetention = 5 * manager.Second
	// upstreamRetention is how long the health of an upstream without new outcomes is kept.
	upstreamRetention = 5 * manager.Minute
)

// health tracks the health of the upstreams by the outcomes at this gateway (passive health checking).
type health struct {
	services    map[manager.ServiceID]*serviceHealth
	nextCleanup manager.Time
}

// service returns the health of a service's upstreams, or nil if nothing is known.
func (h *health) service(s manager.ServiceID) *serviceHealth { return h.services[s] }

// eligible returns the candidates that may get a request. If a probe of an ejected candidate is due, it
// returns only that one.
func (h *health) eligible(now manager.Time, r manager.Request, candidates []manager.Candidate) []manager.Candidate {
	s := h.service(r.Service)
	if s == nil || s.ejected == 0 {
		return candidates
	}
	list := make([]manager.Candidate, 0, len(candidates))
	for _, c := range candidates {
		s.resetIfRestarted(now, c.Member)
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

func (h *health) recordDispatch(now manager.Time, m manager.Member) {
	s := h.service(m.Service)
	if s == nil {
		return
	}
	s.resetIfRestarted(now, m)
	if u := s.upstreams[m.Upstream]; u != nil && u.ejected() {
		u.probing = true
		u.probedAt = now
	}
}

// expectedTime returns the mean time of a request at m in milliseconds. Without a recent outcome, it
// returns the median of the service.
func (h *health) expectedTime(now manager.Time, m manager.Member) float64 {
	s := h.service(m.Service)
	if s == nil {
		return 1
	}
	if u := s.upstreams[m.Upstream]; u != nil && u.outcomes > 0 && now.Sub(u.lastOutcomeAt) <= timeRetention {
		return max(math.Round(u.meanTime), 1)
	}
	return max(math.Round(s.median), 1)
}

func (h *health) observe(now manager.Time, o manager.Outcome) {
	h.removeStale(now)
	if o.Cancelled {
		return
	}
	s := h.service(o.Service)
	if s == nil {
		s = &serviceHealth{upstreams: map[manager.UpstreamID]*upstreamHealth{}}
		h.services[o.Service] = s
	}
	s.observe(now, o)
}

// removeStale removes upstreams that have had no outcome for upstreamRetention.
func (h *health) removeStale(now manager.Time) {
	if h.services == nil {
		h.services = map[manager.ServiceID]*serviceHealth{}
	}
	if now < h.nextCleanup {
		return
	}
	h.nextCleanup = now.Add(upstreamRetention)
	for id, s := range h.services {
		s.removeStale(now)
		if len(s.upstreams) == 0 {
			delete(h.services, id)
		}
	}
}
