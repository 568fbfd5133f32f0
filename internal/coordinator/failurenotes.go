package coordinator

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// failureNotePeriod is the pause between two log lines about a call that fails again and again.
const failureNotePeriod = 1 * manager.Minute

// failureNotes selects the failures of a repeated call to log: the first after a success, and then one in each period.
type failureNotes struct {
	mu      sync.Mutex
	failing bool
	notedAt manager.Time
	skipped int
}

// failed returns whether to log a failure, and how many were not logged since the latest line.
func (f *failureNotes) failed(now manager.Time) (skipped int, log bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing && now.Sub(f.notedAt) < failureNotePeriod {
		f.skipped++
		return 0, false
	}
	skipped = f.skipped
	f.failing, f.notedAt, f.skipped = true, now, 0
	return skipped, true
}

func (f *failureNotes) succeeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing, f.skipped = false, 0
}
