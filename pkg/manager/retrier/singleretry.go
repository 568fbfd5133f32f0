package retrier

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// SingleRetry is the baseline Retrier: it retries once if that can't run the work twice.
type SingleRetry struct{}

var _ manager.Retrier = SingleRetry{}

// Start does nothing, as SingleRetry has no budget.
func (SingleRetry) Start(manager.Time, manager.Request) {}

// Failed allows a second attempt before the deadline if the request is idempotent or is known not to have run.
func (SingleRetry) Failed(now manager.Time, r manager.Request, o manager.Outcome, attempt int) manager.RetryDecision {
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
