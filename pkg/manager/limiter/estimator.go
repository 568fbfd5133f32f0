package limiter

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// bucketsPerDoubling determines the width of the estimator's buckets: with four, the bounds grow in
	// steps of 19 %.
	bucketsPerDoubling = 4
	// bucketCount is chosen so that the buckets reach 65 s, the longest deadline.
	bucketCount = 16*bucketsPerDoubling + 1
	// decaySamples is the number of samples after which all earlier ones are halved in weight, so that
	// the estimate follows a service that becomes slower.
	decaySamples = 512
	// minSamples is the number of samples that a quantile needs. With fewer, the mean is used instead.
	minSamples = 50
)

// estimator estimates the service time of a service's requests from a histogram in which older samples
// lose weight.
type estimator struct {
	counts     [bucketCount]float64
	total      float64
	sum        float64
	sinceDecay int
}

// add records the service time of one request.
func (e *estimator) add(d manager.Duration) {
	e.counts[bucketOf(d)]++
	e.total++
	e.sum += float64(d)
	e.sinceDecay++
	if e.sinceDecay < decaySamples {
		return
	}
	e.sinceDecay = 0
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
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(d)))), bucketCount-1)
}

// mean returns the mean service time, or 0 without samples.
func (e *estimator) mean() manager.Duration {
	if e.total == 0 {
		return 0
	}
	return manager.Duration(math.Ceil(e.sum / e.total))
}

// quantile returns the service time that a share q of the requests does not exceed, or the mean if there
// are fewer than minSamples samples.
func (e *estimator) quantile(q float64) manager.Duration {
	if e.total < minSamples {
		return e.mean()
	}
	remaining := q * e.total
	for i, n := range e.counts {
		remaining -= n
		if remaining <= 0 {
			return manager.Duration(math.Ceil(math.Pow(2, float64(i)/bucketsPerDoubling)))
		}
	}
	return manager.Duration(math.Pow(2, (bucketCount-1)/bucketsPerDoubling))
}
