package router

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// upstreamHealth is what is known of one upstream.
type upstreamHealth struct {
	// incarnation is the start that the rest is known of.
	incarnation manager.Incarnation
	failing     float64
	time        float64
	outcomes    int
	seen        manager.Time
	// ejectedUntil is when probing may begin; it is 0 if the upstream is not ejected.
	ejectedUntil manager.Time
	ejections    int
	probing      bool
	probedAt     manager.Time
	probes       int
}

func (u *upstreamHealth) ejected() bool { return u.ejectedUntil > 0 }

// probeDue tells whether a request may probe an ejected upstream. One that must not run twice does
// so only if no other came for long.
func (u *upstreamHealth) probeDue(now manager.Time, idempotent bool) bool {
	if u.probing && now.Sub(u.probedAt) < maxEjection {
		return false
	}
	if !idempotent {
		return now >= u.ejectedUntil.Add(maxEjection)
	}
	return now >= u.ejectedUntil
}

func (u *upstreamHealth) pause() manager.Duration {
	pause := firstEjection
	for range u.ejections {
		pause = min(2*pause, maxEjection)
	}
	return pause
}

// learn takes an outcome into the averages.
func (u *upstreamHealth) learn(now manager.Time, o manager.Outcome) {
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	weight := max(smoothing, 1/float64(u.outcomes+1))
	u.failing += weight * (failed - u.failing)
	if !o.Failed || o.RunState == manager.RunStateUnknown {
		u.time += weight * (float64(o.DurationMs) - u.time)
	}
	u.outcomes++
	u.seen = now
	if !u.ejected() && u.outcomes > settledOutcomes {
		u.ejections = 0
	}
}

// serviceHealth is what is known of the upstreams of one service.
type serviceHealth struct {
	upstreams map[manager.UpstreamID]*upstreamHealth
	ejected   int
	// median is the median of the upstreams' times in milliseconds.
	median float64
}

// renew forgets what is known of an earlier start of an upstream.
func (s *serviceHealth) renew(now manager.Time, m manager.Member) {
	u := s.upstreams[m.Upstream]
	if u == nil || u.incarnation == m.Incarnation {
		return
	}
	if u.ejected() {
		s.ejected--
	}
	s.upstreams[m.Upstream] = &upstreamHealth{incarnation: m.Incarnation, seen: now}
}

func (s *serviceHealth) observe(now manager.Time, o manager.Outcome) {
	u := s.upstreams[o.Upstream]
	if u == nil {
		u = &upstreamHealth{}
		s.upstreams[o.Upstream] = u
	}
	u.learn(now, o)
	s.median = s.findMedian()
	if u.ejected() {
		s.probed(now, u, o)
		return
	}
	if s.bad(u) {
		s.eject(now, u)
	}
}

// probed takes the outcome of a probe; others are of requests from before the ejection.
func (s *serviceHealth) probed(now manager.Time, u *upstreamHealth, o manager.Outcome) {
	if !u.probing {
		return
	}
	u.probing = false
	if o.Failed || s.slow(float64(o.DurationMs)) {
		u.probes = 0
		u.ejectedUntil = now.Add(u.pause())
		u.ejections++
		return
	}
	u.probes++
	if u.probes < probesNeeded {
		return
	}
	s.ejected--
	*u = upstreamHealth{time: float64(o.DurationMs), outcomes: 1, seen: now, ejections: u.ejections, incarnation: u.incarnation}
}

func (s *serviceHealth) bad(u *upstreamHealth) bool {
	if u.outcomes < minOutcomes {
		return false
	}
	return u.failing > maxFailing || s.slow(u.time)
}

func (s *serviceHealth) slow(time float64) bool {
	return s.median > 0 && time > max(maxSlower*s.median, minSlowTime)
}

// eject takes an upstream out of use, unless too many of its service would be.
func (s *serviceHealth) eject(now manager.Time, u *upstreamHealth) {
	total := float64(len(s.upstreams))
	if float64(s.countBad()) > panicShare*total {
		s.restore()
		return
	}
	if float64(s.ejected+1) > maxEjected*total {
		return
	}
	u.ejectedUntil = now.Add(u.pause())
	u.ejections++
	u.probing = false
	u.probes = 0
	s.ejected++
}

func (s *serviceHealth) countBad() int {
	n := 0
	for _, u := range s.upstreams {
		if u.ejected() || s.bad(u) {
			n++
		}
	}
	return n
}

// restore ends all ejections.
func (s *serviceHealth) restore() {
	for _, u := range s.upstreams {
		u.ejectedUntil = 0
		u.probing = false
	}
	s.ejected = 0
}

func (s *serviceHealth) findMedian() float64 {
	times := make([]float64, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if u.time > 0 && !u.ejected() {
			times = append(times, u.time)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (s *serviceHealth) sweep(now manager.Time) {
	for id, u := range s.upstreams {
		if now.Sub(u.seen) <= forgetAfter {
			continue
		}
		if u.ejected() {
			s.ejected--
		}
		delete(s.upstreams, id)
	}
}
