package retrier

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Defaults of a Budget.
const (
	// DefaultRetryPercent is the number of retries that 100 first attempts allow. The load of a failed pool grows by
	// at most this percentage.
	DefaultRetryPercent manager.Percent = 10
	// DefaultBurst is the capacity of a service's token bucket in retries. A pool that fails suddenly gets at most
	// this many retries on top of RetryPercent.
	DefaultBurst = 20
	// DefaultMaxAttempts limits the attempts of one request, the first one included.
	DefaultMaxAttempts = 3
	// DefaultBackoff is the maximum delay before the first retry; it doubles with each further retry.
	DefaultBackoff = 20 * manager.Millisecond
	// DefaultMaxBackoff limits the delay before any retry.
	DefaultMaxBackoff = 500 * manager.Millisecond
	// maxServices limits the token buckets kept, as callers can send any service name; without a free
	// bucket, a service gets no retry.
	maxServices = 1_000
	// tokensPerRetry is the cost of a retry. A first attempt adds RetryPercent tokens, so that percentages
	// of a retry add up exactly.
	tokensPerRetry = 100
)

// Budget is a Retrier that limits the retries of each service to a percentage of its first attempts and delays them
// by an exponential backoff with jitter. It is not safe for concurrent use.
type Budget struct {
	// Rand is the random source of the jitter; with the same seed, the delays are the same.
	Rand *rand.Rand
	// RetryPercent, Burst, MaxAttempts, Backoff and MaxBackoff take their defaults if they are 0.
	RetryPercent manager.Percent
	Burst        int
	MaxAttempts  int
	Backoff      manager.Duration
	MaxBackoff   manager.Duration

	// tokens holds the token bucket of each service. A service without an entry has a full bucket.
	tokens map[manager.ServiceID]int
}

var _ manager.Retrier = (*Budget)(nil)

func (b *Budget) init() {
	if b.tokens != nil {
		return
	}
	b.tokens = map[manager.ServiceID]int{}
	setDefault(&b.RetryPercent, DefaultRetryPercent)
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

// Start adds the tokens of a first attempt to the bucket of the service.
func (b *Budget) Start(_ manager.Time, r manager.Request) {
	b.init()
	tokens, ok := b.tokens[r.Service]
	if !ok {
		return
	}
	tokens += int(b.RetryPercent)
	if tokens >= b.Burst*tokensPerRetry {
		delete(b.tokens, r.Service)
		return
	}
	b.tokens[r.Service] = tokens
}

// Failed allows a retry if it can't run the work twice, starts before the deadline and is within the budget.
func (b *Budget) Failed(now manager.Time, r manager.Request, o manager.Outcome, attempt int) manager.RetryDecision {
	b.init()
	switch {
	case !r.Idempotent && o.RunState != manager.RunStateNotRun:
		return manager.RetryDecision{Reason: "the work may have run"}
	case attempt >= b.MaxAttempts:
		return manager.RetryDecision{Reason: "attempts are used up"}
	}
	delay := b.jitteredDelay(attempt)
	if now.Add(delay) >= r.Deadline {
		return manager.RetryDecision{Reason: "the deadline passes before the retry"}
	}
	if !b.takeTokens(r.Service) {
		return manager.RetryDecision{Reason: "the retry budget is exhausted"}
	}
	return manager.RetryDecision{Retry: true, DelayMs: delay}
}

// pause returns a random pause between half of the backoff and all of it.
func (b *Budget) jitteredDelay(attempt int) manager.Duration {
	ceiling := b.MaxBackoff
	if shift := attempt - 1; shift < 30 {
		ceiling = min(b.Backoff<<shift, b.MaxBackoff)
	}
	half := ceiling / 2
	return half + manager.Duration(b.Rand.Int64N(int64(ceiling-half)+1))
}

func (b *Budget) takeTokens(s manager.ServiceID) bool {
	tokens, ok := b.tokens[s]
	if !ok {
		if len(b.tokens) >= maxServices {
			return false
		}
		tokens = b.Burst * tokensPerRetry
	}
	if tokens < tokensPerRetry {
		return false
	}
	b.tokens[s] = tokens - tokensPerRetry
	return true
}
