package claimer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// initialPollDelay is the delay before the first poll of a pending claim; it doubles with each further poll.
	initialPollDelay = 50 * manager.Millisecond
	// maxPolls limits the polls of a resend, as each one adds a command to the log.
	maxPolls = 5
)

// PollDelay returns the delay before the n-th poll, counted from 1, for the answer to the attempt that holds the
// claim. It returns false if the resend has to stop polling.
func PollDelay(n int) (manager.Duration, bool) {
	if n > maxPolls {
		return 0, false
	}
	return initialPollDelay << (n - 1), true
}
