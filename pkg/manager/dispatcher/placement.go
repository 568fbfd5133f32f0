package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// candidate is a worker whose report waits for an order.
type candidate struct {
	*worker
	room manager.Resources
	// given counts the starts of this step of placement.
	given int
}

// turn is a job in the order in which its tasks get workers.
type turn struct {
	job *recorder.Job
	// class 0 are lasting jobs, 1 those that can meet their objective, 2 late ones.
	class    int
	priority int
	// due is when the job has to be started at the latest to meet its objective.
	due manager.Time
}

// place proposes starts on the workers whose reports wait.
func (d *Dispatcher) place(now manager.Time, c *recorder.Changes) {
	pools := d.candidates(now)
	if len(pools) == 0 {
		return
	}
	for _, t := range d.turns(now) {
		if list := pools[d.poolOf(t.job)]; len(list) > 0 {
			d.placeJob(now, t.job, list, c)
		}
	}
}

// candidates returns the parked workers with room, by pool.
func (d *Dispatcher) candidates(now manager.Time) map[manager.PoolID][]*candidate {
	pools := map[manager.PoolID][]*candidate{}
	for _, w := range d.sorted() {
		if !w.parked || w.ending || w.latest.Draining || w.evacuating || w.health.distrusted(now) || d.foreign(w) {
			continue
		}
		pools[w.latest.Pool] = append(pools[w.latest.Pool], &candidate{worker: w, room: d.room(w)})
	}
	return pools
}

// poolOf returns the pool that runs a job, or none while no queue sends it anywhere.
func (d *Dispatcher) poolOf(j *recorder.Job) manager.PoolID {
	return d.queue(j).Pool
}

// queue returns the settings of a job's queue; they are empty while the queue is not in force.
func (d *Dispatcher) queue(j *recorder.Job) manager.QueueSettings {
	if d.Book.Configuration == nil {
		return manager.QueueSettings{}
	}
	q, _ := d.Book.Configuration.Queue(j.Queue)
	return q
}

// turns returns the active jobs in the order in which they get workers.
func (d *Dispatcher) turns(now manager.Time) []turn {
	list := make([]turn, 0, len(d.Book.Active()))
	for _, j := range d.Book.Active() {
		t := turn{job: j, due: d.due(j)}
		t.priority = d.queue(j).Priority
		switch {
		case j.Lasting():
			t.class = 0
		case now <= t.due:
			t.class = 1
		default:
			t.class = 2
		}
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.due, b.due), cmp.Compare(a.job.Graph.Graph, b.job.Graph.Graph))
	})
	return list
}

// due returns when the rest of a job has to run without a pause to meet its objective.
func (d *Dispatcher) due(j *recorder.Job) manager.Time {
	return d.objective(j).Add(-d.times.chain(j))
}

// objective returns when a job should be complete.
func (d *Dispatcher) objective(j *recorder.Job) manager.Time {
	q := d.queue(j)
	whole := d.times.chainOf(j.Graph)
	return j.Accepted.Add(manager.Duration(q.Stretch*float64(whole)) + q.SlackMs)
}

func (d *Dispatcher) placeJob(now manager.Time, j *recorder.Job, list []*candidate, c *recorder.Changes) {
	for s, step := range j.Steps {
		if j.Left(s) == 0 || !j.StepReady(s) {
			continue
		}
		perWorker := d.perWorker(j, s)
		for i := range j.Tasks[s] {
			t := &j.Tasks[s][i]
			if t.Done || t.Open != nil {
				continue
			}
			best := choose(step, t, perWorker, list)
			if best == nil {
				break
			}
			best.room = best.room.Sub(stepRoom(step))
			best.given++
			if perWorker != nil {
				perWorker[best.life]++
			}
			c.Start = append(c.Start, recorder.Start{
				Task: manager.TaskID{Graph: j.Graph.Graph, Step: s, Task: i}, Run: t.LastRun + 1, Life: best.life,
			})
		}
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
			counts[r.Life]++
		}
	}
	return counts
}

// choose returns the worker with the largest share of its processors free.
func choose(step manager.GraphStep, t *recorder.Task, perWorker map[manager.WorkerLife]int, list []*candidate) *candidate {
	var best *candidate
	var bestScore float64
	need := stepRoom(step)
	for _, w := range list {
		if !w.room.Fits(need) || step.MaxPerWorker > 0 && perWorker[w.life] >= step.MaxPerWorker {
			continue
		}
		if step.Requires != "" && !slices.Contains(w.latest.Labels, step.Requires) {
			continue
		}
		score := float64(w.room.ProcessorMilliCores) / float64(max(1, w.latest.Capacity.ProcessorMilliCores))
		if step.DataRack != "" && slices.Contains(w.latest.Labels, step.DataRack) {
			score++
		}
		if t.FailedOn == w.life.Worker {
			score -= 2
		}
		score -= float64(perWorker[w.life])
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}
