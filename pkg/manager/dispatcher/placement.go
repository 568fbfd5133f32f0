package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// lentPenalty keeps lasting tasks off lent VMs while any other has room.
	lentPenalty = 100
	// packShare is the share of a worker that lasting tasks fill before the next worker gets some; the
	// rest takes those of a neighbour that is emptied.
	packLimit = 0.85
	// freshWorker is the age of the latest report up to which a worker counts as there.
	maxCandidateAge = 1200 * manager.Millisecond
	// avoidTime is how long a task waits for another worker than the one on which it failed; the others
	// report within that.
	failedWorkerDelay = 1500 * manager.Millisecond
	// failedPenalty keeps it away later too, while any other has room.
	failedPenalty = 2
	// baseBonus draws finite tasks of a calm pool to workers that can't be lent anyway.
	notLendableBonus = 1
)

// candidate is a worker that may take tasks: at once if its report waits, else with its next one.
type candidate struct {
	*worker
	free manager.Resources
	// lent says that the VM is another pool's, so that lasting tasks would keep it from going back.
	lent bool
	// lasting is what lasting tasks take.
	lasting manager.Resources
	lowLoad bool
}

// place proposes starts on the workers whose reports wait.
func (d *Dispatcher) place(now manager.Time, c *recorder.Changes) {
	d.backlog = map[manager.PoolID]bool{}
	ready := d.readyPools()
	if len(ready) == 0 {
		return
	}
	pools := d.candidates(now, ready)
	for _, p := range slices.Sorted(maps.Keys(ready)) {
		if len(pools[p]) == 0 {
			d.backlog[p] = true
			continue
		}
		var lack shortage
		for _, t := range d.rankedJobs(now, p) {
			d.placeJob(now, t.job, pools[p], &lack, c)
			if d.gangBlocksPool(now, t.job, c) {
				// Smaller tasks would take the room that the gang waits for.
				break
			}
		}
	}
}

// readyPools returns the pools with tasks whose turn has come.
func (d *Dispatcher) readyPools() map[manager.PoolID]bool {
	ready := map[manager.PoolID]bool{}
	for p, jobs := range d.jobsByPool {
		if slices.ContainsFunc(jobs, hasWaitingTask) {
			ready[p] = true
		}
	}
	return ready
}

// waits tells whether a task of a job waits for a worker.
func hasWaitingTask(j *recorder.Job) bool {
	for s := range j.Steps {
		if j.Remaining(s) > j.OpenRunsIn(s) && j.StepReady(s) {
			return true
		}
	}
	return false
}

// candidates returns the workers that may take tasks, by pool.
func (d *Dispatcher) candidates(now manager.Time, ready map[manager.PoolID]bool) map[manager.PoolID][]*candidate {
	pools := map[manager.PoolID][]*candidate{}
	for _, w := range d.sortedWorkers() {
		if !ready[w.latest.Pool] || w.endsPending || !w.polling && now.Sub(w.heardAt) > maxCandidateAge || w.latest.Draining || w.evacuating || w.movePending || w.health.excluded(now) || d.usageOf(w).unknownRuns {
			continue
		}
		pools[w.latest.Pool] = append(pools[w.latest.Pool], &candidate{
			worker: w, free: d.usageOf(w).free, lent: d.isLent(w), lasting: d.usageOf(w).lasting, lowLoad: d.hasLowLoad(w.latest.Pool),
		})
	}
	return pools
}

// poolOf returns the pool that runs a job, or none while no queue sends it anywhere.
func (d *Dispatcher) poolOf(j *recorder.Job) manager.PoolID {
	return d.queue(j).Pool
}

// queue returns the settings of a job's queue; they are empty while the queue is not in force.
func (d *Dispatcher) queue(j *recorder.Job) manager.QueueSettings {
	if d.State.Configuration == nil {
		return manager.QueueSettings{}
	}
	q, _ := d.State.Configuration.Queue(j.Queue)
	return q
}

// shortage are the needs for which no worker of a pool has room any more in a step. It answers a backlog of hundreds
// of jobs: each would be compared with every worker of a pool that is full.
type shortage []manager.Resources

// covers tells whether a need is at least as large as one that found no room.
func (s shortage) covers(need manager.Resources) bool {
	return slices.ContainsFunc(s, need.Fits)
}

// undemanding tells whether only room decides which worker may run a task.
func unconstrained(step *manager.GraphStep, t *recorder.Task) bool {
	return step.Requires == "" && step.MaxPerWorker == 0 && !step.Lasting && t.FailedOn == ""
}

func (d *Dispatcher) placeJob(now manager.Time, j *recorder.Job, all []*candidate, lack *shortage, c *recorder.Changes) {
	for s, step := range j.Steps {
		if j.Remaining(s) == 0 || !j.StepReady(s) {
			continue
		}
		list := d.permittedCandidates(now, j, s, all)
		if step.Gang {
			d.placeGang(now, j, s, list, c)
			continue
		}
		perWorker := d.perWorker(j, s)
		for i := range j.Tasks[s] {
			t := &j.Tasks[s][i]
			if t.Done || t.Open != nil {
				continue
			}
			best := lack.choose(now, &j.Steps[s], t, perWorker, list, len(list) == len(all))
			if best == nil {
				d.backlog[d.poolOf(j)] = true
				break
			}
			best.assign(step, perWorker)
			c.Start = append(c.Start, recorder.Start{
				Task: manager.TaskID{Graph: j.Graph.Graph, Step: s, Task: i}, Run: t.LastRun + 1, Instance: best.instance,
				Permit: d.permit(j, s, best.instance),
			})
		}
	}
}

// choose returns the worker that suits a task best, without a look at them where a task that needs less found none;
// open says that all workers of the pool may run the step.
func (s *shortage) choose(now manager.Time, step *manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerLife]int, list []*candidate, open bool) *candidate {
	roomDecides := open && unconstrained(step, t)
	if roomDecides && s.covers(stepResources(*step)) {
		return nil
	}
	best := chooseWorker(now, *step, t, perWorker, list)
	if best == nil && roomDecides {
		*s = append(*s, stepResources(*step))
	}
	return best
}

// give counts a task of a step against the worker.
func (w *candidate) assign(step manager.GraphStep, perWorker map[manager.WorkerLife]int) {
	w.free = w.free.Sub(stepResources(step))
	if step.Lasting {
		w.lasting = w.lasting.Add(stepResources(step))
	}
	if perWorker != nil {
		perWorker[w.instance]++
	}
}

// perWorker counts the step's tasks on each worker, or returns nil for a step without a bound.
func (d *Dispatcher) perWorker(j *recorder.Job, s int) map[manager.WorkerLife]int {
	if j.Steps[s].MaxPerWorker == 0 {
		return nil
	}
	counts := map[manager.WorkerLife]int{}
	for i := range j.Tasks[s] {
		if r := j.Tasks[s][i].Open; r != nil {
			counts[r.Instance]++
		}
	}
	return counts
}

// choose returns the worker that suits a task best.
func chooseWorker(now manager.Time, step manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerLife]int, list []*candidate) *candidate {
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

// takes tells whether the worker may run a task.
func (w *candidate) accepts(now manager.Time, step manager.GraphStep, t *recorder.Task) bool {
	if step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires) {
		return false
	}
	if t.FailedOn == w.instance.Worker && now.Sub(t.EndedAt) < failedWorkerDelay {
		return false
	}
	// Finite tasks wait for a worker that can begin at once. Those of a gang would wait for ever, as the reports
	// of a pool with a backlog are answered one by one; they wait for each other instead.
	return (w.polling || step.Lasting || step.Gang) && w.free.Fits(stepResources(step))
}

// score ranks the workers that may run a task.
func (w *candidate) score(step manager.GraphStep, t *recorder.Task) float64 {
	score := w.spread(stepResources(step))
	if step.Lasting {
		score = w.pack(stepResources(step))
	}
	if step.DataRack != "" && slices.Contains(w.latest.Labels, step.DataRack) {
		score++
	}
	if t.FailedOn == w.instance.Worker {
		score -= failedPenalty
	}
	return score
}

// spread prefers the worker with the largest share of its capacity left afterwards.
func (w *candidate) spread(need manager.Resources) float64 {
	score := leastFree(w.free, need, w.latest.Capacity)
	if w.lowLoad && w.lasting != (manager.Resources{}) {
		score += notLendableBonus
	}
	return score
}

// pack prefers the worker with the most lasting tasks, so that the others stay free to be lent.
func (w *candidate) pack(need manager.Resources) float64 {
	share := 1 - leastFree(w.latest.Capacity, w.lasting.Add(need), w.latest.Capacity)
	if share > packLimit {
		share = -share
	}
	if w.lent {
		share -= lentPenalty
	}
	return share
}
