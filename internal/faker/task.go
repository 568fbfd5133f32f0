package faker

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	fullSpeed      = 100 // percent
	throttledSpeed = 25  // percent
)

// task is a lease that a worker has seen.
type task struct {
	lease   manager.Lease
	job     manager.Job
	started manager.Time
	// base is the work done at since; from then on it grows at speed.
	base  manager.Duration
	since manager.Time
	speed manager.Duration

	expireAt     manager.Time
	checkpointAt manager.Time
	endedAt      manager.Time
	result       manager.TaskResult
	reason       string
}

// done returns the work done at a time, in milliseconds at full speed.
func (t *task) done(at manager.Time) manager.Duration {
	if t.result != "" {
		at = min(at, t.endedAt)
	}
	if at <= t.since {
		return t.base
	}
	return t.base + at.Sub(t.since)*t.speed/fullSpeed
}

func (t *task) setSpeed(now manager.Time, speed manager.Duration) {
	t.base = t.done(now)
	t.since = now
	t.speed = speed
}

// end ends a task; work since the last checkpoint is lost unless it succeeded or was checkpointed.
func (w *Worker) end(t *task, at manager.Time, result manager.TaskResult, reason string) {
	t.base = t.done(at)
	if result != manager.TaskSucceeded && result != manager.TaskCheckpointed {
		w.lost += t.base - t.job.Progress.DoneMs
	}
	if result == manager.TaskFailed {
		w.failed++
	}
	t.since = at
	t.endedAt = at
	t.result = result
	t.reason = reason
}

// advance ends a task whose work, checkpoint or lease has ended by now, whichever came first.
func (w *Worker) advance(now manager.Time, t *task) {
	if t.result != "" {
		return
	}
	if w.Fails != nil && w.Fails(t.job, t.lease.VM) {
		w.end(t, now, manager.TaskFailed, "exit status 1")
		return
	}
	rest := max(0, w.RunTime(t.job)-t.base)
	at, result, reason := t.since.Add((rest*fullSpeed+t.speed-1)/t.speed), manager.TaskSucceeded, ""
	if t.checkpointAt != 0 && t.checkpointAt < at {
		at, result, reason = t.checkpointAt, manager.TaskCheckpointed, "checkpointed as ordered"
	}
	if t.expireAt < at {
		at, result, reason = t.expireAt, manager.TaskExpired, "its lease ended"
	}
	if at <= now {
		w.end(t, at, result, reason)
	}
}
