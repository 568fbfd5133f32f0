package recorder

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// smoothing is the least weight of the newest run in the moving averages of a queue; the first runs are averaged
	// evenly.
	smoothing = 0.05
	// minRuns is the number of runs below which the caller's estimate counts as much as the mean.
	minRuns = 8
	// defaultTaskTime is the least time that is assumed for a task of a queue without any runs.
	defaultTaskTime = 1000 * manager.Millisecond
	// minError limits the weight of a predictor without any error; in squared milliseconds.
	minError = 100
)

// QueueTimes holds statistics of the durations of a queue's finite tasks. It combines two predictors, weighted by the
// inverse of their errors: the mean duration, and the caller's estimate, corrected by the average error of earlier
// estimates. The statistics are replicated so that a new dispatcher doesn't have to collect them again.
type QueueTimes struct {
	Runs   int
	MeanMs float64
	// OffLog is the mean of the logarithm of actual over estimated time. A plain mean of the ratios is biased by
	// estimates that were far too low.
	OffLog float64
	// MeanError and OffError are the mean squared errors of the two predictors.
	MeanError float64
	OffError  float64
}

func (st *State) recordRunTime(q manager.QueueID, estimate, ran manager.Duration) {
	t := st.Times[q]
	if t == nil {
		t = &QueueTimes{}
		st.Times[q] = t
	}
	t.Runs++
	rate := max(smoothing, 1/float64(t.Runs))
	ms := max(1, float64(ran))
	t.MeanError += (square(ms-t.MeanMs) - t.MeanError) * rate
	t.MeanMs += (ms - t.MeanMs) * rate
	if estimate > 0 {
		t.OffError += (square(ms-t.corrected(estimate)) - t.OffError) * rate
		t.OffLog += (math.Log(ms/float64(estimate)) - t.OffLog) * rate
	}
}

func square(x float64) float64 { return x * x }

// corrected returns the caller's estimate, corrected by the average error of earlier estimates.
func (t *QueueTimes) corrected(estimate manager.Duration) float64 {
	return float64(estimate) * math.Exp(t.OffLog)
}

// Estimate returns the expected duration of a task of the step. t is nil for a queue without any runs.
func (t *QueueTimes) Estimate(s manager.GraphStep) manager.Duration {
	switch {
	case t == nil || t.Runs == 0:
		return manager.DurationOf(max(float64(s.EstimateMs), float64(defaultTaskTime)))
	case s.EstimateMs == 0:
		return manager.DurationOf(t.MeanMs)
	case t.Runs < minRuns:
		return manager.DurationOf((t.MeanMs + float64(s.EstimateMs)) / 2)
	}
	meanWeight, estimateWeight := 1/(t.MeanError+minError), 1/(t.OffError+minError)
	return manager.DurationOf((t.MeanMs*meanWeight + t.corrected(s.EstimateMs)*estimateWeight) / (meanWeight + estimateWeight))
}
