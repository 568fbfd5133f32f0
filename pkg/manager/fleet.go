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
	VMRunning VMState = "running"
	// VMDraining says that the VM takes no new work and still finishes some.
	VMDraining  VMState = "draining"
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
	// PhaseJoining is the settling of a VM in the pool to which it has just moved.
	PhaseJoining Phase = "joining"
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
	// PoolSince is the time at which the VM came to its pool; 0 for the pool of the settings.
	PoolSince Time `json:",omitempty"`
	// PhaseSince is the time at which the phase began, or at which a settling VM came back.
	PhaseSince Time `json:",omitempty"`
	// Reason says why the VM moves or is quarantined.
	Reason string `json:",omitempty"`
	// Quarantined says that no task may start on the VM.
	Quarantined bool `json:",omitempty"`
}

// Available tells whether the VM serves.
func (v VM) Available() bool { return v.State == VMRunning && v.Phase == PhaseInService }

// Lost tells whether the VM is out of service, or not settled yet, for a reason other than a wave or a move.
func (v VM) Lost() bool {
	if v.State == VMFailed {
		return true
	}
	if v.Phase == PhaseInService {
		return v.State != VMRunning
	}
	return v.Phase == PhaseSettling && v.Wave == ""
}

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
	StepAbandoned StepState = "given-up"
)

// Active tells whether the step holds its VM out of service.
func (s StepState) Active() bool {
	return s == StepDraining || s == StepRebooting || s == StepSettling
}

// Ended tells whether the step will not change any more.
func (s StepState) Ended() bool { return s == StepDone || s == StepAbandoned }

// WaveStep is one VM's maintenance in a wave.
type WaveStep struct {
	VM    VMID
	Pool  PoolID
	State StepState
	// Batch is the planned group of the step, from 1.
	Batch int `json:",omitempty"`
	// StartMs is the planned start, counted from the start of the wave.
	StartMs Duration `json:",omitempty"`
	// BudgetLeft is the pool's budget that the plan leaves unspent while the step runs.
	BudgetLeft int    `json:",omitempty"`
	Since      Time   `json:",omitempty"`
	Reason     string `json:",omitempty"`
}

// WaveBasis is the profile that a plan was made for in one of its pools.
type WaveBasis struct {
	Pool    PoolID
	Profile ProfileID
	Version Version
}

// Wave is a maintenance wave over pools.
type Wave struct {
	Wave        WaveID
	Pools       []PoolID
	PlanVersion Version
	State       WaveState
	// Reason says what a wave that does not advance waits for and which rule holds it.
	Reason string `json:",omitempty"`
	// Held says that an operator paused the wave, so that it does not resume by itself.
	Held bool `json:",omitempty"`
	// Accepted lists the lost VMs despite which an operator resumed the wave.
	Accepted []VMID `json:",omitempty"`
	// Basis is what the plan was made for; the wave may start only while it is still so.
	Basis      []WaveBasis `json:",omitempty"`
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
	// JobUnknown says that a non-idempotent job may have run and is not started again.
	JobUnknown JobState = "unknown"
)

// Ended tells whether a job in the state is never started again.
func (s JobState) Ended() bool {
	return s != JobQueued && s != JobRunning && s != JobCheckpointed
}

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
	// OrderAt is the time of the order.
	OrderAt Time `json:",omitempty"`
	// Probe says that the task tests a quarantined VM.
	Probe bool `json:",omitempty"`
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
	Reason      string `json:",omitempty"`
	SubmittedAt Time   `json:",omitempty"`
	FinishedAt  Time   `json:",omitempty"`
	Attempts    int    `json:",omitempty"`
	// Failures counts the attempts that failed on a worker.
	Failures int `json:",omitempty"`
	// FailedOn lists the VMs on which the job failed, the latest last.
	FailedOn []VMID `json:",omitempty"`
	// LastVM is the VM of the latest lease that ended.
	LastVM VMID `json:",omitempty"`
	// LastLease is the latest lease that ended.
	LastLease LeaseID  `json:",omitempty"`
	Lease     *Lease   `json:",omitempty"`
	Progress  Progress `json:",omitzero"`
	// Peak is the largest use that workers reported.
	Peak Resources `json:",omitzero"`
}

// Progress is how far a checkpointed job had come.
type Progress struct {
	DoneMs Duration `json:",omitempty"`
	// Checkpoints counts the checkpoints; a task resumes from the latest one.
	Checkpoints int `json:",omitempty"`
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
