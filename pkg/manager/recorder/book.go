package recorder

import (
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultEndedRetention is how long the state of an ended job is kept for its caller.
const DefaultEndedRetention = 150 * manager.Second

// State is the replicated state; it is not safe for concurrent use.
type State struct {
	At            manager.Time
	Configuration *manager.FleetConfiguration `json:",omitempty"`
	Jobs          map[manager.GraphID]*Job
	Waves         map[uint64]*Wave
	// Moves are the VMs that are ordered into another pool.
	Moves map[manager.VMID]manager.PoolID `json:",omitempty"`
	// Homes are the pools from which VMs were lent when they first moved.
	Homes map[manager.VMID]manager.PoolID `json:",omitempty"`
	// OrderedAt is when something about a VM was last ordered from the platform.
	OrderedAt map[manager.VMID]manager.Time `json:",omitempty"`
	// Times are the learned times of each queue's tasks.
	Times map[manager.QueueID]*QueueTimes `json:",omitempty"`
	// Ended lists the ended jobs, the oldest first.
	Ended []manager.GraphID

	active  map[manager.GraphID]*Job
	runs    map[manager.WorkerLife]map[manager.TaskID]*Run
	pending map[manager.QueueID]int
}

// Job is a job of steps and how far it is.
type Job struct {
	manager.Graph
	Accepted manager.Time
	State    manager.GraphState
	EndedAt  manager.Time `json:",omitempty"`
	Started  bool         `json:",omitempty"`
	// WaitedMs is the time from the job's acceptance to its first start.
	WaitedMs manager.Duration `json:",omitempty"`
	// DueSince is when the first occurrence of a job that repeats began.
	DueSince manager.Time `json:",omitempty"`
	// Occurred is the number of occurrences that have begun, Unfinished that of those but the first which are
	// not over.
	Occurred   int `json:",omitempty"`
	Unfinished int `json:",omitempty"`
	// Tasks are those of each step; they are dropped once the job has ended and nothing runs.
	Tasks [][]Task `json:",omitempty"`

	// remaining and running count the tasks of each step that are not done and that have an open run.
	remaining  []int
	openByStep []int
	openRuns   int
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
	// FailedRun is the latest run in which a gang failed; its first task keeps it.
	FailedRun manager.RunNumber `json:",omitempty"`
}

// Run is a run of a task that may be at work.
type Run struct {
	Number   manager.RunNumber
	Instance manager.WorkerLife `json:"Life"`
	At       manager.Time
	Permit   manager.Permit `json:",omitempty"`
}

// Wave is an upkeep wave and how far its VMs are.
type Wave struct {
	manager.UpkeepWave
	Accepted manager.Time
	State    map[manager.VMID]MaintenanceState
	// InstanceStart is the life that each VM had when its upkeep was ordered.
	InstanceStart map[manager.VMID]manager.Time `json:"Born"`
}

// Completed tells whether every VM of the wave had its upkeep or is gone.
func (w *Wave) Completed() bool {
	for _, vm := range w.VMs {
		if w.State[vm] != MaintenanceDone {
			return false
		}
	}
	return true
}

// New returns an empty book.
func New() *State {
	b := &State{
		Jobs: map[manager.GraphID]*Job{}, Waves: map[uint64]*Wave{}, Moves: map[manager.VMID]manager.PoolID{},
		Homes: map[manager.VMID]manager.PoolID{}, OrderedAt: map[manager.VMID]manager.Time{}, Times: map[manager.QueueID]*QueueTimes{},
	}
	b.buildIndexes()
	return b
}

// Snapshot encodes the book.
func (st *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(st)
	if err != nil {
		return nil, fmt.Errorf("encode book: %w", err)
	}
	return data, nil
}

// Restore replaces the book by what Snapshot returned.
func (st *State) Restore(data []byte) error {
	restored := New()
	if err := json.Unmarshal(data, restored); err != nil {
		return fmt.Errorf("decode book: %w", err)
	}
	restored.buildIndexes()
	*st = *restored
	return nil
}

// buildIndexes builds what is derived from the other fields.
func (st *State) buildIndexes() {
	st.active = map[manager.GraphID]*Job{}
	st.runs = map[manager.WorkerLife]map[manager.TaskID]*Run{}
	st.pending = map[manager.QueueID]int{}
	if st.Configuration != nil {
		st.Configuration.Index()
	}
	for id, j := range st.Jobs {
		j.remaining, j.openByStep = make([]int, len(j.Steps)), make([]int, len(j.Steps))
		j.openRuns = 0
		for s := range j.Tasks {
			for i := range j.Tasks[s] {
				t := &j.Tasks[s][i]
				if !t.Done {
					j.remaining[s]++
				}
				if t.Open != nil {
					j.openRuns++
					j.openByStep[s]++
					st.addRun(manager.TaskID{Graph: id, Step: s, Task: i}, t.Open)
				}
			}
		}
		if j.State.Ended() {
			continue
		}
		st.active[id] = j
		if !j.Started && !j.isOccurrence() {
			st.pending[j.Queue]++
		}
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

// Runs returns the open runs of one life of a worker.
func (st *State) Runs(l manager.WorkerLife) map[manager.TaskID]*Run { return st.runs[l] }

// Instances returns the lives that hold open runs and pass, in no order.
func (st *State) Instances(pass func(manager.WorkerLife) bool) []manager.WorkerLife {
	var list []manager.WorkerLife
	for w := range st.runs {
		if pass(w) {
			list = append(list, w)
		}
	}
	return list
}

// Pending returns the number of a queue's accepted jobs that have not started.
func (st *State) Pending(q manager.QueueID) int { return st.pending[q] }

// Task returns a task and its job, or nil.
func (st *State) Task(id manager.TaskID) (*Job, *Task) {
	j := st.Jobs[id.Graph]
	if j == nil || id.Step >= len(j.Tasks) || id.Task >= len(j.Tasks[id.Step]) {
		return j, nil
	}
	return j, &j.Tasks[id.Step][id.Task]
}

// OpenRun returns the open run of a task if it has this number, or nil.
func (st *State) OpenRun(id manager.TaskID, n manager.RunNumber) *Run {
	_, t := st.Task(id)
	if t == nil || t.Open == nil || t.Open.Number != n {
		return nil
	}
	return t.Open
}

// StepReady tells whether the steps that a step needs are done.
func (j *Job) StepReady(s int) bool {
	for _, n := range j.Steps[s].Needs {
		if j.remaining[n] > 0 {
			return false
		}
	}
	return true
}

// Remaining returns the number of a step's tasks that are not done.
func (j *Job) Remaining(s int) int { return j.remaining[s] }

// OpenRunsIn returns the number of runs of a step that may be at work.
func (j *Job) OpenRunsIn(s int) int { return j.openByStep[s] }

// OpenRuns returns the number of runs of the job that may be at work.
func (j *Job) OpenRuns() int { return j.openRuns }

// Lasting tells whether the job runs until it is cancelled.
func (j *Job) Lasting() bool { return j.Steps[0].Lasting }
