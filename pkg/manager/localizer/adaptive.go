package localizer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// holdLimit bounds the time for which waits hold a job with nothing running. Callers are promised 3 s; the rest
	// covers a cycle of reports (some 0.5 s) until a remote worker accepts the task.
	holdLimit = 2 * manager.Second
	// objectiveMargin is kept before the latest remote start, as the remote worker that accepts the task now may be taken
	// when the wait ends: it covers the pause between two reports (0.3 s) and a report that is held (0.15 s).
	objectiveMargin = 500 * manager.Millisecond
	// gainMargin is the least gain for which a task waits, about the time that an order takes to be delivered.
	gainMargin = 50 * manager.Millisecond
)

// Adaptive is the production policy. It waits while the expected completion near the data is earlier than remote from it,
// or while the processor time that a remote run takes from the tasks behind it costs these more than the wait.
type Adaptive struct{}

// Decide implements manager.LocalityPolicy.
func (Adaptive) Decide(in manager.LocalityInput) manager.LocalityDecision {
	until := in.Now.Add(maxWait(in))
	if in.WaitUntil != 0 {
		if in.Now >= in.WaitUntil {
			return manager.LocalityDecision{Reason: manager.LocalityExpired}
		}
		until = min(until, in.WaitUntil)
	}
	reason := manager.LocalityTooLong
	latestRemote := in.LatestStart.Add(in.LocalMs - in.RemoteMs)
	if in.Now <= latestRemote {
		// Run remote now, the job would be on time.
		if end := latestRemote.Add(-objectiveMargin); end < until {
			until, reason = end, manager.LocalityObjective
		}
	}
	if in.Idle {
		if end := in.Now.Add(holdLimit - in.HeldMs); end < until {
			until, reason = end, manager.LocalityHeld
		}
	}
	if until <= in.Now || in.NearAt >= until {
		return manager.LocalityDecision{Reason: reason}
	}
	return manager.LocalityDecision{Wait: true, Until: until}
}

// maxWait returns the wait at which the task is as well off as with a remote start now. A remote run occupies its worker
// for longer by RemoteMs - LocalMs. With a backlog, that delays each of the BacklogMs / LocalMs tasks behind the worker
// by as much.
func maxWait(in manager.LocalityInput) manager.Duration {
	longer := in.RemoteMs - in.LocalMs
	if longer <= gainMargin || in.LocalMs <= 0 {
		return 0
	}
	others := manager.DurationOf(float64(longer) / float64(in.LocalMs) * float64(in.BacklogMs))
	return longer + others - gainMargin
}
