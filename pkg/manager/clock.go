package manager

import "time"

// Time is a point in time in milliseconds since an origin chosen by the process.
type Time int64

// Duration is an elapsed time in milliseconds.
type Duration int64

// Common durations in milliseconds.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// MaxDuration limits the durations that come from outside, so that no sum of them overflows.
const MaxDuration Duration = 1 << 40

// DurationOf converts milliseconds to a Duration between 0 and MaxDuration.
func DurationOf(ms float64) Duration { return Duration(min(max(ms, 0), float64(MaxDuration))) }

// Clock returns the time in milliseconds.
type Clock interface {
	// Now returns the current time; it is monotonic.
	Now() Time
}

// Add returns t+d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// ManualClock is a Clock that advances only when set; it is used in tests, replays and simulations.
type ManualClock struct {
	At Time
}

// Now returns the time last set.
func (c *ManualClock) Now() Time { return c.At }

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d Duration) { c.At = c.At.Add(d) }
