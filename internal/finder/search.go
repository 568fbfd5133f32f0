package finder

import (
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// searchLogDelay is how long a search lasts before it is logged; elections pass within it.
	searchLogDelay = 1500 * manager.Millisecond
	// searchLogPeriod is the interval between two log lines of one search.
	searchLogPeriod = 5 * manager.Second
)

// search is a series of updates in which no node named a leader. It is not safe for concurrent use.
type search struct {
	active   bool
	began    manager.Time
	loggedAt manager.Time
}

// fail records an update in which no node named a leader. Unreached nodes did not answer, unaware ones know none.
func (s *search) fail(now manager.Time, unreached, unaware []manager.Address) {
	meter.LeaderKnown().Set(0)
	if !s.active {
		*s = search{active: true, began: now, loggedAt: now.Add(searchLogDelay - searchLogPeriod)}
	}
	if now.Sub(s.loggedAt) < searchLogPeriod {
		return
	}
	s.loggedAt = now
	klog.InfoS(manager.LogLeaderNotFound, "ForMs", now.Sub(s.began), "Unreached", unreached, "Unaware", unaware)
}

// end records that a leader is known.
func (s *search) end() {
	s.active = false
	meter.LeaderKnown().Set(1)
}
