package dispatcher

import (
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// wantedAge is how long a finite task waits until a worker with capacity for it is not kept from work any more, if no other
	// worker can hold the task; otherwise it is wantedLateAge.
	wantedAge     = 1 * manager.Second
	wantedLateAge = 1750 * manager.Millisecond
	// wantedLongRunningAge is the same for a long-running task. It is longer than the time in which a VM that the task was
	// evicted from gets its maintenance order, so that the task does not come back before that.
	wantedLongRunningAge = 3 * manager.Second
)

// waitingStep is a step with a task that has waited for its age.
type waitingStep struct {
	job  *recorder.Job
	step int
	// late means that a task has waited for wantedLateAge.
	late bool
	// capacity is how many tasks fit on the workers that are not kept from work, counted up to 1 unless the step is a gang.
	capacity int
}

// waitingShape is what decides whether a worker can run a waiting step. Only some steps count by themselves.
type waitingShape struct {
	pool        manager.PoolID
	label       manager.Label
	task        manager.Resources
	longRunning bool
	only        StepID
}

// isWanted reports whether a waiting task could run on a worker, so that the worker must not be kept from work for a move or for
// maintenance: a run on it may last, and no other worker may be able to run the task. Finite tasks count only while their
// pool is not busy, as they have their turn on other workers otherwise.
func (d *Dispatcher) isWanted(now manager.Time, w *worker) bool {
	if d.waiting == nil {
		d.waiting = d.waitingSteps(now)
	}
	list := d.waiting[w.latest.Pool]
	if len(list) == 0 {
		return false
	}
	idle := d.usedShare(w.latest.Pool) < busyShare
	return slices.ContainsFunc(list, func(s waitingStep) bool {
		return (idle || s.job.Steps[s.step].LongRunning) && d.couldRun(now, w, s)
	})
}

// couldRun reports whether a worker has capacity for a waiting step or, with a gang, whether the gang needs it.
func (d *Dispatcher) couldRun(now manager.Time, w *worker, s waitingStep) bool {
	step := &s.job.Steps[s.step]
	if step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires) {
		return false
	}
	if d.needsPermits(s.job) {
		known := d.stepAdvice(now, StepID{Graph: s.job.Graph.Graph, Step: s.step})
		if known.denied[w.instance.Worker] {
			return false
		}
	}
	if step.Gang {
		own := maxTasks(w.latest.Capacity.Sub(d.usageOf(w).longRunning), step)
		others := s.capacity
		if !w.keptFromWork() {
			others -= own
		}
		return own > 0 && others < step.Count
	}
	if !d.usageOf(w).free.Fits(step.Reserved()) || !step.LongRunning && s.capacity > 0 && !s.late {
		return false
	}
	if step.MaxPerWorker == 0 {
		return true
	}
	open := 0
	for i := range s.job.Tasks[s.step] {
		if r := s.job.Tasks[s.step][i].Open; r != nil && r.Instance == w.instance {
			open++
		}
	}
	return open < step.MaxPerWorker
}

// waitingSteps returns the steps with tasks that have waited for their age, one of each shape, by pool.
func (d *Dispatcher) waitingSteps(now manager.Time) map[manager.PoolID][]waitingStep {
	steps, known := map[manager.PoolID][]waitingStep{}, map[waitingShape]int{}
	for p, jobs := range d.jobsByPool {
		for _, j := range jobs {
			for s := range j.Steps {
				if !d.waitsForWorker(now, j, s) {
					continue
				}
				shape, late := d.waitingShape(p, j, s), d.hasAgedTask(now, j, s, wantedLateAge)
				if i, ok := known[shape]; ok {
					steps[p][i].late = steps[p][i].late || late
					continue
				}
				known[shape] = len(steps[p])
				most := 1
				if j.Steps[s].Gang {
					most = math.MaxInt
				}
				steps[p] = append(steps[p], waitingStep{job: j, step: s, late: late, capacity: d.taskCapacity(now, p, &j.Steps[s], most)})
			}
		}
	}
	return steps
}

func (d *Dispatcher) waitingShape(p manager.PoolID, j *recorder.Job, s int) waitingShape {
	step := &j.Steps[s]
	shape := waitingShape{pool: p, label: step.Requires, task: step.Reserved(), longRunning: step.LongRunning}
	if step.Gang || step.MaxPerWorker > 0 || d.needsPermits(j) {
		shape.only = StepID{Graph: j.Graph.Graph, Step: s}
	}
	return shape
}

// waitsForWorker reports whether a task of a step has waited for its age. Tasks that wait for the cap of their customer or for a
// rack don't count.
func (d *Dispatcher) waitsForWorker(now manager.Time, j *recorder.Job, s int) bool {
	age := wantedAge
	if j.Steps[s].LongRunning {
		age = wantedLongRunningAge
	}
	return d.stepWaits(j, s) && d.fitsCap(j, s, 1) && d.hasAgedTask(now, j, s, age)
}

func (d *Dispatcher) hasAgedTask(now manager.Time, j *recorder.Job, s int, age manager.Duration) bool {
	ready := readyTime(j, s)
	for i := range j.Tasks[s] {
		t := &j.Tasks[s][i]
		wait := d.locality.waits[manager.TaskID{Graph: j.Graph.Graph, Step: s, Task: i}]
		if t.Open == nil && !t.Done && wait == nil && now.Sub(max(t.EndedAt, ready)) > age {
			return true
		}
	}
	return false
}

// readyTime returns when a step became ready: when its job was released, or the last task that it depends on ended.
func readyTime(j *recorder.Job, s int) manager.Time {
	ready := j.ReleaseTime()
	for _, n := range j.Steps[s].DependsOn {
		for i := range j.Tasks[n] {
			ready = max(ready, j.Tasks[n][i].EndedAt)
		}
	}
	return ready
}

// keptFromWork reports whether a worker gets no finite tasks, as its VM is to move or to be maintained.
func (w *worker) keptFromWork() bool { return w.movePending || w.moveOrdered || w.evacuating }
