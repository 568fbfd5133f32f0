package retrier

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Defaults of a Budget.
const (
	// DefaultShare is how many retries are earned by 100 first attempts; a failed pool's load grows by
	// as much at the most.
	DefaultShare manager.Percent = 10
	// DefaultBurst bounds the retries saved up, which a pool that fails at once gets on top.
	DefaultBurst = 20
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 3
	// DefaultBackoff is the longest pause before the first retry; it doubles with each further one.
	DefaultBackoff = 20 * manager.Millisecond
	// DefaultMaxBackoff bounds the pause.
	DefaultMaxBackoff = 500 * manager.Millisecond
	// maxServices bounds the services remembered, as callers name them freely.
	maxServices = 1_000
	// wholeRetry is one retry in the unit of the buckets, so that shares of one add up exactly.
	wholeRetry = 100
)

// Budget is the Retrier that lets retries grow only as a share of first attempts, with pauses that
// spread them; it is not safe for concurrent use.
type Budget struct {
	// Source is the random source; its seed makes the pauses repeatable.
	Source *rand.Rand
	// Share, Burst, MaxAttempts, Backoff and MaxBackoff take the defaults if they are 0.
	Share       manager.Percent
	Burst       int
	MaxAttempts int
	Backoff     manager.Duration
	MaxBackoff  manager.Duration

	// saved are the retries that each service may still make, in hundredths. A service that is not in
	// it has saved up all it can.
	saved map[manager.ServiceID]int
}

var _ manager.Retrier = (*Budget)(nil)

func (b *Budget) init() {
	if b.saved != nil {
		return
	}
	b.saved = map[manager.ServiceID]int{}
	setDefault(&b.Share, DefaultShare)
	setDefault(&b.Burst, DefaultBurst)
	setDefault(&b.MaxAttempts, DefaultMaxAttempts)
	setDefault(&b.Backoff, DefaultBackoff)
	setDefault(&b.MaxBackoff, DefaultMaxBackoff)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Start earns a share of a retry.
func (b *Budget) Start(_ manager.Time, r manager.Request) {
	b.init()
	saved, ok := b.saved[r.Service]
	if !ok {
		return
	}
	saved += int(b.Share)
	if saved >= b.Burst*wholeRetry {
		delete(b.saved, r.Service)
		return
	}
	b.saved[r.Service] = saved
}

// Failed allows another attempt if it can't run the work twice, can come in time and is in the budget.
func (b *Budget) Failed(now manager.Time, r manager.Request, o manager.Outcome, attempt int) manager.RetryDecision {
	b.init()
	switch {
	case !r.Idempotent && o.RunState != manager.RunStateNotRun:
		return manager.RetryDecision{Reason: "the work may have run"}
	case attempt >= b.MaxAttempts:
		return manager.RetryDecision{Reason: "attempts are used up"}
	}
	delay := b.pause(attempt)
	if now.Add(delay) >= r.Deadline {
		return manager.RetryDecision{Reason: "the deadline passes before the retry"}
	}
	if !b.spend(r.Service) {
		return manager.RetryDecision{Reason: "the retry budget is spent"}
	}
	return manager.RetryDecision{Retry: true, DelayMs: delay}
}

// pause returns a random pause between half of the backoff and all of it.
func (b *Budget) pause(attempt int) manager.Duration {
	longest := b.MaxBackoff
	if shift := attempt - 1; shift < 30 {
		longest = min(b.Backoff<<shift, b.MaxBackoff)
	}
	half := longest / 2
	return half + manager.Duration(b.Source.Int64N(int64(longest-half)+1))
}

func (b *Budget) spend(s manager.ServiceID) bool {
	saved, ok := b.saved[s]
	if !ok {
		if len(b.saved) >= maxServices {
			return false
		}
		saved = b.Burst * wholeRetry
	}
	if saved < wholeRetry {
		return false
	}
	b.saved[s] = saved - wholeRetry
	return true
}
