package dispatcher

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// learnRate is the weight of the newest run in a queue's figures.
	learnRate = 0.05
	// fewRuns is the number of runs below which the caller's estimate counts as much as the mean.
	fewRuns = 8
	// unknownTask stands for the time of a task that nothing is known of.
	unknownTask = 1000 * manager.Millisecond
	// leastError keeps the weight of a predictor that was always right finite, in squared milliseconds.
	leastError = 100
)

// estimator learns how long the tasks of each queue run.
type estimator struct {
	queues map[manager.QueueID]*queueTimes
}

// queueTimes are the learned times of a queue's finite tasks. Two predictors are weighed by their errors:
// the mean, and the caller's estimate, corrected by how far such estimates were off on average.
type queueTimes struct {
	runs   int
	meanMs float64
	// offLog is the mean of the logarithm of measured over estimated time; a plain mean of the ratios is
	// drawn up by the estimates that were far too low.
	offLog    float64
	meanError float64
	offError  float64
}

func (e *estimator) learn(q manager.QueueID, estimate, ran manager.Duration) {
	t := e.queues[q]
	if t == nil {
		t = &queueTimes{}
		e.queues[q] = t
	}
	t.runs++
	rate := max(learnRate, 1/float64(t.runs))
	ms := max(1, float64(ran))
	t.meanError += (square(ms-t.meanMs) - t.meanError) * rate
	t.meanMs += (ms - t.meanMs) * rate
	if estimate > 0 {
		t.offError += (square(ms-t.corrected(estimate)) - t.offError) * rate
		t.offLog += (math.Log(ms/float64(estimate)) - t.offLog) * rate
	}
}

func square(x float64) float64 { return x * x }

// corrected returns a caller's estimate, corrected by how far earlier ones were off.
func (t *queueTimes) corrected(estimate manager.Duration) float64 {
	return float64(estimate) * math.Exp(t.offLog)
}

// task returns the expected time of a task of the step.
func (e *estimator) task(q manager.QueueID, s manager.GraphStep) manager.Duration {
	t := e.queues[q]
	switch {
	case t == nil || t.runs == 0:
		return manager.Duration(max(float64(s.EstimateMs), float64(unknownTask)))
	case s.EstimateMs == 0:
		return manager.Duration(t.meanMs)
	case t.runs < fewRuns:
		return manager.Duration((t.meanMs + float64(s.EstimateMs)) / 2)
	}
	mean, hint := 1/(t.meanError+leastError), 1/(t.offError+leastError)
	return manager.Duration((t.meanMs*mean + t.corrected(s.EstimateMs)*hint) / (mean + hint))
}

// chain returns the expected time of the longest chain of steps that is left of a job.
func (e *estimator) chain(j *recorder.Job) manager.Duration {
	longest := make([]manager.Duration, len(j.Steps))
	var total manager.Duration
	for i, s := range j.Steps {
		if j.Left(i) > 0 {
			longest[i] = e.task(j.Queue, s)
		}
		var before manager.Duration
		for _, n := range s.Needs {
			before = max(before, longest[n])
		}
		longest[i] += before
		total = max(total, longest[i])
	}
	return total
}

// work returns what is left of a job.
func (e *estimator) work(j *recorder.Job) work {
	var total work
	for i, s := range j.Steps {
		total.add(s, float64(j.Left(i))*float64(e.task(j.Queue, s)))
	}
	return total
}

// learnEnd takes the time of a run that ended done.
func (d *Dispatcher) learnEnd(now manager.Time, w *worker, e manager.EndedRun, r *recorder.Run) {
	j := d.Book.Jobs[e.Task.Graph]
	if j == nil {
		return
	}
	w.health.take(now, e.How)
	s := j.Steps[e.Task.Step]
	if e.How == manager.RunDone && !s.Lasting && !j.State.Ended() {
		d.times.learn(j.Queue, s.EstimateMs, now.Sub(r.At))
	}
}

// graphWork is work for a job that is not taken yet.
func (e *estimator) graphWork(g manager.Graph) work {
	var total work
	for _, s := range g.Steps {
		total.add(s, float64(s.Count)*float64(e.task(g.Queue, s)))
	}
	return total
}

// chainOf is chain for a job that is not taken yet.
func (e *estimator) chainOf(g manager.Graph) manager.Duration {
	longest := make([]manager.Duration, len(g.Steps))
	var total manager.Duration
	for i, s := range g.Steps {
		var before manager.Duration
		for _, n := range s.Needs {
			before = max(before, longest[n])
		}
		longest[i] = before + e.task(g.Queue, s)
		total = max(total, longest[i])
	}
	return total
}
