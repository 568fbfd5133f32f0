package localizer

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// holdLimit bounds the time for which waits hold a job with nothing running. Callers are promised 3 s; the rest
	// covers a cycle of reports (some 0.5 s) until a remote worker accepts the task.
	holdLimit = 2 * manager.Second
	// objectiveMargin is kept before the latest remote start, as the remote worker that accepts the task now may be taken
	// when the wait ends: it covers the pause between two reports.
	objectiveMargin = 300 * manager.Millisecond
	// gainMargin is the least gain for which a task waits, about the time that an order takes to be delivered.
	gainMargin = 50 * manager.Millisecond
)

// Adaptive is the production policy. It waits while the expected completion near the data is earlier than remote from it,
// or while the processor time that a remote run takes from the tasks behind it costs these more than the wait.
type Adaptive struct{}

// Decide implements manager.LocalityPolicy.
func (Adaptive) Decide(in manager.LocalityInput) manager.LocalityDecision {
	gain := gain(in)
	until := in.Now.Add(gain)
	if in.WaitUntil != 0 {
		if in.Now >= in.WaitUntil {
			return manager.LocalityDecision{Reason: manager.LocalityExpired}
		}
		until = min(until, in.WaitUntil)
	}
	if in.NearAt >= until {
		return manager.LocalityDecision{Reason: manager.LocalityTooLong}
	}
	if in.WaitUntil == 0 && queueCost(in) > float64(gain) {
		return manager.LocalityDecision{Reason: manager.LocalityQueue}
	}
	// With a backlog, a remote run costs the tasks behind it the same when it starts at the bound.
	end, reason := bound(in)
	if in.Now >= end || in.NearAt >= end && in.BacklogMs == 0 {
		return manager.LocalityDecision{Reason: reason}
	}
	return manager.LocalityDecision{Wait: true, Until: until}
}

// bound returns the time at which a wait has to end whatever it would gain, and why.
func bound(in manager.LocalityInput) (manager.Time, manager.LocalityReason) {
	end, reason := manager.Time(math.MaxInt64), manager.LocalityExpired
	if in.Contested {
		return end, reason
	}
	// A job that can be on time when all of it is run remote must stay so: a wait of a first step would use up the time of
	// the later ones. Past that, it can if this task is run remote and the rest near its data.
	latestRemote := in.LatestRemote
	if in.Now > latestRemote {
		latestRemote = in.LatestStart.Add(in.LocalMs - in.RemoteMs)
	}
	if in.Now <= latestRemote && !localIsSafer(in, latestRemote) {
		end, reason = latestRemote.Add(-objectiveMargin), manager.LocalityObjective
	}
	if held := in.Now.Add(holdLimit - in.HeldMs); in.Idle && held < end {
		end, reason = held, manager.LocalityHeld
	}
	return end, reason
}

// localIsSafer reports whether a near start, even if the wait for it takes twice as long as expected, leaves the job more
// time than a remote start now. It counts only with a backlog, as a remote run then makes other jobs late.
func localIsSafer(in manager.LocalityInput, latestRemote manager.Time) bool {
	near := in.NearAt.Add(in.NearAt.Sub(in.Now) + objectiveMargin)
	return in.BacklogMs > 0 && in.LatestStart.Sub(near) > latestRemote.Sub(in.Now)
}

// gain returns what a local run saves: the wait at which the task and those behind it are as well off as with a remote
// start now. A remote run occupies its worker for longer by RemoteMs - LocalMs. With a backlog, that delays each of the
// BacklogMs / LocalMs tasks behind the worker by as much.
func gain(in manager.LocalityInput) manager.Duration {
	longer := in.RemoteMs - in.LocalMs
	if longer <= gainMargin || in.LocalMs <= 0 {
		return 0
	}
	others := manager.DurationOf(float64(longer) / float64(in.LocalMs) * float64(in.BacklogMs))
	return longer + others - gainMargin
}

// queueCost returns what a task that joins the queue of a rack costs it and those that come later. If each task only
// looked at itself, the queue would grow until all wait as long as a remote run lasts longer, and nobody gains. The queue
// length up to which joining pays for all is that of Naor (1969) for a rack at the limit of its capacity, where the n-th
// task of a queue costs n(n+1)/2 times the time in which the rack completes one. What the whole pool has as a backlog
// waits anyway and does not count.
func queueCost(in manager.LocalityInput) float64 {
	n := max(0, float64(in.Ahead)-float64(in.BacklogMs)/max(1, in.TurnMs))
	return n * (n + 1) / 2 * in.TurnMs
}
