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
	// startMargin is what is kept of it if a near worker is expected to accept the task within half of the time left.
	startMargin = 100 * manager.Millisecond
	// remoteMarginShare makes that margin at least this share of the remote run: durations differ from their estimates by as
	// much, so that a job with less time left may be late when it is run remote.
	remoteMarginShare = 0.15
	// othersWeight is the weight of what a remote run costs the tasks behind it in a backlog. It is above 1, as some of
	// these miss their objective for it.
	othersWeight = 1.5
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
	if in.WaitUntil == 0 && queueCost(in) > float64(gain) && !onlyNearInTime(in) {
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
	if at, ok := latestRemoteStart(in); ok {
		end, reason = at, manager.LocalityObjective
	}
	if held := in.Now.Add(holdLimit - in.HeldMs); in.Idle && held < end {
		end, reason = held, manager.LocalityHeld
	}
	return end, reason
}

// latestRemoteStart returns when the wait of a task has to end so that its job can still be on time when the task is run
// remote, and false if it need not end for that. The job must stay on time first with all of its steps run remote whose racks
// are full, as a wait of one step would use up the time of the later ones; if it can't be, then with this task run remote. A
// job that had no such time left when the wait began is served by the start that leaves it more time.
func latestRemoteStart(in manager.LocalityInput) (manager.Time, bool) {
	margin := remoteMargin(in)
	thisRemote := in.LatestStart.Add(in.LocalMs - in.RemoteMs)
	for _, latest := range []manager.Time{in.LatestRemote, thisRemote} {
		if in.Now <= latest && in.Since <= latest.Add(-margin) {
			if due := latest.Add(-startMargin); in.NearAt.Add(in.NearAt.Sub(in.Now)) <= due {
				// Even if the wait takes twice as long as expected, a remote start is in time.
				margin = startMargin
			}
			// With a backlog, a remote run makes other jobs late.
			return latest.Add(-margin), in.BacklogMs == 0 || !localIsSafer(in, latest)
		}
	}
	return in.Now, in.Now <= thisRemote && !localIsSafer(in, thisRemote)
}

// remoteMargin is the time that a job has to have left for a remote run to be in time whatever it lasts.
func remoteMargin(in manager.LocalityInput) manager.Duration {
	return max(objectiveMargin, manager.DurationOf(remoteMarginShare*float64(in.RemoteMs)))
}

// onlyNearInTime reports whether a job is expected to be in time when its task waits, and may be late when it runs remote.
func onlyNearInTime(in manager.LocalityInput) bool {
	latest := in.LatestStart.Add(in.LocalMs - in.RemoteMs)
	return in.Now > latest.Add(-remoteMargin(in)) && in.NearAt.Add(in.NearAt.Sub(in.Now)+objectiveMargin) <= in.LatestStart
}

// localIsSafer reports whether a near start, even if the wait for it takes twice as long as expected, leaves the job more
// time than a remote start now.
func localIsSafer(in manager.LocalityInput, latestRemote manager.Time) bool {
	near := in.NearAt.Add(in.NearAt.Sub(in.Now) + objectiveMargin)
	return in.LatestStart.Sub(near) > latestRemote.Sub(in.Now)
}

// gain returns what a local run saves: the wait at which the task and those behind it are as well off as with a remote
// start now. A remote run occupies its worker for longer by RemoteMs - LocalMs. With a backlog, that delays each of the
// BacklogMs / LocalMs tasks behind the worker by as much.
func gain(in manager.LocalityInput) manager.Duration {
	longer := in.RemoteMs - in.LocalMs
	if longer <= gainMargin || in.LocalMs <= 0 {
		return 0
	}
	others := manager.DurationOf(othersWeight * float64(longer) / float64(in.LocalMs) * float64(in.BacklogMs))
	return longer + others - gainMargin
}

// queueCost returns what a task that joins the queue of a rack costs it and those that come later. If each task only
// looked at itself, the queue would grow until all wait as long as a remote run lasts longer, and nobody gains. Joining pays
// for all up to a queue length that Naor (1969) gives: for a rack whose capacity is used up for good, the n-th task costs
// n(n+1)/2 times the time in which the rack completes one. Half of that is counted, as a rack is that busy for some seconds
// only. What the whole pool has as a backlog waits anyway and does not count.
func queueCost(in manager.LocalityInput) float64 {
	n := max(0, float64(in.Ahead)-float64(in.BacklogMs)/max(1, in.TurnMs))
	return n * (n + 1) / 4 * in.TurnMs
}
