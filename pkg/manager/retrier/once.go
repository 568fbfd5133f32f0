package retrier

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Once is the naive Retrier: one more attempt whenever that can't run the work twice.
type Once struct{}

var _ manager.Retrier = Once{}

// Start counts nothing.
func (Once) Start(manager.Time, manager.Request) {}

// Failed allows a second attempt if the work is idempotent or certainly did not run.
func (Once) Failed(now manager.Time, r manager.Request, o manager.Outcome, attempt int) manager.RetryDecision {
	switch {
	case attempt > 1:
		return manager.RetryDecision{Reason: "attempts are used up"}
	case now >= r.Deadline:
		return manager.RetryDecision{Reason: "the deadline passed"}
	case !r.Idempotent && o.RunState != manager.RunStateNotRun:
		return manager.RetryDecision{Reason: "the work may have run"}
	default:
		return manager.RetryDecision{Retry: true}
	}
}
