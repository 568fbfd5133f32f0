package manager

import (
	"fmt"
	"strings"
)

// Limits of a job graph; larger ones are rejected.
const (
	MaxPayloadBytes = 4000
	MaxGraphSteps   = 64
	MaxGraphTasks   = 4096
	MaxOccurrences  = 10_000
	// MaxGangBytes limits the log entry that starts a gang, and StartBytes is what each task adds to it besides the ID of
	// its job.
	MaxGangBytes = 480 << 10
	StartBytes   = 90
)

// Validate returns an ErrInvalid for the first invalid value of the job graph, or nil.
func (g Graph) Validate() error {
	if err := validateID("Graph", string(g.Graph)); err != nil {
		return err
	}
	if strings.Contains(string(g.Graph), occurrenceSeparator) {
		return ErrInvalid{Field: "Graph", Reason: "must not contain " + occurrenceSeparator + ", which is reserved for occurrences"}
	}
	if len(g.Payload) > MaxPayloadBytes {
		return ErrInvalid{Field: "Payload", Reason: fmt.Sprintf("has more than %d bytes", MaxPayloadBytes)}
	}
	if n := len(g.Steps); n == 0 || n > MaxGraphSteps {
		return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("has %d steps; must have 1 to %d", n, MaxGraphSteps)}
	}
	if r := g.Repeat; r.Count < 0 || r.Count > MaxOccurrences || r.IntervalMs < 0 || r.IntervalMs > MaxDuration || r.FirstAt < 0 || r.FirstAt > MaxTime {
		return ErrInvalid{Field: "Repeat", Reason: fmt.Sprintf("has a field out of range or more than %d occurrences", MaxOccurrences)}
	}
	if g.Repeat.Count > 0 && g.Steps[0].LongRunning {
		return ErrInvalid{Field: "Repeat", Reason: "is not allowed for long-running tasks"}
	}
	tasks := 0
	for i, s := range g.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		if s.Gang && s.Count*(StartBytes+len(g.Graph)) > MaxGangBytes {
			return ErrInvalid{Field: fmt.Sprintf("Steps[%d].Gang", i), Reason: fmt.Sprintf("has %d tasks, too many for the length of the ID", s.Count)}
		}
		tasks += s.Count
	}
	if tasks > MaxGraphTasks {
		return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("has %d tasks; at most %d are allowed", tasks, MaxGraphTasks)}
	}
	return nil
}

func (s GraphStep) validate(i int) error {
	field := fmt.Sprintf("Steps[%d]", i)
	if s.Count < 1 || s.Count > MaxGraphTasks {
		return ErrInvalid{Field: field + ".Count", Reason: fmt.Sprintf("is %d; must be 1 to %d", s.Count, MaxGraphTasks)}
	}
	if err := s.PerTask.Validate(); err != nil {
		return ErrInvalid{Field: field + ".Room", Reason: err.Error()}
	}
	if s.EstimateMs < 0 || s.EstimateMs > MaxDuration || s.TailTargetMs < 0 || s.TailTargetMs > MaxDuration {
		return ErrInvalid{Field: field + ".EstimateMs", Reason: fmt.Sprintf("or TailTargetMs is not between 0 and %d", MaxDuration)}
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return ErrInvalid{Field: field + ".MaxPerWorker", Reason: "or MaxUnavailable is negative"}
	}
	if len(s.Requires) > MaxIDBytes || len(s.DataRack) > MaxIDBytes || len(s.Image) > MaxIDBytes {
		return ErrInvalid{Field: field + ".Requires", Reason: fmt.Sprintf("or DataRack or Image has more than %d bytes", MaxIDBytes)}
	}
	if len(s.DependsOn) > MaxGraphSteps {
		return ErrInvalid{Field: field + ".Needs", Reason: fmt.Sprintf("has more than %d entries", MaxGraphSteps)}
	}
	if s.Gang && s.LongRunning {
		return ErrInvalid{Field: field + ".Gang", Reason: "is not allowed for long-running tasks"}
	}
	for _, n := range s.DependsOn {
		if n < 0 || n >= i {
			return ErrInvalid{Field: field + ".Needs", Reason: fmt.Sprintf("%d is not an earlier step", n)}
		}
	}
	return nil
}
