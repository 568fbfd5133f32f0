package dispatcher_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// lasts returns how long a task takes on the worker.
func (w *fakeWorker) lasts(id manager.TaskID) manager.Duration {
	if w.f.duration == nil {
		return w.taskTime
	}
	return w.f.duration(w, id)
}

// rackLoad is a load on a pool of racks, whose tasks take longer remote from their data or their group.
type rackLoad struct {
	name            string
	workers, inRack int
	factor          float64
	// need is the processors of a task, and taskTime its mean duration near its data.
	need     manager.MilliCores
	taskTime manager.Duration
	// count is the number of tasks of each step, and steps how many steps depend on each other.
	count, steps int
	sensitive    bool
	// rate returns the work that arrives at a time since the start, as a share of what the pool does if all runs are local.
	rate func(manager.Duration) float64
	// hot is the share of jobs whose data is on the first rack.
	hot float64
	// lostAt is when the first rack is lost; 0 means never.
	lostAt manager.Duration
	lasts  manager.Duration
	// extra loads are played with small racks and the larger factor only.
	extra bool
}

// rackCores is the processors of a worker: half of those of the deployments, whose workers have 32 cores.
const rackCores = 16_000

// rackFleet is a fleet with the load of a rackLoad.
type rackFleet struct {
	*fleet
	load  rackLoad
	rng   *rand.Rand
	start manager.Time
	// racksOf holds the racks on which tasks of a step have started, and jobs the objective of each job.
	racksOf map[dispatcher.StepID]map[manager.Label]bool
	jobs    map[manager.GraphID]*rackJob
	calls   map[dispatcher.CallID]manager.GraphID
	pending float64
	result  rackResult
}

type rackJob struct {
	submitted manager.Time
	objective manager.Duration
	ended     bool
}

// rackResult is what a policy achieves.
type rackResult struct {
	jobs, refused, unfinished int
	total                     manager.Duration
	onTime                    int
	paid, lost                int
	remoteRuns, localRuns     int
	// reasons counts why waits ended.
	reasons map[manager.LocalityReason]int
}

func (r rackResult) mean() float64 { return float64(r.total) / float64(max(1, r.jobs)) }

func (r rackResult) share() float64 { return float64(r.onTime) / float64(max(1, r.jobs)) }

func (r rackResult) remote() float64 {
	return float64(r.remoteRuns) / float64(max(1, r.remoteRuns+r.localRuns))
}

// add adds the jobs of another run.
func (r *rackResult) add(o rackResult) {
	r.jobs += o.jobs
	r.refused += o.refused
	r.unfinished += o.unfinished
	r.total += o.total
	r.onTime += o.onTime
	r.paid += o.paid
	r.lost += o.lost
	r.remoteRuns += o.remoteRuns
	r.localRuns += o.localRuns
	if r.reasons == nil {
		r.reasons = map[manager.LocalityReason]int{}
	}
	for reason, n := range o.reasons {
		r.reasons[reason] += n
	}
}

func (r rackResult) String() string {
	return fmt.Sprintf("mean %4.0f ms, on time %.3f, remote %.2f (%d jobs, %d refused, %d unfinished; waits paid %d, lost %d: %v)",
		r.mean(), r.share(), r.remote(), r.jobs, r.refused, r.unfinished, r.paid, r.lost, r.reasons)
}

// sortedTasks returns the tasks in order, so that a run of the tests is repeatable.
func sortedTasks(m map[manager.TaskID]manager.Time) []manager.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b manager.TaskID) int {
		return cmp.Or(cmp.Compare(a.Graph, b.Graph), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
	})
}

func rackLabel(i int) manager.Label { return manager.Label(fmt.Sprintf("r%02d", i)) }

func newRackFleet(t require.TestingT, l rackLoad, policy manager.LocalityPolicy, seed uint64) *rackFleet {
	r := &rackFleet{
		fleet: newFleet(t), load: l, rng: rand.New(rand.NewPCG(seed, 11)), racksOf: map[dispatcher.StepID]map[manager.Label]bool{},
		jobs: map[manager.GraphID]*rackJob{}, calls: map[dispatcher.CallID]manager.GraphID{},
		result: rackResult{reasons: map[manager.LocalityReason]int{}},
	}
	r.options = dispatcher.Options{RemoteFactor: l.factor, Locality: policy}
	r.startDispatcher(2)
	for i := range l.workers {
		w := r.worker(manager.WorkerID(fmt.Sprintf("w%03d", i)), pool, rackCores)
		w.report.Rack = rackLabel(i / l.inRack)
		w.report.Labels = []manager.Label{w.report.Rack}
		w.nextReportAt = r.now.Add(manager.Duration(r.rng.IntN(300)))
		w.onStart = r.noteStart(w)
	}
	r.duration = r.taskDuration
	r.onLog = r.record
	return r
}

// noteStart returns what records the racks of the starts of a worker.
func (r *rackFleet) noteStart(w *fakeWorker) func(manager.StartOrder) bool {
	return func(o manager.StartOrder) bool {
		id := dispatcher.StepID{Graph: o.Task.Graph, Step: o.Task.Step}
		if r.racksOf[id] == nil {
			r.racksOf[id] = map[manager.Label]bool{}
		}
		r.racksOf[id][w.report.Rack] = true
		return true
	}
}

// localDuration returns how long a task takes near its data: the same for every policy.
func (r *rackFleet) localDuration(id manager.TaskID) manager.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, id)
	rng := rand.New(rand.NewPCG(h.Sum64(), 5))
	return manager.DurationOf(float64(r.load.taskTime) * (0.7 + 0.6*rng.Float64()))
}

func (r *rackFleet) taskDuration(w *fakeWorker, id manager.TaskID) manager.Duration {
	local := r.localDuration(id)
	if j := r.state.Jobs[id.Graph]; j != nil && r.isRemote(w, j.Steps[id.Step], id) {
		return manager.DurationOf(float64(local) * r.load.factor)
	}
	return local
}

func (r *rackFleet) isRemote(w *fakeWorker, s manager.GraphStep, id manager.TaskID) bool {
	return s.DataRack != "" && s.DataRack != w.report.Rack ||
		s.PreferSameRack && len(r.racksOf[dispatcher.StepID{Graph: id.Graph, Step: id.Step}]) > 1
}

func (r *rackFleet) record(line dispatcher.LogLine) {
	if w := line.Waited; w != nil {
		r.result.reasons[w.Reason]++
		if w.PaidOff {
			r.result.paid++
		} else {
			r.result.lost++
		}
	}
	if line.Message != manager.LogJobEnded {
		return
	}
	j := r.jobs[line.Fields[1].(manager.GraphID)]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	took := r.now.Sub(j.submitted)
	r.result.total += took
	if took <= j.objective && line.Ended.State == manager.GraphCompleted {
		r.result.onTime++
	}
}

// submitJobs submits the jobs of one tick.
func (r *rackFleet) submitJobs(tick manager.Duration) {
	slots := float64(r.load.workers * (rackCores / int(r.load.need)))
	perSecond := r.load.rate(r.now.Sub(r.start)) * slots / r.load.taskTime.Std().Seconds() / float64(r.load.count*r.load.steps)
	r.pending += perSecond * tick.Std().Seconds() * 2 * r.rng.Float64()
	for ; r.pending >= 1; r.pending-- {
		id := manager.GraphID(fmt.Sprintf("job-%05d", len(r.jobs)))
		rack := rackLabel(r.rng.IntN((r.load.workers + r.load.inRack - 1) / r.load.inRack))
		if r.rng.Float64() < r.load.hot {
			rack = rackLabel(0)
		}
		var steps []manager.GraphStep
		var path manager.Duration
		for s := range r.load.steps {
			step := manager.GraphStep{Count: r.load.count, EstimateMs: r.load.taskTime, PerTask: manager.Resources{ProcessorMilliCores: r.load.need, MemoryMegaBytes: 100}}
			if r.load.sensitive {
				step.PreferSameRack = true
			} else {
				step.DataRack = rack
			}
			if s > 0 {
				step.DependsOn = []int{s - 1}
			}
			steps = append(steps, step)
			var longest manager.Duration
			for i := range r.load.count {
				longest = max(longest, r.localDuration(manager.TaskID{Graph: id, Step: s, Task: i}))
			}
			path += longest
		}
		r.jobs[id] = &rackJob{submitted: r.now, objective: manager.DurationOf(1.6*float64(path)) + 3600}
		r.calls[r.submit(id, steps...)] = id
	}
}

// play plays the load and returns its result.
func (r *rackFleet) play() rackResult {
	const tick = 50 * manager.Millisecond
	r.run(1 * manager.Second)
	r.start = r.now
	for r.now.Sub(r.start) < r.load.lasts {
		if r.load.lostAt > 0 && r.now.Sub(r.start) == r.load.lostAt {
			for _, w := range r.workers {
				w.silent = w.silent || w.report.Rack == rackLabel(0)
			}
		}
		r.submitJobs(tick)
		r.run(tick)
	}
	for range 60 {
		if len(r.state.Active()) == 0 {
			break
		}
		r.run(500)
	}
	r.result.jobs = len(r.jobs)
	for call, id := range r.calls {
		j := r.jobs[id]
		if j.ended {
			continue
		}
		// A refused or unfinished job counts as one that is overdue.
		r.result.total += 3 * j.objective
		if r.answers[call].Err != nil {
			r.result.refused++
		} else {
			r.result.unfinished++
		}
	}
	r.countRemote()
	return r.result
}

// countRemote counts the runs that were remote from their data or their group.
func (r *rackFleet) countRemote() {
	for _, w := range r.workers {
		for _, s := range w.started {
			step := manager.GraphStep{PreferSameRack: r.load.sensitive}
			if j := r.state.Jobs[s.Task.Graph]; j != nil {
				step = j.Steps[s.Task.Step]
			}
			if r.isRemote(w, step, s.Task) {
				r.result.remoteRuns++
			} else {
				r.result.localRuns++
			}
		}
	}
}
