package manager

import (
	"fmt"
	"strconv"
	"strings"
)

// Ids of jobs of several steps and of the workers that run their tasks.
type (
	// GraphID names a job of steps; its caller chooses it.
	GraphID string
	// QueueID names a queue of the fleet's configuration.
	QueueID string
	// WorkerID names a worker; it may come back in another life.
	WorkerID string
	// RunNumber counts the starts of one task.
	RunNumber uint64
	// Checkpoint is saved progress, opaque to the manager; empty stands for none.
	Checkpoint string
	// ImageID names what the tasks of a step run.
	ImageID string
	// Label is a property of a worker, such as its kind or rack.
	Label string
	// FencingToken is the fencing token of a dispatcher; a worker refuses lower ones.
	FencingToken uint64
)

// WorkerInstance is one life of a worker: another start of the same worker runs and knows nothing.
type WorkerInstance struct {
	Worker WorkerID
	// StartedAt is when the life began, by the worker's wall clock.
	StartedAt Time `json:"Born"`
}

// TaskID names a task of a job of steps.
type TaskID struct {
	Graph GraphID
	// Step and Task count from 0.
	Step int
	Task int
}

// String returns the id as Graph.Occurrence.Step.Task.
func (t TaskID) String() string {
	g, k := t.Graph.Split()
	return fmt.Sprintf("%s.%d.%d.%d", g, k, t.Step, t.Task)
}

// MarshalText encodes the id as String does.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes what MarshalText returns.
func (t *TaskID) UnmarshalText(data []byte) error {
	parsed, err := ParseTaskID(string(data))
	*t = parsed
	return err
}

// ParseTaskID decodes what TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, ErrInvalid{Field: "Task", Reason: fmt.Sprintf("%q has not four parts", s)}
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, ErrInvalid{Field: "Task", Reason: fmt.Sprintf("%q holds no number at part %d", s, i+1)}
		}
		numbers[i] = n
	}
	return TaskID{Graph: GraphID(parts[0]).Occurrence(numbers[0]), Step: numbers[1], Task: numbers[2]}, nil
}

// GraphStep is a step of a job: tasks of the same kind that may run side by side.
type GraphStep struct {
	Count int
	// PerTask is what each task takes of a worker.
	PerTask Resources `json:"Room"`
	// EstimateMs is the caller's rough estimate of a task's time.
	EstimateMs Duration `json:",omitempty"`
	// DependsOn are earlier steps whose tasks must all be done first.
	DependsOn []int `json:"Needs,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `json:",omitempty"`
	// Requires is a label that the worker must have.
	Requires Label `json:",omitempty"`
	// DataRack is the rack near the data.
	DataRack Label `json:",omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 sets no bound.
	MaxPerWorker int `json:",omitempty"`
	// AllowDuplicates says that a task may run more than once at a time.
	AllowDuplicates bool `json:"Copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool    `json:"Lasting,omitempty"`
	Image       ImageID `json:",omitempty"`
	// TailTargetMs bounds the tail of the response times of a lasting task.
	TailTargetMs Duration `json:",omitempty"`
	// BestEffort tasks take the processor time that others leave; their processors count for no room.
	BestEffort bool `json:"Filler,omitempty"`
	// MaxUnavailable bounds the lasting tasks that the manager's own actions keep from work at a time.
	MaxUnavailable int `json:",omitempty"`
	// Gang tasks work only together: they start as one run, and the end of one is the end of all.
	Gang bool `json:",omitempty"`
	// RackSensitive says that the tasks take longer where they are on several racks.
	RackSensitive bool `json:"OneRack,omitempty"`
}

// Repeat makes a job run its steps several times, at set times of the wall clock.
type Repeat struct {
	// Count is the number of occurrences; 0 stands for a job that runs once, at once.
	Count int
	// FirstAt is when the first one is due, in milliseconds since the Unix epoch.
	FirstAt    Time
	IntervalMs Duration
}

// DueAt returns when an occurrence, counted from 0, is due by the wall clock.
func (r Repeat) DueAt(k int) Time { return r.FirstAt.Add(Duration(k) * r.IntervalMs) }

// Graph is a job of steps as its caller hands it in.
type Graph struct {
	Graph GraphID
	Queue QueueID
	// Payload is handed to each task.
	Payload string
	Steps   []GraphStep
	Repeat  Repeat `json:",omitzero"`
}

// Limits of a job of steps; larger ones are refused.
const (
	MaxPayloadBytes = 4000
	MaxGraphSteps   = 64
	MaxGraphTasks   = 4096
	MaxOccurrences  = 10_000
)

// Validate returns what is wrong with the job, or nil.
func (g Graph) Validate() error {
	if g.Graph == "" {
		return ErrInvalid{Field: "Graph", Reason: "is missing"}
	}
	if strings.Contains(string(g.Graph), occurrenceMark) {
		return ErrInvalid{Field: "Graph", Reason: "holds " + occurrenceMark + ", which names occurrences"}
	}
	if len(g.Payload) > MaxPayloadBytes {
		return ErrInvalid{Field: "Payload", Reason: fmt.Sprintf("has more than %d bytes", MaxPayloadBytes)}
	}
	if n := len(g.Steps); n == 0 || n > MaxGraphSteps {
		return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("%d steps: 1 to %d are taken", n, MaxGraphSteps)}
	}
	if r := g.Repeat; r.Count < 0 || r.Count > MaxOccurrences || r.IntervalMs < 0 || r.FirstAt < 0 {
		return ErrInvalid{Field: "Repeat", Reason: fmt.Sprintf("has a negative field or more than %d occurrences", MaxOccurrences)}
	}
	if g.Repeat.Count > 0 && g.Steps[0].LongRunning {
		return ErrInvalid{Field: "Repeat", Reason: "is set for tasks that last"}
	}
	tasks := 0
	for i, s := range g.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxGraphTasks {
		return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("%d tasks: at most %d are taken", tasks, MaxGraphTasks)}
	}
	return nil
}

func (s GraphStep) validate(i int) error {
	field := fmt.Sprintf("Steps[%d]", i)
	if s.Count < 1 || s.Count > MaxGraphTasks {
		return ErrInvalid{Field: field + ".Count", Reason: fmt.Sprintf("is %d: 1 to %d are taken", s.Count, MaxGraphTasks)}
	}
	if s.PerTask.ProcessorMilliCores < 0 || s.PerTask.MemoryMegaBytes < 0 || s.PerTask.Accelerators < 0 {
		return ErrInvalid{Field: field + ".Room", Reason: "is negative"}
	}
	if s.Gang && s.LongRunning {
		return ErrInvalid{Field: field + ".Gang", Reason: "is set for tasks that last"}
	}
	for _, n := range s.DependsOn {
		if n < 0 || n >= i {
			return ErrInvalid{Field: field + ".Needs", Reason: fmt.Sprintf("%d is no earlier step", n)}
		}
	}
	return nil
}

// GraphState is how far a job of steps is.
type GraphState string

// States of a job of steps.
const (
	GraphQueued    GraphState = "queued"
	GraphRunning   GraphState = "running"
	GraphCompleted GraphState = "completed"
	GraphFailed    GraphState = "failed"
	GraphCancelled GraphState = "cancelled"
)

// Ended tells whether the job is over.
func (s GraphState) Ended() bool {
	return s == GraphCompleted || s == GraphFailed || s == GraphCancelled
}

// RunEnd is how a run of a task ended.
type RunEnd string

// Ends of runs.
const (
	RunDone RunEnd = "done"
	// RunFailed counts as an attempt.
	RunFailed       RunEnd = "failed"
	RunStopped      RunEnd = "stopped"
	RunLeaseExpired RunEnd = "lapsed"
	// RunGangEnded ended as another member of its gang did, RunAlone as the others did not come.
	RunGangEnded      RunEnd = "broken"
	RunGangIncomplete RunEnd = "alone"
	// RunRefused was not started by the worker.
	RunRefused RunEnd = "refused"
	// RunLost ended with its worker's life or lease, without a report.
	RunLost RunEnd = "lost"
)
