package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// estimator estimates durations and work from the recorded statistics.
type estimator struct {
	state *recorder.State
}

// task returns the expected duration of a task of the step. It is 0 for a long-running one, which does not end.
func (e *estimator) task(q manager.QueueID, s manager.GraphStep) manager.Duration {
	if s.LongRunning {
		return 0
	}
	return e.state.Times[q].Estimate(s)
}

// criticalPath returns the expected duration of the longest chain of steps of a job that are not done.
func (e *estimator) criticalPath(j *recorder.Job) manager.Duration {
	longest := make([]manager.Duration, len(j.Steps))
	var total manager.Duration
	for i, s := range j.Steps {
		if j.Remaining(i) > 0 {
			longest[i] = e.task(j.Queue, s)
		}
		var before manager.Duration
		for _, n := range s.DependsOn {
			before = max(before, longest[n])
		}
		longest[i] += before
		total = max(total, longest[i])
	}
	return total
}

// graphCriticalPath is the critical path of a job that is not accepted yet.
func (e *estimator) graphCriticalPath(g manager.Graph) manager.Duration {
	longest := make([]manager.Duration, len(g.Steps))
	var total manager.Duration
	for i, s := range g.Steps {
		var before manager.Duration
		for _, n := range s.DependsOn {
			before = max(before, longest[n])
		}
		longest[i] = before + e.task(g.Queue, s)
		total = max(total, longest[i])
	}
	return total
}
