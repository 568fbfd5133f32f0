package rebalancer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// bucketMs is the resolution at which demand is averaged.
	bucketMs = 1 * manager.Second
	// windowBuckets is the time over which demand is averaged, in buckets. A pool that keeps up over the
	// window works off a surge within it: with the callers' usual deadline of 10 s, any surge of 2 s or
	// more is answered in time. A shorter window sizes pools for peaks that queues absorb, a longer one
	// lets requests wait past their deadline.
	windowBuckets = 12
	// slotMs is the time of which the highest demand is kept as one value.
	slotMs = 1 * manager.Minute
	// horizonSlots is how long a peak is remembered, in slots; a queue that surges less often than this
	// is taken by surprise.
	horizonSlots = 30
	// learnMs is how long a service must be observed before its pools may shrink.
	learnMs = 5 * manager.Minute
	// gapMs is the longest pause between two observations that still counts as one span of time.
	gapMs = 5 * manager.Second
)

// learner learns the demand of one service; its memory does not grow.
type learner struct {
	latest manager.Demand
	at     manager.Time
	// observedMs is how long the service was observed; pauses do not count.
	observedMs manager.Duration
	// slotsPerVM is the last value that was reported.
	slotsPerVM int

	bucketAt  manager.Time
	bucketSum float64
	window    []float64

	slotAt manager.Time
	peaks  []float64
	mean   float64
}

// observe takes the demand at now.
func (l *learner) observe(now manager.Time, d manager.Demand) {
	if l.at == 0 || now.Sub(l.at) > gapMs {
		l.restart(now)
	}
	span := now.Sub(l.at)
	l.observedMs += span
	l.bucketSum += float64(l.latest.BusySlots) * float64(span)
	l.latest, l.at = d, now
	if d.SlotsPerVM > 0 {
		l.slotsPerVM = d.SlotsPerVM
	}
	if length := now.Sub(l.bucketAt); length >= bucketMs {
		l.closeBucket(length)
	}
	if now.Sub(l.slotAt) >= slotMs {
		l.slotAt = now
		l.peaks = append(l.peaks, l.windowMean())
		l.peaks = l.peaks[max(0, len(l.peaks)-horizonSlots):]
	}
	l.raise(l.windowMean())
	if d.RefusedRequests > 0 {
		l.raise(float64(d.BusySlots + l.slotsPerVM))
	}
}

// restart begins a new span after a pause; the peaks that were learned before it stay.
func (l *learner) restart(now manager.Time) {
	l.at, l.bucketAt, l.slotAt = now, now, now
	l.latest = manager.Demand{}
	l.bucketSum = 0
	l.window = nil
	l.peaks = append(l.peaks, 0)
	l.peaks = l.peaks[max(0, len(l.peaks)-horizonSlots):]
}

func (l *learner) closeBucket(length manager.Duration) {
	average := l.bucketSum / float64(length)
	l.window = append(l.window, average)
	l.window = l.window[max(0, len(l.window)-windowBuckets):]
	l.bucketAt, l.bucketSum = l.at, 0
	l.mean += (average - l.mean) * float64(length) / float64(slotMs+length)
}

func (l *learner) windowMean() float64 {
	sum := 0.0
	for _, x := range l.window {
		sum += x
	}
	return sum / windowBuckets
}

// raise records a demand in the current slot of the horizon.
func (l *learner) raise(slots float64) {
	last := len(l.peaks) - 1
	l.peaks[last] = max(l.peaks[last], slots)
}

// learned tells whether enough was seen for a pool to shrink.
func (l *learner) learned() bool { return l.observedMs >= learnMs && l.slotsPerVM > 0 }

// highest returns the slots that the highest demand of the horizon asked for; pools never shrink below it.
func (l *learner) highest() float64 { return slices.Max(l.peaks) }

// recurring returns the slots that demand asked for at two times apart; pools grow only for demand that
// came back, as a single surge is over before a move ends. Neighbours of the highest slot are left out,
// as one surge may reach into them.
func (l *learner) recurring() float64 {
	highest := slices.Index(l.peaks, l.highest())
	again := 0.0
	for i, x := range l.peaks {
		if i < highest-1 || i > highest+1 {
			again = max(again, x)
		}
	}
	return again
}
