package rebalancer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// bucketMs is the resolution at which demand is averaged.
	bucketMs = 1 * manager.Second
	// windowBuckets is the length of the moving average in buckets. A pool that is sized for this average works
	// off a surge within the window: with the callers' usual deadline of 10 s, any surge of 2 s or more is
	// answered in time. A shorter window would size pools for peaks that queues absorb; a longer one would let
	// requests wait past their deadline.
	windowBuckets = 12
	// peakPeriodMs is the length of a period, of which only the highest demand is kept.
	peakPeriodMs = 1 * manager.Minute
	// horizonPeriods is how long a peak is remembered, in periods. The rebalancer does not prepare for surges that
	// recur less often than this.
	horizonPeriods = 30
	// warmUpMs is how long a service must be observed before its pools may shrink.
	warmUpMs = 5 * manager.Minute
	// maxGapMs is the longest gap between two observations within one span of time.
	maxGapMs = 5 * manager.Second
)

// demandEstimator estimates the demand of one service from observations, in bounded memory.
type demandEstimator struct {
	latest manager.Demand
	at     manager.Time
	// observedMs is how long the service has been observed, without gaps.
	observedMs manager.Duration
	// slotsPerVM is the last value reported that was not zero.
	slotsPerVM int

	bucketAt  manager.Time
	bucketSum float64
	window    []float64

	periodAt manager.Time
	peaks    []float64
	mean     float64
}

// observe records the demand at now.
func (e *demandEstimator) observe(now manager.Time, d manager.Demand) {
	if e.at == 0 || now.Sub(e.at) > maxGapMs {
		e.restart(now)
	}
	span := now.Sub(e.at)
	e.observedMs += span
	e.bucketSum += float64(e.latest.BusySlots) * float64(span)
	e.latest, e.at = d, now
	if d.SlotsPerVM > 0 {
		e.slotsPerVM = d.SlotsPerVM
	}
	if length := now.Sub(e.bucketAt); length >= bucketMs {
		e.closeBucket(length)
	}
	if now.Sub(e.periodAt) >= peakPeriodMs {
		e.periodAt = now
		e.peaks = append(e.peaks, e.windowMean())
		e.peaks = e.peaks[max(0, len(e.peaks)-horizonPeriods):]
	}
	e.raisePeak(e.windowMean())
	if d.RefusedRequests > 0 {
		e.raisePeak(float64(d.BusySlots + e.slotsPerVM))
	}
}

// restart begins a new span after a gap; the peaks from before the gap are kept.
func (e *demandEstimator) restart(now manager.Time) {
	e.at, e.bucketAt, e.periodAt = now, now, now
	e.latest = manager.Demand{}
	e.bucketSum = 0
	e.window = nil
	e.peaks = append(e.peaks, 0)
	e.peaks = e.peaks[max(0, len(e.peaks)-horizonPeriods):]
}

func (e *demandEstimator) closeBucket(length manager.Duration) {
	average := e.bucketSum / float64(length)
	e.window = append(e.window, average)
	e.window = e.window[max(0, len(e.window)-windowBuckets):]
	e.bucketAt, e.bucketSum = e.at, 0
	e.mean += (average - e.mean) * float64(length) / float64(peakPeriodMs+length)
}

func (e *demandEstimator) windowMean() float64 {
	sum := 0.0
	for _, x := range e.window {
		sum += x
	}
	return sum / windowBuckets
}

// raisePeak raises the peak of the current period to slots.
func (e *demandEstimator) raisePeak(slots float64) {
	last := len(e.peaks) - 1
	e.peaks[last] = max(e.peaks[last], slots)
}

// warmedUp reports whether the service has been observed long enough for its pools to shrink.
func (e *demandEstimator) warmedUp() bool { return e.observedMs >= warmUpMs && e.slotsPerVM > 0 }

// highest returns the highest demand of the horizon, in busy slots; pools never shrink below it.
func (e *demandEstimator) highest() float64 { return slices.Max(e.peaks) }

// recurring returns the highest demand that was reached at two separate times of the horizon, in busy slots. Pools
// grow only for recurring demand, because a single surge is over before a move ends. The periods next to the one with
// the highest demand do not count, because the same surge may reach into them.
func (e *demandEstimator) recurring() float64 {
	highest := slices.Index(e.peaks, e.highest())
	again := 0.0
	for i, x := range e.peaks {
		if i < highest-1 || i > highest+1 {
			again = max(again, x)
		}
	}
	return again
}
