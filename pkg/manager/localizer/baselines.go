package localizer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Never is the baseline that starts each task on the first worker that accepts it.
type Never struct{}

// Decide implements manager.LocalityPolicy.
func (Never) Decide(manager.LocalityInput) manager.LocalityDecision {
	return manager.LocalityDecision{Reason: manager.LocalityOff}
}

// Always is the baseline that waits for a near worker however long that takes.
type Always struct{}

// noEnd is the end of a wait that only a near worker ends.
const noEnd = 24 * 60 * manager.Minute

// Decide implements manager.LocalityPolicy.
func (Always) Decide(in manager.LocalityInput) manager.LocalityDecision {
	return manager.LocalityDecision{Wait: true, Until: in.Now.Add(noEnd)}
}
