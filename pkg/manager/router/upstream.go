package router

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// upstreamHealth is the health of one upstream.
type upstreamHealth struct {
	// incarnation is the start of the upstream to which the other fields apply.
	incarnation   manager.Incarnation
	failureRate   float64
	meanTime      float64
	outcomes      int
	lastOutcomeAt manager.Time
	// ejectedUntil is the time from which the upstream may be probed, or 0 if it is not ejected.
	ejectedUntil     manager.Time
	ejections        int
	probing          bool
	probedAt         manager.Time
	successfulProbes int
}

func (u *upstreamHealth) ejected() bool { return u.ejectedUntil > 0 }

// probeDue reports whether a request may probe an ejected upstream. A request that must not run twice
// does so only if the probe is overdue by maxEjectionTime, as no idempotent request came.
func (u *upstreamHealth) probeDue(now manager.Time, idempotent bool) bool {
	if u.probing && now.Sub(u.probedAt) < maxEjectionTime {
		return false
	}
	if !idempotent {
		return now >= u.ejectedUntil.Add(maxEjectionTime)
	}
	return now >= u.ejectedUntil
}

func (u *upstreamHealth) ejectionTime() manager.Duration {
	duration := baseEjectionTime
	for range u.ejections {
		duration = min(2*duration, maxEjectionTime)
	}
	return duration
}

// update adds an outcome to the moving averages.
func (u *upstreamHealth) update(now manager.Time, o manager.Outcome) {
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	weight := max(smoothing, 1/float64(u.outcomes+1))
	u.failureRate += weight * (failed - u.failureRate)
	if !o.Failed || o.RunState == manager.RunStateUnknown {
		u.meanTime += weight * (float64(o.DurationMs) - u.meanTime)
	}
	u.outcomes++
	u.lastOutcomeAt = now
	if !u.ejected() && u.outcomes > backoffResetOutcomes {
		u.ejections = 0
	}
}

// serviceHealth is the health of the upstreams of one service.
type serviceHealth struct {
	upstreams map[manager.UpstreamID]*upstreamHealth
	ejected   int
	// median is the median of the upstreams' mean times in milliseconds.
	median float64
}

// resetIfRestarted resets the health of an upstream that has been restarted.
func (s *serviceHealth) resetIfRestarted(now manager.Time, m manager.Member) {
	u := s.upstreams[m.Upstream]
	if u == nil || u.incarnation == m.Incarnation {
		return
	}
	if u.ejected() {
		s.ejected--
	}
	s.upstreams[m.Upstream] = &upstreamHealth{incarnation: m.Incarnation, lastOutcomeAt: now}
}

func (s *serviceHealth) observe(now manager.Time, o manager.Outcome) {
	u := s.upstreams[o.Upstream]
	if u == nil {
		u = &upstreamHealth{}
		s.upstreams[o.Upstream] = u
	}
	u.update(now, o)
	s.median = s.medianTime()
	if u.ejected() {
		s.recordProbe(now, u, o)
		return
	}
	if s.unhealthy(u) {
		s.eject(now, u)
	}
}

// recordProbe records the outcome of a probe. Without a probe in flight, the outcome belongs to a request
// from before the ejection and is ignored.
func (s *serviceHealth) recordProbe(now manager.Time, u *upstreamHealth, o manager.Outcome) {
	if !u.probing {
		return
	}
	u.probing = false
	if o.Failed || s.slow(float64(o.DurationMs)) {
		u.successfulProbes = 0
		u.ejectedUntil = now.Add(u.ejectionTime())
		u.ejections++
		return
	}
	u.successfulProbes++
	if u.successfulProbes < probesNeeded {
		return
	}
	s.ejected--
	*u = upstreamHealth{meanTime: float64(o.DurationMs), outcomes: 1, lastOutcomeAt: now, ejections: u.ejections, incarnation: u.incarnation}
}

func (s *serviceHealth) unhealthy(u *upstreamHealth) bool {
	if u.outcomes < minOutcomes {
		return false
	}
	return u.failureRate > maxFailureRate || s.slow(u.meanTime)
}

func (s *serviceHealth) slow(time float64) bool {
	return s.median > 0 && time > max(slowFactor*s.median, minSlowTime)
}

// eject ejects an upstream, unless too many of its service would then be ejected. If too many are
// unhealthy, it ends all ejections instead.
func (s *serviceHealth) eject(now manager.Time, u *upstreamHealth) {
	total := float64(len(s.upstreams))
	if float64(s.countUnhealthy()) > panicThreshold*total {
		s.restoreAll()
		return
	}
	if float64(s.ejected+1) > maxEjectedShare*total {
		return
	}
	u.ejectedUntil = now.Add(u.ejectionTime())
	u.ejections++
	u.probing = false
	u.successfulProbes = 0
	s.ejected++
}

func (s *serviceHealth) countUnhealthy() int {
	n := 0
	for _, u := range s.upstreams {
		if u.ejected() || s.unhealthy(u) {
			n++
		}
	}
	return n
}

// restoreAll ends all ejections of the service.
func (s *serviceHealth) restoreAll() {
	for _, u := range s.upstreams {
		u.ejectedUntil = 0
		u.probing = false
	}
	s.ejected = 0
}

func (s *serviceHealth) medianTime() float64 {
	times := make([]float64, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if u.meanTime > 0 && !u.ejected() {
			times = append(times, u.meanTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (s *serviceHealth) removeStale(now manager.Time) {
	for id, u := range s.upstreams {
		if now.Sub(u.lastOutcomeAt) <= upstreamRetention {
			continue
		}
		if u.ejected() {
			s.ejected--
		}
		delete(s.upstreams, id)
	}
}
