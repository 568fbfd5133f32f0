package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// exclusionFailures is the number of failures in a row, without a success between them, that excludes a worker.
	exclusionFailures = 3
	// exclusionTime is how long an excluded worker gets no task before it is tried again.
	exclusionTime = 4 * manager.Second
)

// health tells a faulty worker from a faulty job: a faulty worker fails many runs in a row.
type health struct {
	failures      int
	excludedUntil manager.Time
}

func (h *health) recordEnd(now manager.Time, how manager.RunEnd) {
	switch how {
	case manager.RunDone:
		*h = health{}
	case manager.RunFailed:
		h.failures++
		if h.failures >= exclusionFailures {
			h.excludedUntil = now.Add(exclusionTime)
			h.failures = exclusionFailures - 1
		}
	}
}

func (h *health) excluded(now manager.Time) bool { return now < h.excludedUntil }
