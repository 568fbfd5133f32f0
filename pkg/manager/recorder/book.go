package recorder

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultEndedRetention is how long an ended job is kept so that its caller can read its state.
const DefaultEndedRetention = 150 * manager.Second

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	At            manager.Time
	Configuration *manager.FleetConfiguration `json:",omitempty"`
	Jobs          map[manager.GraphID]*Job
	Waves         map[uint64]*Wave
	// Moves holds the target pools of VMs that are moving between pools.
	Moves map[manager.VMID]manager.PoolID `json:",omitempty"`
	// Homes holds the original pools of lent VMs: the pool that a VM left in its first move.
	Homes map[manager.VMID]manager.PoolID `json:",omitempty"`
	// OrderedAt is when a platform order for a VM, or its outcome, was last recorded.
	OrderedAt map[manager.VMID]manager.Time `json:",omitempty"`
	// Times holds the statistics of task durations, by queue.
	Times map[manager.QueueID]*QueueTimes `json:",omitempty"`
	// Ended lists the ended jobs, oldest first.
	Ended    []manager.GraphID
	Departed Departed `json:",omitzero"`

	active  map[manager.GraphID]*Job
	runs    map[manager.WorkerInstance]map[manager.TaskID]*Run
	expired map[manager.WorkerInstance]map[manager.TaskID]ExpiredRun
	pending map[manager.QueueID]int
	inUse   map[manager.CustomerID]manager.Resources
	// bytes is the size of the state.
	bytes int64
}

// Job is a job and its progress.
type Job struct {
	manager.Graph
	Accepted manager.Time
	State    manager.GraphState
	EndedAt  manager.Time `json:",omitempty"`
	Started  bool         `json:",omitempty"`
	// WaitedMs is the time from the job's acceptance to its first run.
	WaitedMs manager.Duration `json:",omitempty"`
	// DueSince is when the first occurrence of a repeating job started.
	DueSince manager.Time `json:",omitempty"`
	// Occurred is the number of occurrences that have started. Unfinished is how many of them have not ended, without
	// the first one, which is the job itself.
	Occurred   int `json:",omitempty"`
	Unfinished int `json:",omitempty"`
	// Tasks holds the tasks of each step. They are dropped once the job has ended and none of its runs is open.
	Tasks [][]Task `json:",omitempty"`

	// remaining counts the tasks of each step that are not done; openByStep counts its open runs.
	remaining  []int
	openByStep []int
	openRuns   int
	// suspects counts the tasks that may have crashed a worker.
	suspects int
	// origin is the repeating job of a later occurrence, whose payload and steps it shares.
	origin *Job
	bytes  int64
}

// Task is one task of a step.
type Task struct {
	Done     bool               `json:",omitempty"`
	Failures int                `json:",omitempty"`
	LastRun  manager.RunNumber  `json:",omitempty"`
	Saved    manager.Checkpoint `json:",omitempty"`
	Open     *Run               `json:",omitempty"`
	// FailedOn is the worker of the latest failed run.
	FailedOn manager.WorkerID `json:",omitempty"`
	// EndedAt is when the latest run ended.
	EndedAt manager.Time `json:",omitempty"`
	// FailedRun is the latest failed run of a gang. It is kept on the gang's first task.
	FailedRun manager.RunNumber `json:",omitempty"`
	// Crashes is the number of workers that crashed within CrashWindow after they were told to start the task. Suspected
	// counts those that the task may have crashed, and CrashedOn are their VMs.
	Crashes   int            `json:",omitempty"`
	Suspected int            `json:",omitempty"`
	CrashedOn []manager.VMID `json:",omitempty"`
	// Expired are the latest runs that were just starting when the lease of their worker expired, until it shows whether the worker crashed.
	Expired []ExpiredRun `json:",omitempty"`
}

// Run is an open run of a task, which a worker may be executing.
type Run struct {
	Number   manager.RunNumber
	Instance manager.WorkerInstance `json:"Life"`
	VM       manager.VMID           `json:",omitempty"`
	At       manager.Time
	Permit   manager.Permit `json:",omitempty"`
}

// Wave is a maintenance wave and the progress of its VMs.
type Wave struct {
	manager.MaintenanceRequest
	Accepted manager.Time
	State    map[manager.VMID]MaintenanceState
	// InstanceStart holds the start of the worker instance that ran on each VM when its maintenance was ordered.
	InstanceStart map[manager.VMID]manager.Time `json:"Born"`
}

// Completed reports whether the maintenance of every VM of the wave is done or the VM no longer exists.
func (w *Wave) Completed() bool {
	for _, vm := range w.VMs {
		if w.State[vm] != MaintenanceDone {
			return false
		}
	}
	return true
}

// New returns an empty state.
func New() *State {
	st := &State{
		Jobs: map[manager.GraphID]*Job{}, Waves: map[uint64]*Wave{}, Moves: map[manager.VMID]manager.PoolID{},
		Homes: map[manager.VMID]manager.PoolID{}, OrderedAt: map[manager.VMID]manager.Time{}, Times: map[manager.QueueID]*QueueTimes{},
	}
	st.buildIndexes()
	return st
}

// Snapshot encodes the state. Occurrences are encoded without what they share with their repeating job.
func (st *State) Snapshot() ([]byte, error) {
	encoded := *st
	encoded.Jobs = make(map[manager.GraphID]*Job, len(st.Jobs))
	for id, j := range st.Jobs {
		encoded.Jobs[id] = j
		if j.origin != nil && st.Jobs[j.origin.Graph.Graph] == j.origin {
			own := *j
			own.Payload, own.Steps = "", nil
			encoded.Jobs[id] = &own
		}
	}
	data, err := json.Marshal(&encoded)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Restore replaces the state with one that Snapshot has encoded.
func (st *State) Restore(data []byte) error {
	restored := New()
	if err := json.Unmarshal(data, restored); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	restored.buildIndexes()
	*st = *restored
	return nil
}

// buildIndexes rebuilds the fields that are derived from the stored ones.
func (st *State) buildIndexes() {
	st.active = map[manager.GraphID]*Job{}
	st.runs = map[manager.WorkerInstance]map[manager.TaskID]*Run{}
	st.expired = map[manager.WorkerInstance]map[manager.TaskID]ExpiredRun{}
	st.pending = map[manager.QueueID]int{}
	st.inUse = map[manager.CustomerID]manager.Resources{}
	if st.Configuration != nil {
		st.Configuration.Index()
	}
	st.bytes = measureConfiguration(st.Configuration)
	for _, w := range st.Waves {
		st.bytes += measureWave(w)
	}
	for _, j := range st.Jobs {
		if j.State.Ended() && j.Tasks == nil {
			st.dropSpec(j)
		}
	}
	st.linkOccurrences()
	for id, j := range st.Jobs {
		j.remaining, j.openByStep = make([]int, len(j.Steps)), make([]int, len(j.Steps))
		j.openRuns, j.suspects = 0, 0
		for s := range j.Tasks {
			for i := range j.Tasks[s] {
				st.indexTask(manager.TaskID{Graph: id, Step: s, Task: i}, j, &j.Tasks[s][i])
			}
		}
		j.bytes = j.measure()
		st.bytes += j.bytes
		if j.State.Ended() {
			continue
		}
		st.active[id] = j
		if !j.Started && !j.isOccurrence() {
			st.pending[j.Queue]++
		}
	}
}

func (st *State) indexTask(id manager.TaskID, j *Job, t *Task) {
	if !t.Done {
		j.remaining[id.Step]++
	}
	if t.Suspicion() > 0 {
		j.suspects++
	}
	for _, e := range t.Expired {
		st.indexExpired(id, e)
	}
	if t.Open != nil {
		j.openRuns++
		j.openByStep[id.Step]++
		st.addRun(id, t.Open)
		st.addUse(j, id.Step)
	}
}

func (st *State) addRun(t manager.TaskID, r *Run) {
	if st.runs[r.Instance] == nil {
		st.runs[r.Instance] = map[manager.TaskID]*Run{}
	}
	st.runs[r.Instance][t] = r
}

// Active returns the jobs that have not ended.
func (st *State) Active() map[manager.GraphID]*Job { return st.active }

// Runs returns the open runs of a worker instance.
func (st *State) Runs(l manager.WorkerInstance) map[manager.TaskID]*Run { return st.runs[l] }

// Instances returns, in no particular order, the worker instances with open runs for which pass returns true.
func (st *State) Instances(pass func(manager.WorkerInstance) bool) []manager.WorkerInstance {
	return instances(st.runs, pass)
}

// ExpiredInstances returns, in no particular order, the worker instances with expired runs for which pass returns true.
func (st *State) ExpiredInstances(pass func(manager.WorkerInstance) bool) []manager.WorkerInstance {
	return instances(st.expired, pass)
}

func instances[V any](m map[manager.WorkerInstance]V, pass func(manager.WorkerInstance) bool) []manager.WorkerInstance {
	var list []manager.WorkerInstance
	for w := range m {
		if pass(w) {
			list = append(list, w)
		}
	}
	return list
}

// Pending returns the number of accepted jobs of a queue that have not started.
func (st *State) Pending(q manager.QueueID) int { return st.pending[q] }

// Task returns a task and its job. Either is nil if it does not exist.
func (st *State) Task(id manager.TaskID) (*Job, *Task) {
	j := st.Jobs[id.Graph]
	if j == nil || id.Step >= len(j.Tasks) || id.Task >= len(j.Tasks[id.Step]) {
		return j, nil
	}
	return j, &j.Tasks[id.Step][id.Task]
}

// OpenRun returns the open run of a task if it has the given number, and nil otherwise.
func (st *State) OpenRun(id manager.TaskID, n manager.RunNumber) *Run {
	_, t := st.Task(id)
	if t == nil || t.Open == nil || t.Open.Number != n {
		return nil
	}
	return t.Open
}

// StepReady reports whether all steps that a step depends on are done.
func (j *Job) StepReady(s int) bool {
	for _, n := range j.Steps[s].DependsOn {
		if j.remaining[n] > 0 {
			return false
		}
	}
	return true
}

// Remaining returns the number of tasks of a step that are not done.
func (j *Job) Remaining(s int) int { return j.remaining[s] }

// OpenRunsIn returns the number of open runs of a step.
func (j *Job) OpenRunsIn(s int) int { return j.openByStep[s] }

// OpenRuns returns the number of open runs of the job.
func (j *Job) OpenRuns() int { return j.openRuns }

// HasSuspects reports whether a task of the job may have crashed a worker.
func (j *Job) HasSuspects() bool { return j.suspects > 0 }

// HasRemaining reports whether a task of the job is not done.
func (j *Job) HasRemaining() bool {
	return slices.ContainsFunc(j.remaining, func(n int) bool { return n > 0 })
}

// Origin returns the repeating job of a later occurrence, and nil for other jobs.
func (j *Job) Origin() *Job { return j.origin }
