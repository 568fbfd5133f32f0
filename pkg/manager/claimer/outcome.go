package claimer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Refusal returns the HTTP status and the refusal for a request whose claim was not granted and has no recorded
// answer to return.
func Refusal(state manager.ClaimState) (int, manager.Refusal) {
	const retryAfter = 1 * manager.Second
	switch state {
	case manager.ClaimMismatch:
		return 409, manager.Refusal{
			Code: manager.RefusalRequestReused, RunState: manager.RunStateNotRun,
			Message: "this Request-Id was used by another caller or with another body",
		}
	case manager.ClaimExpired:
		// An earlier attempt may have run, and its claim may have been deleted since.
		return 504, manager.Refusal{
			Code: manager.RefusalRequestExpired, RunState: manager.RunStateUnknown,
			Message: "this Request-Id is older than the window in which resends are recognised",
		}
	case manager.ClaimAnswered, manager.ClaimEvicted:
		return 504, manager.Refusal{
			Code: manager.RefusalAnswerEvicted, RunState: manager.RunStateUnknown,
			Message: "the request ran, but its answer was too large or too old to keep",
		}
	case manager.ClaimAhead:
		return 400, manager.Refusal{
			Code: manager.RefusalRequestAhead, RunState: manager.RunStateNotRun,
			Message: "Request-Id: its timestamp is in the future",
		}
	case manager.ClaimUntimed:
		return 400, manager.Refusal{
			Code: manager.RefusalRequestUntimed, RunState: manager.RunStateNotRun,
			Message: "Request-Id: must be a UUIDv7, as the limit of stored IDs without a timestamp is reached",
		}
	case manager.ClaimFull:
		return 503, manager.Refusal{
			Code: manager.RefusalClaimUnavailable, RunState: manager.RunStateNotRun, RetryAfterMs: retryAfter,
			Message: "the limit of stored claims for non-idempotent requests is reached",
		}
	default:
		return 504, manager.Refusal{
			Code: manager.RefusalClaimUnresolved, RunState: manager.RunStateUnknown, RetryAfterMs: retryAfter,
			Message: "an earlier attempt with this Request-Id has no recorded answer",
		}
	}
}
