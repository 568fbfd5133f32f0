package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// distrustFailures is the number of failures without a success between them that bars a worker.
	distrustFailures = 3
	// distrustTime is how long a distrusted worker is left alone before it is tried again.
	distrustTime = 4 * manager.Second
)

// health tells a worker that fails everything from a job that fails everywhere: the first fails many
// runs in a row.
type health struct {
	failures int
	until    manager.Time
}

func (h *health) take(now manager.Time, how manager.RunEnd) {
	switch how {
	case manager.RunDone:
		*h = health{}
	case manager.RunFailed:
		h.failures++
		if h.failures >= distrustFailures {
			h.until = now.Add(distrustTime)
			h.failures = distrustFailures - 1
		}
	}
}

func (h *health) distrusted(now manager.Time) bool { return now < h.until }
