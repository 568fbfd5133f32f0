package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// gangDelay is how long a gang of suspects waits for workers on which no other task is starting.
	gangDelay = 5 * manager.Second
	// isolatedCrashes is the number of crashes from which a suspect also waits for a worker without long-running tasks
	// and on another VM, for isolationDelay at most. The other workers report within that time.
	isolatedCrashes = 2
	isolationDelay  = 1500 * manager.Millisecond
	// The penalties make a suspect prefer such workers afterwards too, and then those with the fewest tasks.
	longRunningPenalty = 100
	crashedVMPenalty   = 50
	neighbourPenalty   = 3
)

// exposure counts the tasks that a crash of a worker would affect.
type exposure struct {
	runs        int
	longRunning int
	// starting are the tasks that the worker has not reported yet, and suspects those of them that were suspects of an
	// earlier crash.
	starting int
	suspects int
}

// count adds a task to the exposure.
func (e *exposure) count(step *manager.GraphStep, t *recorder.Task, starting bool) {
	e.runs++
	if step.LongRunning {
		e.longRunning++
	}
	if !starting {
		return
	}
	e.starting++
	if t.Suspicion() > 0 {
		e.suspects++
	}
}

// delays reports whether a task waits for another worker or the next report of this one: a suspect starts alone, so that
// a crash shows whether it is the cause.
func (w *candidate) delays(now manager.Time, step manager.GraphStep, t *recorder.Task) bool {
	if t.Suspicion() == 0 {
		return w.exposure.suspects > 0
	}
	if mayReachLimit(now, t) {
		return true
	}
	waited := now.Sub(t.EndedAt)
	if w.exposure.starting > 0 && (!step.Gang || waited < gangDelay) {
		return true
	}
	shared := w.exposure.longRunning > 0 || slices.Contains(t.CrashedOn, w.latest.VM)
	return shared && t.Suspicion() >= isolatedCrashes && waited < isolationDelay
}

// mayReachLimit reports whether a task has maxCrashes, with the workers that have not reported since, as some of these may
// have crashed too. It waits for them.
func mayReachLimit(now manager.Time, t *recorder.Task) bool {
	return t.Suspected+t.ExpiredSince(now.Add(-recorder.ExpiredRetention)) >= maxCrashes
}

// isolationScore makes a suspect of a crash prefer workers on which another crash would do little harm.
func (w *candidate) isolationScore(t *recorder.Task) float64 {
	if t.Suspicion() == 0 {
		return 0
	}
	score := -neighbourPenalty * float64(w.exposure.runs)
	if w.exposure.longRunning > 0 {
		score -= longRunningPenalty
	}
	if slices.Contains(t.CrashedOn, w.latest.VM) {
		score -= crashedVMPenalty
	}
	return score
}

// suspectsFirst sorts the jobs with suspects that wait for a worker before all others, as the next tasks that a worker
// starts would keep them off it.
func suspectsFirst(list []jobRank) {
	if !slices.ContainsFunc(list, func(r jobRank) bool { return r.job.HasSuspects() }) {
		return
	}
	waiting := map[*recorder.Job]int{}
	for _, r := range list {
		if !r.job.HasSuspects() || !hasWaitingSuspect(r.job) {
			waiting[r.job] = 1
		}
	}
	slices.SortStableFunc(list, func(a, b jobRank) int { return waiting[a.job] - waiting[b.job] })
}

func hasWaitingSuspect(j *recorder.Job) bool {
	for s := range j.Tasks {
		if slices.ContainsFunc(j.Tasks[s], func(t recorder.Task) bool { return t.Suspicion() > 0 && !t.Done && t.Open == nil }) {
			return true
		}
	}
	return false
}

// placementOrder returns the indexes of a step's tasks in the order in which they get workers, or nil for the usual
// order.
func placementOrder(j *recorder.Job, s int) []int {
	if !j.HasSuspects() {
		return nil
	}
	order := make([]int, len(j.Tasks[s]))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return j.Tasks[s][b].Suspicion() - j.Tasks[s][a].Suspicion() })
	return order
}
