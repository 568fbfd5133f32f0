package claimer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// firstPoll is the pause before a pending claim is asked for again; each further one is twice as long.
	firstPoll = 50 * manager.Millisecond
	// maxPolls bounds how often a resend asks, as each time is a command in the log.
	maxPolls = 5
)

// PollDelay returns the pause before a resend asks for the n-th time, from 1, for the answer to an
// attempt that holds the claim, or false if it has to give up.
func PollDelay(n int) (manager.Duration, bool) {
	if n > maxPolls {
		return 0, false
	}
	return firstPoll << (n - 1), true
}
