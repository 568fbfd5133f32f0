package manager

import "time"

// Time is a point in time in milliseconds since an origin that one process chooses.
type Time int64

// Duration is a span of time in milliseconds.
type Duration int64

// Common durations in milliseconds.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// Clock tells the time in milliseconds.
type Clock interface {
	// Now returns the current time, which never decreases.
	Now() Time
}

// Add returns t moved by d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Std converts d to the standard library's duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// ManualClock is a Clock that moves only when told to; it serves tests, replays and virtual time.
type ManualClock struct {
	At Time
}

// Now returns the time that was last set.
func (c *ManualClock) Now() Time { return c.At }

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d Duration) { c.At = c.At.Add(d) }
