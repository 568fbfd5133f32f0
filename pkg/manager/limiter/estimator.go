package limiter

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// bucketsPerDouble sets the width of the estimator's buckets: four give steps of 19 %.
	bucketsPerDouble = 4
	// bucketCount reaches 65 s, the longest deadline.
	bucketCount = 16*bucketsPerDouble + 1
	// decaySamples is after how many samples the older ones count half, so that a service that
	// became slower is noticed.
	decaySamples = 512
	// minSamples is how many samples a tail estimate needs; before it, waits are bounded by the mean.
	minSamples = 50
)

// estimator learns the service time of a service's requests.
type estimator struct {
	counts [bucketCount]float64
	total  float64
	sum    float64
	fresh  int
}

// add takes the service time of one request.
func (e *estimator) add(d manager.Duration) {
	e.counts[bucketOf(d)]++
	e.total++
	e.sum += float64(d)
	e.fresh++
	if e.fresh < decaySamples {
		return
	}
	e.fresh = 0
	e.total /= 2
	e.sum /= 2
	for i := range e.counts {
		e.counts[i] /= 2
	}
}

func bucketOf(d manager.Duration) int {
	if d <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDouble*math.Log2(float64(d)))), bucketCount-1)
}

// mean returns the mean service time, or 0 if nothing is known.
func (e *estimator) mean() manager.Duration {
	if e.total == 0 {
		return 0
	}
	return manager.Duration(math.Ceil(e.sum / e.total))
}

// quantile returns the service time that a share q of the requests don't exceed, or the mean while
// samples are few.
func (e *estimator) quantile(q float64) manager.Duration {
	if e.total < minSamples {
		return e.mean()
	}
	left := q * e.total
	for i, n := range e.counts {
		left -= n
		if left <= 0 {
			return manager.Duration(math.Ceil(math.Pow(2, float64(i)/bucketsPerDouble)))
		}
	}
	return manager.Duration(math.Pow(2, (bucketCount-1)/bucketsPerDouble))
}
