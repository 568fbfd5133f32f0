package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// lentPenalty keeps long-running tasks off lent VMs while another VM has capacity.
	lentPenalty = 100
	// packLimit is the share of a worker that long-running tasks fill before they are placed on the next one. The rest is
	// kept for tasks of a neighbour that is evacuated.
	packLimit = 0.85
	// maxCandidateAge is the age of the latest report up to which a worker counts as available.
	maxCandidateAge = 1200 * manager.Millisecond
	// failedWorkerDelay is how long a task avoids the worker on which it failed; the other workers report within that
	// time.
	failedWorkerDelay = 1500 * manager.Millisecond
	// failedPenalty makes a task avoid that worker afterwards too, while another one has capacity.
	failedPenalty = 2
	// notLendableBonus places the finite tasks of a pool with low load on workers that can't be lent anyway.
	notLendableBonus = 1
)

// candidate is a worker that may get tasks: at once if its report is held, otherwise with its next report.
type candidate struct {
	*worker
	free manager.Resources
	// lent means that the VM has another home pool, so that long-running tasks would keep it from going back.
	lent bool
	// longRunning is the capacity that long-running tasks use.
	longRunning manager.Resources
	exposure    exposure
	lowLoad     bool
}

// place proposes starts of ready tasks, by pool and in the order of their jobs.
func (d *Dispatcher) place(now manager.Time, c *recorder.Changes) {
	d.startLocality(now)
	d.backlog, d.startBytes = map[manager.PoolID]bool{}, 0
	ready := d.readyPools()
	if len(ready) == 0 {
		return
	}
	pools := d.candidates(now, ready)
	d.locality.candidates = pools
	for _, p := range slices.Sorted(maps.Keys(ready)) {
		if len(pools[p]) == 0 {
			d.backlog[p] = true
			continue
		}
		var unmet shortage
		jobs := d.rankedJobs(now, p)
		suspectsFirst(jobs)
		open, reserved := pools[p], false
		for _, t := range jobs {
			if t.longRunning {
				d.placeSteps(now, &t, pools[p], &unmet, c)
				continue
			}
			d.placeSteps(now, &t, open, &unmet, c)
			if !reserved {
				open, reserved = d.reserveForGang(now, t.job, open, c)
			}
		}
	}
}

// readyPools returns the pools with tasks that are ready to start.
func (d *Dispatcher) readyPools() map[manager.PoolID]bool {
	ready := map[manager.PoolID]bool{}
	for p, jobs := range d.jobsByPool {
		if slices.ContainsFunc(jobs, d.hasWaitingTask) {
			ready[p] = true
		}
	}
	return ready
}

// hasWaitingTask reports whether a task of a job is ready, has no worker and can run on some VM.
func (d *Dispatcher) hasWaitingTask(j *recorder.Job) bool {
	for s := range j.Steps {
		if d.stepWaits(j, s) {
			return true
		}
	}
	return false
}

// hasWaitingLongRunning is hasWaitingTask for the long-running steps of a job.
func (d *Dispatcher) hasWaitingLongRunning(j *recorder.Job) bool {
	for s := range j.Steps {
		if j.Steps[s].LongRunning && d.stepWaits(j, s) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) stepWaits(j *recorder.Job, s int) bool {
	return j.Remaining(s) > j.OpenRunsIn(s) && j.StepReady(s) && d.obtainable(d.poolOf(j), &j.Steps[s])
}

// candidates returns the workers that may get tasks, by pool.
func (d *Dispatcher) candidates(now manager.Time, ready map[manager.PoolID]bool) map[manager.PoolID][]*candidate {
	pools := map[manager.PoolID][]*candidate{}
	for _, w := range d.sortedWorkers() {
		if !ready[w.latest.Pool] || !d.mayGetTasks(now, w) {
			continue
		}
		pools[w.latest.Pool] = append(pools[w.latest.Pool], &candidate{
			worker: w, free: d.usageOf(w).free, lent: d.isLent(w), longRunning: d.usageOf(w).longRunning, exposure: d.usageOf(w).exposure, lowLoad: d.hasLowLoad(w.latest.Pool),
		})
	}
	return pools
}

// mayGetTasks reports whether a worker is available and stays so.
func (d *Dispatcher) mayGetTasks(now manager.Time, w *worker) bool {
	leaving := w.latest.Draining || w.evacuating || w.moveOrdered
	heard := w.polling || now.Sub(w.heardAt) <= maxCandidateAge
	return heard && !leaving && !w.endsPending && !w.health.excluded(now) && !d.usageOf(w).unknownRuns
}

// poolOf returns the pool that runs a job, or "" if its queue is not known.
func (d *Dispatcher) poolOf(j *recorder.Job) manager.PoolID {
	return d.queue(j).Pool
}

// queue returns the settings of a job's queue. They are empty if it is not known, as in a snapshot of a version that kept no
// removed queues.
func (d *Dispatcher) queue(j *recorder.Job) manager.QueueSettings {
	q, _ := d.State.Queue(j.Queue)
	return q
}

// shortage holds the requests for which no worker of a pool had capacity in this cycle. Without it, each of hundreds of
// waiting jobs would be compared with every worker of a full pool.
type shortage []manager.Resources

// covers reports whether a request is at least as large as one that found no worker.
func (s shortage) covers(need manager.Resources) bool {
	return slices.ContainsFunc(s, need.Fits)
}

// unconstrained reports whether only free capacity decides which worker may run a task.
func unconstrained(step *manager.GraphStep, t *recorder.Task) bool {
	return step.Requires == "" && step.MaxPerWorker == 0 && !step.LongRunning && t.FailedOn == "" && t.Suspicion() == 0
}

// placeSteps proposes starts of the steps of a job that a rank stands for.
func (d *Dispatcher) placeSteps(now manager.Time, t *jobRank, all []*candidate, unmet *shortage, c *recorder.Changes) {
	j := t.job
	for s, step := range j.Steps {
		if step.LongRunning != t.longRunning || j.Remaining(s) == 0 || !j.StepReady(s) || !d.runnable(&j.Steps[s]) {
			continue
		}
		list := d.permittedCandidates(now, j, s, all)
		if step.Gang {
			d.placeGang(now, t, s, list, c)
			continue
		}
		if d.placeNear(now, t, s, list, len(list) == len(all), unmet, c) {
			continue
		}
		d.placeStep(now, j, s, list, len(list) == len(all), unmet, c)
	}
}

// placeStep proposes starts of the waiting tasks of a step; open means that every worker of the pool may run them.
func (d *Dispatcher) placeStep(now manager.Time, j *recorder.Job, s int, list []*candidate, open bool, unmet *shortage, c *recorder.Changes) {
	perWorker := d.perWorker(j, s)
	order := placementOrder(j, s)
	for i := range j.Tasks[s] {
		if order != nil {
			i = order[i]
		}
		t := &j.Tasks[s][i]
		if t.Done || t.Open != nil {
			continue
		}
		if !d.fitsCap(j, s, 1) {
			d.holdForCap(j, s, 1)
			return
		}
		best := unmet.choose(now, &j.Steps[s], t, perWorker, list, open)
		if best != nil {
			if !d.addStart(d.start(j, s, i, t.LastRun+1, best), c) {
				return
			}
			best.assign(j.Steps[s], t, perWorker)
			continue
		}
		d.backlog[d.poolOf(j)] = true
		if t.Suspicion() == 0 {
			return
		}
	}
}

// start returns the start of a task on a worker.
func (d *Dispatcher) start(j *recorder.Job, s, i int, n manager.RunNumber, w *candidate) recorder.Start {
	d.noteStart(j, s, w.worker)
	return recorder.Start{
		Task: manager.TaskID{Graph: j.Graph.Graph, Step: s, Task: i}, Run: n, Instance: w.instance, VM: w.latest.VM,
		Permit: d.permit(j, s, w.instance),
	}
}

// choose returns the best worker for a task, or nil. It skips the search if a smaller request found no worker; open
// means that every worker of the pool may run the step.
func (s *shortage) choose(now manager.Time, step *manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerInstance]int, list []*candidate, open bool) *candidate {
	onlyCapacity := open && unconstrained(step, t)
	if onlyCapacity && s.covers(step.Reserved()) {
		return nil
	}
	best := chooseWorker(now, *step, t, perWorker, list)
	if best == nil && onlyCapacity {
		*s = append(*s, step.Reserved())
	}
	return best
}

// assign subtracts a task of a step from the worker's free capacity.
func (w *candidate) assign(step manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerInstance]int) {
	w.free = w.free.Sub(step.Reserved())
	w.exposure.count(&step, t, true)
	if step.LongRunning {
		w.longRunning = w.longRunning.Add(step.Reserved())
	}
	if perWorker != nil {
		perWorker[w.instance]++
	}
}

// perWorker counts the open runs of a step on each worker. It returns nil for a step without a limit for each worker.
func (d *Dispatcher) perWorker(j *recorder.Job, s int) map[manager.WorkerInstance]int {
	if j.Steps[s].MaxPerWorker == 0 {
		return nil
	}
	counts := map[manager.WorkerInstance]int{}
	for i := range j.Tasks[s] {
		if r := j.Tasks[s][i].Open; r != nil {
			counts[r.Instance]++
		}
	}
	return counts
}

// chooseWorker returns the best worker for a task, or nil.
func chooseWorker(now manager.Time, step manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerInstance]int, list []*candidate) *candidate {
	var best *candidate
	var bestScore float64
	for _, w := range list {
		if !w.accepts(now, step, t) || step.MaxPerWorker > 0 && perWorker[w.instance] >= step.MaxPerWorker {
			continue
		}
		score := w.score(step, t) - float64(perWorker[w.instance])
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// accepts reports whether the worker may run a task.
func (w *candidate) accepts(now manager.Time, step manager.GraphStep, t *recorder.Task) bool {
	if step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires) {
		return false
	}
	if w.movePending && !step.LongRunning {
		return false
	}
	if t.FailedOn == w.instance.Worker && now.Sub(t.EndedAt) < failedWorkerDelay || w.delays(now, step, t) {
		return false
	}
	// Finite tasks wait for a worker whose report is held, so that they start at once. Gang tasks would wait forever:
	// the reports of a pool with a backlog are answered one by one. Gang tasks that start early wait for the others.
	return (w.polling || step.LongRunning || step.Gang) && w.free.Fits(step.Reserved())
}

// score ranks the workers that may run a task.
func (w *candidate) score(step manager.GraphStep, t *recorder.Task) float64 {
	score := w.bestFit(step.Reserved())
	if step.LongRunning {
		score = w.pack(step.Reserved())
	}
	if step.DataRack != "" && slices.Contains(w.latest.Labels, step.DataRack) {
		score++
	}
	if t.FailedOn == w.instance.Worker {
		score -= failedPenalty
	}
	return score + w.isolationScore(t)
}

// bestFit prefers the worker with the smallest share of its capacity left free, so that other VMs become idle when a load
// peak ends.
func (w *candidate) bestFit(need manager.Resources) float64 {
	score := -leastFree(w.free, need, w.latest.Capacity)
	if w.lowLoad && w.longRunning != (manager.Resources{}) {
		score += notLendableBonus
	}
	return score
}

// pack prefers the worker with the most long-running tasks, so that the others stay free to be lent.
func (w *candidate) pack(need manager.Resources) float64 {
	share := 1 - leastFree(w.latest.Capacity, w.longRunning.Add(need), w.latest.Capacity)
	if share > packLimit {
		share = -share
	}
	if w.lent {
		share -= lentPenalty
	}
	return share
}
