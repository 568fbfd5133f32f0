package manager

// Pool is a set of VMs that serve one service under one profile.
type Pool struct {
	Pool    PoolID
	Service ServiceID
	Profile ProfileID
	// Spare says that the pool gives its VMs to others first.
	Spare bool `json:",omitempty"`
}

// VMState is what the platform says of a VM.
type VMState string

// States of a VM.
const (
	VMRunning   VMState = "running"
	VMDrained   VMState = "drained"
	VMRebooting VMState = "rebooting"
	VMFailed    VMState = "failed"
)

// Phase is how far the system has taken a VM out of service on purpose.
type Phase string

// Phases of a VM; the empty phase is in service.
const (
	PhaseInService Phase = ""
	PhaseDraining  Phase = "draining"
	PhaseRebooting Phase = "rebooting"
	PhaseSettling  Phase = "settling"
)

// VM is a VM, the one pool that owns it and what is being done to it.
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
	// MoveTo is the pool to which a drain is meant to bring the VM.
	MoveTo PoolID `json:",omitempty"`
	// PhaseSince is the time at which the phase began.
	PhaseSince Time `json:",omitempty"`
	// Reason says why the VM moves or is quarantined.
	Reason string `json:",omitempty"`
	// Quarantined says that no task may start on the VM.
	Quarantined bool `json:",omitempty"`
}

// Available tells whether the VM serves.
func (v VM) Available() bool { return v.State == VMRunning && v.Phase == PhaseInService }

// WaveState is the state of a wave.
type WaveState string

// States of a wave.
const (
	WavePlanned   WaveState = "planned"
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveDone      WaveState = "done"
)

// StepState is the state of one VM's maintenance in a wave.
type StepState string

// States of a step.
const (
	StepWaiting   StepState = "waiting"
	StepDraining  StepState = "draining"
	StepRebooting StepState = "rebooting"
	StepSettling  StepState = "settling"
	StepDone      StepState = "done"
	StepGivenUp   StepState = "given-up"
)

// WaveStep is one VM's maintenance in a wave.
type WaveStep struct {
	VM    VMID
	Pool  PoolID
	State StepState
	// Batch is the planned group of the step, from 1.
	Batch int `json:",omitempty"`
	// BudgetLeft is the pool's budget that the plan leaves unspent while the step runs.
	BudgetLeft int    `json:",omitempty"`
	Since      Time   `json:",omitempty"`
	Reason     string `json:",omitempty"`
}

// Wave is a maintenance wave over pools.
type Wave struct {
	Wave        WaveID
	Pools       []PoolID
	PlanVersion Version
	State       WaveState
	// Reason says what a wave that does not advance waits for and which rule holds it.
	Reason     string `json:",omitempty"`
	Steps      []WaveStep
	ExpectedMs Duration
	// BoundMs is the shortest roll-out that budgets and drain times allow.
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
	JobUnknown      JobState = "unknown"
)

// LeaseID numbers the leases; an id is never used twice.
type LeaseID uint64

// Lease lets one worker run one task until it ends.
type Lease struct {
	Lease LeaseID
	Job   JobID
	VM    VMID
	Epoch Epoch
	// Until is the time after which the worker has stopped the task by itself.
	Until Time
	// Reserved is what placement counts for the task.
	Reserved Resources
	StartAt  Time
	// Order is what the worker shall do with the task besides running it.
	Order TaskOrder `json:",omitempty"`
}

// TaskOrder is what a worker is told to do with a running task.
type TaskOrder string

// Orders for a running task.
const (
	TaskRun        TaskOrder = ""
	TaskThrottle   TaskOrder = "throttle"
	TaskCheckpoint TaskOrder = "checkpoint"
	TaskStop       TaskOrder = "stop"
)

// Job is a piece of work for a worker.
type Job struct {
	Job        JobID
	Team       TeamID
	Profile    ProfileID
	Class      string
	Declared   Resources
	DeclaredMs Duration
	Idempotent bool
	// Pool bounds the job to the VMs of a pool; empty allows any.
	Pool        PoolID `json:",omitempty"`
	State       JobState
	Reason      string   `json:",omitempty"`
	SubmittedAt Time     `json:",omitempty"`
	FinishedAt  Time     `json:",omitempty"`
	Attempts    int      `json:",omitempty"`
	FailedOn    []VMID   `json:",omitempty"`
	Lease       *Lease   `json:",omitempty"`
	Progress    Progress `json:",omitzero"`
}

// Progress is how far a checkpointed job had come.
type Progress struct {
	DoneMs Duration `json:",omitempty"`
}

// Fleet is a view of the replicated state; every list is ordered by id and none may be changed.
type Fleet struct {
	Revision Revision
	// Configuration is the revision of the last change to a profile or a pool.
	Configuration Revision
	Now           Time
	Profiles      []Profile
	Pools         []Pool
	VMs           []VM
	Waves         []Wave
	Jobs          []Job
}
