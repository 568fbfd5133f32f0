package timekeeper

import (
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Clock is the machine's clock; it starts at the wall clock and then runs on monotonic time only.
type Clock struct {
	start time.Time
}

// New returns a clock that starts now.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time in milliseconds since the Unix epoch, as it was when the clock started.
func (c *Clock) Now() manager.Time {
	return manager.Time(c.start.UnixMilli() + time.Since(c.start).Milliseconds())
}

// Every calls f each period until done is closed.
func Every(done <-chan struct{}, period manager.Duration, f func()) {
	t := time.NewTicker(period.Std())
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			f()
		}
	}
}
