package sharer

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// burstTime is the time for which a customer that was idle may save up its share.
const burstTime = 1 * manager.Second

// Buckets meters each customer with a token bucket that is filled with its weight in jobs per second.
type Buckets struct {
	byCustomer map[manager.CustomerID]*bucket
}

var _ manager.ShareMeter = (*Buckets)(nil)

type bucket struct {
	tokens float64
	at     manager.Time
	// nextReturn is when the caller that was refused last is told to return.
	nextReturn manager.Time
}

// NewBuckets returns a meter in which every customer has its full burst.
func NewBuckets() *Buckets { return &Buckets{byCustomer: map[manager.CustomerID]*bucket{}} }

// Take takes a token from the customer's bucket, if it has one.
func (b *Buckets) Take(now manager.Time, c manager.CustomerID, weight float64) bool {
	k := b.fill(now, c, weight)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// ReturnAfter spreads the callers of a customer over the time in which its bucket gets a token for each of them.
func (b *Buckets) ReturnAfter(now manager.Time, c manager.CustomerID, weight float64) manager.Duration {
	k := b.fill(now, c, weight)
	if weight <= 0 {
		return manager.MaxDuration
	}
	perJob := manager.DurationOf(1000 / weight)
	k.nextReturn = max(k.nextReturn, now).Add(max(1, perJob))
	return k.nextReturn.Sub(now)
}

func (b *Buckets) fill(now manager.Time, c manager.CustomerID, weight float64) *bucket {
	depth := math.Max(1, weight*burstTime.Std().Seconds())
	k := b.byCustomer[c]
	if k == nil {
		k = &bucket{tokens: depth, at: now}
		if weight <= 0 {
			k.tokens = 0
		}
		b.byCustomer[c] = k
	}
	k.tokens = math.Min(depth, k.tokens+weight*now.Sub(k.at).Std().Seconds())
	k.at = now
	return k
}

// Unlimited is the baseline: every job is within the share of its customer.
type Unlimited struct{}

var _ manager.ShareMeter = Unlimited{}

// Take returns true.
func (Unlimited) Take(manager.Time, manager.CustomerID, float64) bool { return true }

// ReturnAfter returns 0.
func (Unlimited) ReturnAfter(manager.Time, manager.CustomerID, float64) manager.Duration { return 0 }
