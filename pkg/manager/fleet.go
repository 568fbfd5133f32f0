package manager

// Pool is a set of VMs that run one service under one profile.
type Pool struct {
	Pool    PoolID
	Service ServiceID
	Profile ProfileID
	// Spare means that VMs are taken from this pool before others.
	Spare bool `json:",omitempty"`
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM.
const (
	VMRunning VMState = "running"
	// VMDraining means that the VM accepts no new work and is finishing its running work.
	VMDraining  VMState = "draining"
	VMDrained   VMState = "drained"
	VMRebooting VMState = "rebooting"
	VMFailed    VMState = "failed"
)

// Phase is the stage of a planned removal of a VM from service.
type Phase string

// Phases of a VM.
const (
	PhaseInService Phase = ""
	PhaseDraining  Phase = "draining"
	PhaseRebooting Phase = "rebooting"
	PhaseSettling  Phase = "settling"
	// PhaseJoining is the settling phase of a VM that has just moved to its pool.
	PhaseJoining Phase = "joining"
)

// VM is a virtual machine with its pool and the state of its move or maintenance.
type VM struct {
	VM               VMID
	Pool             PoolID
	Epoch            Epoch
	AvailabilityZone AvailabilityZone
	Rack             RackID
	Capacity         Resources
	State            VMState
	Phase            Phase  `json:",omitempty"`
	Wave             WaveID `json:",omitempty"`
	// MoveTo is the target pool of a draining VM that is being moved.
	MoveTo PoolID `json:",omitempty"`
	// PoolSince is the time at which the VM moved to its pool, or 0 for its pool in the settings.
	PoolSince Time `json:",omitempty"`
	// PhaseSince is the time at which the phase started, or at which a settling VM came up again.
	PhaseSince Time `json:",omitempty"`
	// Reason is why the VM is being moved or is quarantined.
	Reason string `json:",omitempty"`
	// Quarantined means that no task may start on the VM.
	Quarantined bool `json:",omitempty"`
}

// Available reports whether the VM is in service.
func (v VM) Available() bool { return v.State == VMRunning && v.Phase == PhaseInService }

// Lost reports whether the VM is out of service, or still settling, for a reason other than a maintenance
// wave or a move.
func (v VM) Lost() bool {
	if v.State == VMFailed {
		return true
	}
	if v.Phase == PhaseInService {
		return v.State != VMRunning
	}
	return v.Phase == PhaseSettling && v.Wave == ""
}

// WaveState is the state of a maintenance wave.
type WaveState string

// States of a wave.
const (
	WavePlanned   WaveState = "planned"
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveDone      WaveState = "done"
)

// StepState is the state of a wave step.
type StepState string

// States of a step.
const (
	StepWaiting   StepState = "waiting"
	StepDraining  StepState = "draining"
	StepRebooting StepState = "rebooting"
	StepSettling  StepState = "settling"
	StepDone      StepState = "done"
	StepAbandoned StepState = "given-up"
)

// Active reports whether the VM is out of service because of the step.
func (s StepState) Active() bool {
	return s == StepDraining || s == StepRebooting || s == StepSettling
}

// Ended reports whether the state is final.
func (s StepState) Ended() bool { return s == StepDone || s == StepAbandoned }

// WaveStep is the maintenance of one VM in a wave.
type WaveStep struct {
	VM    VMID
	Pool  PoolID
	State StepState
	// Batch is the number of the planned batch of the step, starting at 1.
	Batch int `json:",omitempty"`
	// StartMs is the planned start, relative to the start of the wave.
	StartMs Duration `json:",omitempty"`
	// BudgetLeft is the part of the pool's availability budget that is unused in the plan while the step runs.
	BudgetLeft int    `json:",omitempty"`
	Since      Time   `json:",omitempty"`
	Reason     string `json:",omitempty"`
}

// WaveBasis is the profile version of a pool from which a plan was made.
type WaveBasis struct {
	Pool    PoolID
	Profile ProfileID
	Version Version
}

// Wave is a maintenance wave over one or more pools.
type Wave struct {
	Wave        WaveID
	Pools       []PoolID
	PlanVersion Version
	State       WaveState
	// Reason is what a stalled wave waits for and the rule that blocks it.
	Reason string `json:",omitempty"`
	// Held means that an operator paused the wave, so it does not resume automatically.
	Held bool `json:",omitempty"`
	// Accepted lists the lost VMs that an operator accepted when resuming the wave.
	Accepted []VMID `json:",omitempty"`
	// Basis lists the profile versions from which the plan was made; the wave may start only while they are
	// current.
	Basis      []WaveBasis `json:",omitempty"`
	Steps      []WaveStep
	ExpectedMs Duration
	// BoundMs is a lower bound of the roll-out time, given by the budgets and drain times.
	BoundMs    Duration
	StartedAt  Time `json:",omitempty"`
	FinishedAt Time `json:",omitempty"`
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobQueued       JobState = "queued"
	JobRunning      JobState = "running"
	JobCheckpointed JobState = "checkpointed"
	JobDone         JobState = "done"
	JobFailed       JobState = "failed"
	JobRefused      JobState = "refused"
	JobCancelled    JobState = "cancelled"
	// JobUnknown means that a non-idempotent job may have run; it is not restarted.
	JobUnknown JobState = "unknown"
)

// Ended reports whether the state is final; the job is not started again.
func (s JobState) Ended() bool {
	return s != JobQueued && s != JobRunning && s != JobCheckpointed
}

// LeaseID identifies a lease; IDs are never reused.
type LeaseID uint64

// Lease allows one worker to run one task until the lease expires.
type Lease struct {
	Lease LeaseID
	Job   JobID
	VM    VMID
	Epoch Epoch
	// Until is the expiry time, by which the worker has stopped the task by itself.
	Until Time
	// Reserved is the amount of resources that placement reserves for the task.
	Reserved Resources
	StartAt  Time
	// Order is the latest order to the worker about the task.
	Order TaskOrder `json:",omitempty"`
	// OrderAt is the time of Order.
	OrderAt Time `json:",omitempty"`
	// Probe means that the task tests a quarantined VM.
	Probe bool `json:",omitempty"`
}

// TaskOrder is an order to a worker about a running task.
type TaskOrder string

// Orders for a running task.
const (
	TaskRun        TaskOrder = ""
	TaskThrottle   TaskOrder = "throttle"
	TaskCheckpoint TaskOrder = "checkpoint"
	TaskStop       TaskOrder = "stop"
)

// Job is a unit of work that runs as a task on a worker.
type Job struct {
	Job        JobID
	Team       TeamID
	Profile    ProfileID
	Class      string
	Declared   Resources
	DeclaredMs Duration
	Idempotent bool
	// Pool restricts the job to the VMs of a pool; empty allows any VM.
	Pool        PoolID `json:",omitempty"`
	State       JobState
	Reason      string `json:",omitempty"`
	SubmittedAt Time   `json:",omitempty"`
	FinishedAt  Time   `json:",omitempty"`
	Attempts    int    `json:",omitempty"`
	// Failures counts the attempts that failed on a worker.
	Failures int `json:",omitempty"`
	// FailedOn lists the VMs on which the job failed, the latest last.
	FailedOn []VMID `json:",omitempty"`
	// LastVM is the VM of the last ended lease.
	LastVM VMID `json:",omitempty"`
	// LastLease is the last ended lease.
	LastLease LeaseID  `json:",omitempty"`
	Lease     *Lease   `json:",omitempty"`
	Progress  Progress `json:",omitzero"`
	// Peak is the highest resource usage that workers reported.
	Peak Resources `json:",omitzero"`
}

// Progress is the saved progress of a checkpointed job.
type Progress struct {
	DoneMs Duration `json:",omitempty"`
	// Checkpoints is the number of checkpoints; a task resumes from the latest.
	Checkpoints int `json:",omitempty"`
}

// Fleet is a read-only view of the replicated state; all lists are ordered by ID.
type Fleet struct {
	Revision Revision
	// Configuration is the revision of the last change to a profile or pool.
	Configuration Revision
	Now           Time
	Profiles      []Profile
	Pools         []Pool
	VMs           []VM
	Waves         []Wave
	Jobs          []Job
}
