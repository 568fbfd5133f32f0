package manager

import "context"

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

// Worker runs tasks on VMs under leases; every call may be repeated.
type Worker interface {
	// Start starts the task of a lease unless that lease was started before.
	Start(ctx context.Context, l Lease, j Job) error
	// Order throttles, checkpoints or stops a task.
	Order(ctx context.Context, l Lease, o TaskOrder) error
	// Renew prolongs a lease.
	Renew(ctx context.Context, l Lease) error
	// Usage returns the reports of all tasks, those that ended included.
	Usage(ctx context.Context) ([]UsageReport, error)
}
