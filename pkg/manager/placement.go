package manager

import "context"

const (
	// MaxLease is the maximum duration for which a lease is granted or extended at a time. The tasks of a
	// lost worker stay blocked for up to this time.
	MaxLease = 60 * Second
	// LeaseMargin is how long after its expiry a lease without a report still counts as live. It covers a
	// worker whose clock runs up to 9% slow during a lease of ten seconds.
	LeaseMargin = 1 * Second
	// MaxOvercommit is the maximum ratio of the declared processors and memory to the reserved ones.
	MaxOvercommit = 4
	// MaxTaskBatch is the maximum number of items in a TaskBatch. It keeps a log entry well below the size
	// limit of a message between peers.
	MaxTaskBatch = 2_000
)

// MinReservation returns the minimum reservation for a declared size. Accelerators are never shared.
func MinReservation(declared Resources) Resources {
	return Resources{
		ProcessorMilliCores: (declared.ProcessorMilliCores + MaxOvercommit - 1) / MaxOvercommit,
		MemoryMegaBytes:     (declared.MemoryMegaBytes + MaxOvercommit - 1) / MaxOvercommit,
		Accelerators:        declared.Accelerators,
	}
}

// UsageReport is the resource usage of a task as its worker reports it, with a delay.
type UsageReport struct {
	Lease LeaseID
	Job   JobID
	VM    VMID
	// At is the time of the measurement.
	At     Time
	Used   Resources
	DoneMs Duration
	// Result is set when the task has ended.
	Result TaskResult `json:",omitempty"`
	Reason string     `json:",omitempty"`
}

// Placer decides which job runs on which VM.
type Placer interface {
	// Observe records the reports of workers.
	Observe(now Time, reports []UsageReport)
	// Plan returns the commands to propose in the current state.
	Plan(now Time, f Fleet) []Command
}

// JobRule is a rule that prevents a job from running.
type JobRule string

// Rules that prevent a job from running.
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

// JobExplanation is what a job waits for and the rule that blocks it.
type JobExplanation struct {
	Rule   JobRule `json:",omitempty"`
	Awaits string  `json:",omitempty"`
}

// JobStatus is a job and what it waits for.
type JobStatus struct {
	Job
	JobExplanation
}

// Explainer explains what a job waits for.
type Explainer interface {
	// Explain returns the rule that blocks a job.
	Explain(now Time, f Fleet, j JobID) JobExplanation
}

// Worker runs tasks on VMs under leases. All calls are idempotent.
type Worker interface {
	// Start starts the task of a lease unless the lease was already started or stopped, has ended, or has an
	// epoch older than the latest that the VM has seen.
	Start(ctx context.Context, l Lease, j Job) error
	// Order throttles, checkpoints or stops a task. A lease that is stopped before it was started never starts.
	Order(ctx context.Context, l Lease, o TaskOrder) error
	// Renew extends a lease. The worker stops the task by itself when the lease expires.
	Renew(ctx context.Context, l Lease) error
	// Usage returns the reports of all tasks, including those that have ended.
	Usage(ctx context.Context) ([]UsageReport, error)
}

// LeasesOn returns the leases that may still be live on a VM. It is empty once the VM has no tasks left.
func (f Fleet) LeasesOn(v VMID) []Lease {
	var list []Lease
	for _, j := range f.Jobs {
		if j.Lease != nil && j.Lease.VM == v {
			list = append(list, *j.Lease)
		}
	}
	return list
}
