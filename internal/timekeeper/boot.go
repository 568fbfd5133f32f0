package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// BootClock is the machine's clock that goes on while the machine is suspended; it starts at the wall
// clock and is not moved by steps of it.
type BootClock struct {
	wall int64
	boot int64
}

// NewBoot returns a clock that starts now.
func NewBoot() *BootClock { return &BootClock{wall: time.Now().UnixMilli(), boot: sinceBoot()} }

// Now returns the time in milliseconds since the Unix epoch, as it was when the clock started.
func (c *BootClock) Now() manager.Time { return manager.Time(c.wall + sinceBoot() - c.boot) }

// sinceBoot panics on kernels without this clock, which Go does not support either.
func sinceBoot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock of the time since boot: " + err.Error())
	}
	return t.Nano() / int64(time.Millisecond)
}
