package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// distrustFailures is the number of failures without a success between them that bars a worker.
	exclusionFailures = 3
	// distrustTime is how long a distrusted worker is left alone before it is tried again.
	exclusionTime = 4 * manager.Second
)

// health tells a worker that fails everything from a job that fails everywhere: the first fails many
// runs in a row.
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
