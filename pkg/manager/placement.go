package manager

import "context"

const (
	// MaxLease bounds how long a lease may be granted or prolonged at once; a lost worker holds its
	// tasks for up to this time.
	MaxLease = 60 * Second
	// LeaseMargin is how long after its end a lease that nobody reported still counts as live. It
	// covers a worker whose clock runs up to 9% slow during a lease of ten seconds.
	LeaseMargin = 1 * Second
	// MaxOvercommit bounds by how much a reservation may be below the declared processors and memory.
	MaxOvercommit = 4
	// MaxTaskBatch bounds the items of one batch of tasks, so that one log entry stays well below a peer's message.
	MaxTaskBatch = 2_000
)

// MinReservation returns the least that may be reserved for a declared size; accelerators are never
// shared.
func MinReservation(declared Resources) Resources {
	return Resources{
		ProcessorMilliCores: (declared.ProcessorMilliCores + MaxOvercommit - 1) / MaxOvercommit,
		MemoryMegaBytes:     (declared.MemoryMegaBytes + MaxOvercommit - 1) / MaxOvercommit,
		Accelerators:        declared.Accelerators,
	}
}

// UsageReport is what a worker says of a task, with a lag.
type UsageReport struct {
	Lease LeaseID
	Job   JobID
	VM    VMID
	// At is the time of the measurement.
	At     Time
	Used   Resources
	DoneMs Duration
	// Result is set once the task has ended.
	Result TaskResult `json:",omitempty"`
	Reason string     `json:",omitempty"`
}

// Placer decides which job runs where.
type Placer interface {
	// Observe takes workers' reports.
	Observe(now Time, reports []UsageReport)
	// Plan returns the commands that the state calls for now.
	Plan(now Time, f Fleet) []Command
}

// JobRule names the rule that keeps a job from running.
type JobRule string

// Rules that keep a job from running.
const (
	JobRuleNone        JobRule = ""
	JobRuleQuota       JobRule = "quota"
	JobRuleNoRoom      JobRule = "no-room"
	JobRuleSpread      JobRule = "spread"
	JobRuleQuarantine  JobRule = "quarantine"
	JobRuleUnavailable JobRule = "unavailable"
	JobRuleFailures    JobRule = "failures"
	JobRuleCheckpoint  JobRule = "checkpoint"
	JobRuleOrder       JobRule = "order"
)

// JobExplanation says what a job waits for and which rule holds it.
type JobExplanation struct {
	Rule   JobRule `json:",omitempty"`
	Awaits string  `json:",omitempty"`
}

// JobStatus is a job with what it waits for.
type JobStatus struct {
	Job
	JobExplanation
}

// Explainer says what a job waits for.
type Explainer interface {
	// Explain returns the rule that holds a job of the state.
	Explain(now Time, f Fleet, j JobID) JobExplanation
}

// Worker runs tasks on VMs under leases; every call may be repeated.
type Worker interface {
	// Start starts the task of a lease unless that lease was started or stopped before, has ended, or
	// names an epoch older than the VM has seen.
	Start(ctx context.Context, l Lease, j Job) error
	// Order throttles, checkpoints or stops a task; a lease that is stopped before its start never starts.
	Order(ctx context.Context, l Lease, o TaskOrder) error
	// Renew prolongs a lease; the worker stops the task by itself when its lease ends.
	Renew(ctx context.Context, l Lease) error
	// Usage returns the reports of all tasks, those that ended included.
	Usage(ctx context.Context) ([]UsageReport, error)
}

// LeasesOn returns the leases that may still be live on a VM; it is empty once its tasks have left.
func (f Fleet) LeasesOn(v VMID) []Lease {
	var list []Lease
	for _, j := range f.Jobs {
		if j.Lease != nil && j.Lease.VM == v {
			list = append(list, *j.Lease)
		}
	}
	return list
}
