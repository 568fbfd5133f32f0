package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Summary is what the callers saw.
type Summary struct {
	// States counts the answers by run state.
	States map[manager.RunState]int
	// Resends counts the sends after the first of a request.
	Resends int
	// Median and High are the 50th and 99th percentiles of the time to an answer.
	Median     time.Duration
	High       time.Duration
	Violations []string
}

// Summary returns what the callers saw so far.
func (c *Callers) Summary() Summary {
	const (
		median = 50
		high   = 99
	)
	c.mu.Lock()
	defer c.mu.Unlock()
	return Summary{
		States:     maps.Clone(c.states),
		Resends:    c.resends,
		Median:     time.Duration(c.latency.ValueAtQuantile(median)) * time.Microsecond,
		High:       time.Duration(c.latency.ValueAtQuantile(high)) * time.Microsecond,
		Violations: append(slices.Clone(c.violations), c.Log.Doubled()...),
	}
}
