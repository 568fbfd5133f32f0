package manager

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Ids of job graphs and of the workers that run their tasks.
type (
	// GraphID identifies a job graph; the caller chooses it.
	GraphID string
	// QueueID identifies a queue of the fleet's configuration.
	QueueID string
	// WorkerID identifies a worker; it stays the same across restarts of the worker.
	WorkerID string
	// RunNumber counts the runs of a task.
	RunNumber uint64
	// Checkpoint is saved progress, opaque to the manager; empty means none.
	Checkpoint string
	// ImageID identifies the image that the tasks of a step run.
	ImageID string
	// Label is an attribute of a worker, such as its kind or rack.
	Label string
	// FencingToken is the fencing token of a dispatcher; a worker rejects orders with a lower token than it has seen.
	FencingToken uint64
)

// WorkerInstance is one start of a worker process. After a restart, the worker has no runs and no state.
type WorkerInstance struct {
	Worker WorkerID
	// StartedAt is the start time of the process by the worker's wall clock.
	StartedAt Time `json:"Born"`
}

// TaskID identifies a task of a job graph.
type TaskID struct {
	Graph GraphID
	// Step and Task are indexes, starting at 0.
	Step int
	Task int
}

// String formats the ID as Graph.Occurrence.Step.Task.
func (t TaskID) String() string {
	g, k := t.Graph.Split()
	return fmt.Sprintf("%s.%d.%d.%d", g, k, t.Step, t.Task)
}

// MarshalText encodes the ID in the format of String.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes the format of MarshalText.
func (t *TaskID) UnmarshalText(data []byte) error {
	parsed, err := ParseTaskID(string(data))
	*t = parsed
	return err
}

// maxQuotedBytes limits what an error quotes of a text that comes from outside.
const maxQuotedBytes = 80

// ParseTaskID decodes the format of TaskID.String. The ID of the job graph may contain dots.
func ParseTaskID(s string) (TaskID, error) {
	var numbers [3]int
	rest := s
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskID{}, ErrInvalid{Field: "Task", Reason: fmt.Sprintf("%.*q must have four parts", maxQuotedBytes, s)}
		}
		n, err := strconv.Atoi(rest[dot+1:])
		if err != nil || n < 0 {
			return TaskID{}, ErrInvalid{Field: "Task", Reason: fmt.Sprintf("%.*q: part %d is not a non-negative number", maxQuotedBytes, s, i+1)}
		}
		numbers[i], rest = n, rest[:dot]
	}
	return TaskID{Graph: GraphID(rest).Occurrence(numbers[0]), Step: numbers[1], Task: numbers[2]}, nil
}

// GraphStep is a step of a job graph: identical tasks that may run in parallel.
type GraphStep struct {
	Count int
	// PerTask is the resources that each task requires on a worker.
	PerTask Resources `json:"Room"`
	// EstimateMs is the caller's rough estimate of the duration of a task.
	EstimateMs Duration `json:",omitempty"`
	// DependsOn lists earlier steps; all their tasks must be done before this step starts.
	DependsOn []int `json:"Needs,omitempty"`
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool `json:",omitempty"`
	// Requires is a label that the worker must have.
	Requires Label `json:",omitempty"`
	// DataRack is the rack near the data.
	DataRack Label `json:",omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:",omitempty"`
	// Speculative means that several runs of a task may be active at once.
	Speculative bool `json:"Copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool    `json:"Lasting,omitempty"`
	Image       ImageID `json:",omitempty"`
	// TailTargetMs is the tail latency target of a long-running task.
	TailTargetMs Duration `json:",omitempty"`
	// BestEffort tasks use the processor time that others leave idle; no processors are reserved for them.
	BestEffort bool `json:"Filler,omitempty"`
	// MaxUnavailable is the maximum number of long-running tasks that the manager may interrupt at once.
	MaxUnavailable int `json:",omitempty"`
	// Gang means that the tasks run only together: they start as one run, and when one ends, all end.
	Gang bool `json:",omitempty"`
	// PreferSameRack means that the tasks take longer when they run on several racks.
	PreferSameRack bool `json:"OneRack,omitempty"`
}

// Reserved returns what a task of the step uses of a worker's capacity.
func (s GraphStep) Reserved() Resources {
	r := s.PerTask
	if s.BestEffort {
		r.ProcessorMilliCores = 0
	}
	return r
}

// Repeat makes a job run its steps repeatedly, at scheduled wall-clock times.
type Repeat struct {
	// Count is the number of occurrences; 0 means that the job runs once, immediately.
	Count int
	// FirstAt is the time of the first occurrence, in milliseconds since the Unix epoch.
	FirstAt    Time
	IntervalMs Duration
}

// DueAt returns the wall-clock time of occurrence k, starting at 0.
func (r Repeat) DueAt(k int) Time { return r.FirstAt.Add(Duration(k) * r.IntervalMs) }

// Graph is a job graph, a job of several dependent steps, as the caller submits it.
type Graph struct {
	Graph GraphID
	Queue QueueID
	// Customer is the customer that submitted the job, or empty for a call without a key.
	Customer CustomerID `json:",omitempty"`
	// Surplus means that the customer submitted the job beyond its share.
	Surplus bool `json:",omitempty"`
	// Payload is passed to each task.
	Payload string
	Steps   []GraphStep
	Repeat  Repeat `json:",omitzero"`
}

// HasLongRunning reports whether the job has a step that runs until it is cancelled.
func (g *Graph) HasLongRunning() bool {
	return slices.ContainsFunc(g.Steps, func(s GraphStep) bool { return s.LongRunning })
}

// HasFinite reports whether the job has a step that ends by itself.
func (g *Graph) HasFinite() bool {
	return slices.ContainsFunc(g.Steps, func(s GraphStep) bool { return !s.LongRunning })
}

// GraphState is the state of a job graph.
type GraphState string

// States of a job graph.
const (
	GraphQueued    GraphState = "queued"
	GraphRunning   GraphState = "running"
	GraphCompleted GraphState = "completed"
	GraphFailed    GraphState = "failed"
	GraphCancelled GraphState = "cancelled"
)

// Ended reports whether the state is final.
func (s GraphState) Ended() bool {
	return s == GraphCompleted || s == GraphFailed || s == GraphCancelled
}

// RunEnd is the way in which a run of a task ended.
type RunEnd string

// Ways in which a run ends.
const (
	RunDone RunEnd = "done"
	// RunFailed counts towards the maximum number of attempts.
	RunFailed  RunEnd = "failed"
	RunStopped RunEnd = "stopped"
	// RunLeaseExpired means that the lease expired and the worker stopped the run by itself.
	RunLeaseExpired RunEnd = "lapsed"
	// RunGangEnded means that another member of the gang ended, RunGangIncomplete that the others did not start.
	RunGangEnded      RunEnd = "broken"
	RunGangIncomplete RunEnd = "alone"
	// RunRefused means that the worker did not start the run.
	RunRefused RunEnd = "refused"
	// RunLost means that the worker instance ended or its lease expired without a report of the run.
	RunLost RunEnd = "lost"
)
