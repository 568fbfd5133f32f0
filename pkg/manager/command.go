package manager

// Command is a change to the replicated state; exactly one of its bodies is set.
type Command struct {
	Command CommandID
	// At is the proposer's time. The time of the state is the latest seen, so it never decreases.
	At Time
	// Digest identifies the operator's request where the body is derived from the request and the state.
	// It lets a retry be recognised although its body may differ. If empty, the bodies are compared.
	Digest string `json:",omitempty"`

	ApplyProfile *ApplyProfile `json:",omitempty"`
	LoadFleet    *LoadFleet    `json:",omitempty"`
	ObserveVM    *ObserveVM    `json:",omitempty"`
	QuarantineVM *QuarantineVM `json:",omitempty"`
	StartMove    *StartMove    `json:",omitempty"`
	CommitMove   *CommitMove   `json:",omitempty"`
	AbandonMove  *AbandonMove  `json:",omitempty"`
	PlanWave     *PlanWave     `json:",omitempty"`
	ApproveWave  *ApproveWave  `json:",omitempty"`
	SetWaveState *SetWaveState `json:",omitempty"`
	AdvanceStep  *AdvanceStep  `json:",omitempty"`
	SubmitJob    *SubmitJob    `json:",omitempty"`
	CancelJob    *CancelJob    `json:",omitempty"`
	StartTask    *StartTask    `json:",omitempty"`
	OrderTask    *OrderTask    `json:",omitempty"`
	FinishTask   *FinishTask   `json:",omitempty"`
	RenewLeases  *RenewLeases  `json:",omitempty"`
	RefuseJob    *RefuseJob    `json:",omitempty"`
	PlaceTasks   *TaskBatch    `json:",omitempty"`
	CancelJobs   *CancelJobs   `json:",omitempty"`
	MakeClaim    *MakeClaim    `json:",omitempty"`
	RecordAnswer *RecordAnswer `json:",omitempty"`
	ClaimBatch   *ClaimBatch   `json:",omitempty"`
	Batch        *Batch        `json:",omitempty"`
}

// MaxBatch is the maximum number of commands in a batch; a larger one is rejected.
const MaxBatch = 1_000

// Batch applies commands without IDs, in order, in a single log entry; a rejected command does not
// stop the others. An empty batch only advances the time of the state.
type Batch struct {
	Commands []Command
}

// ApplyProfile stores a profile; its Version is the one that the operator read, or 0 for a new profile.
type ApplyProfile struct {
	Profile Profile
}

// LoadFleet adds the pools, VMs and profiles of the settings that the state does not contain yet.
type LoadFleet struct {
	Profiles []Profile
	Pools    []Pool
	VMs      []VM
}

// ObserveVM records the state of a VM as the platform reports it.
type ObserveVM struct {
	VM    VMID
	State VMState
	// Epoch is that of the latest order that the platform accepted for the VM, or 0 if unknown.
	Epoch Epoch `json:",omitempty"`
}

// QuarantineVM stops new tasks from starting on a VM, or lifts the quarantine.
type QuarantineVM struct {
	VM          VMID
	Quarantined bool
	Reason      string
}

// StartMove starts draining a VM that is to move to another pool.
type StartMove struct {
	VM     VMID
	Epoch  Epoch
	To     PoolID
	Reason string
}

// CommitMove assigns a drained VM to the target pool of its move.
type CommitMove struct {
	VM    VMID
	Epoch Epoch
}

// AbandonMove cancels a move; the VM stays in its current pool.
type AbandonMove struct {
	VM     VMID
	Epoch  Epoch
	Reason string
}

// PlanWave stores the plan of a wave as its next plan version.
type PlanWave struct {
	Wave Wave
}

// ApproveWave starts the wave if its plan is still at this version.
type ApproveWave struct {
	Wave        WaveID
	PlanVersion Version
}

// SetWaveState pauses, resumes, cancels or completes a wave, or changes the reason why it waits.
type SetWaveState struct {
	Wave   WaveID
	State  WaveState
	Reason string
	// Held keeps the wave paused until an operator resumes it.
	Held bool `json:",omitempty"`
	// Accept resumes the wave despite the VMs that are currently lost, and ends an operator's pause.
	Accept bool `json:",omitempty"`
}

// AdvanceStep moves a step to its next state. The transition to draining is checked against the
// availability budget and permits the drain.
type AdvanceStep struct {
	Wave   WaveID
	VM     VMID
	Epoch  Epoch
	From   StepState
	To     StepState
	Reason string
}

// SubmitJob queues a job.
type SubmitJob struct {
	Job Job
}

// CancelJob cancels a job and stops its running task.
type CancelJob struct {
	Job JobID
}

// StartTask starts a job on a VM under a new lease.
type StartTask struct {
	Job      JobID
	VM       VMID
	Epoch    Epoch
	Until    Time
	Reserved Resources
	// Probe means that the job, which is idempotent, tests a quarantined VM.
	Probe bool `json:",omitempty"`
}

// OrderTask sends an order for a leased task to its worker.
type OrderTask struct {
	Job   JobID
	Lease LeaseID
	Order TaskOrder
}

// FinishTask records the end of a lease.
type FinishTask struct {
	Job    JobID
	Lease  LeaseID
	Result TaskResult
	Reason string
	DoneMs Duration
	// Peak is the highest resource usage that the worker reported.
	Peak Resources `json:",omitzero"`
}

// TaskResult is the result of a task.
type TaskResult string

// Results of a task.
const (
	TaskSucceeded    TaskResult = "succeeded"
	TaskFailed       TaskResult = "failed"
	TaskCheckpointed TaskResult = "checkpointed"
	TaskNotStarted   TaskResult = "not-started"
	// TaskLost means that the lease expired without a report.
	TaskLost TaskResult = "lost"
	// TaskStopped means that the worker stopped the task when ordered to.
	TaskStopped TaskResult = "stopped"
	// TaskExpired means that the worker stopped the task by itself when its lease expired.
	TaskExpired TaskResult = "expired"
)

// RenewLeases extends the leases of workers that have reported.
type RenewLeases struct {
	Leases []LeaseID `json:",omitempty"`
	// AllExcept lists the leases that All does not extend.
	AllExcept []LeaseID `json:",omitempty"`
	// All extends every lease that is not in AllExcept, in place of those in Leases.
	All   bool `json:",omitempty"`
	Until Time
}

// TaskBatch holds the changes of one placement step. They are applied in the order of the fields;
// a rejected item does not stop the others.
type TaskBatch struct {
	Finish []FinishTask `json:",omitempty"`
	Refuse []RefuseJob  `json:",omitempty"`
	Order  []OrderTask  `json:",omitempty"`
	Start  []StartTask  `json:",omitempty"`
	Renew  *RenewLeases `json:",omitempty"`
}

// Size returns the number of items in the batch.
func (b TaskBatch) Size() int {
	n := len(b.Finish) + len(b.Refuse) + len(b.Order) + len(b.Start)
	if b.Renew != nil {
		n++
	}
	return n
}

// CancelJobs cancels several jobs in one command; a job that is unknown or has ended does not stop the others.
type CancelJobs struct {
	Jobs []JobID
}

// JobFailure is a rejected item of a batch.
type JobFailure struct {
	Job     JobID
	Failure Failure
}

// RefuseJob rejects a job that can never run.
type RefuseJob struct {
	Job    JobID
	Reason string
}

// MakeClaim claims a non-idempotent request before it is sent.
type MakeClaim struct {
	Request RequestID
	Digest  ClaimDigest
	Gateway GatewayID
	// Attempt distinguishes a retry of this command from a retry of the request.
	Attempt string
}

// RecordAnswer completes a claim with the answer, or releases it if the work certainly did not run.
type RecordAnswer struct {
	Request RequestID
	Attempt string
	// NotRun means that the work did not run, so a retry may claim the request again.
	NotRun bool
	Answer *RecordedAnswer `json:",omitempty"`
}

// FailureKind is the kind of a typed error in a Result.
type FailureKind string

// Kinds of failures.
const (
	FailureInvalid  FailureKind = "Invalid"
	FailureNotExist FailureKind = "NotExist"
	FailureConflict FailureKind = "Conflict"
	FailureReused   FailureKind = "CommandReused"
)

// Failure is the typed error of a command that was rejected when it was applied.
type Failure struct {
	Kind FailureKind
	// Object is the kind of the object, such as profile; Name is its ID; Field is the path of an invalid field.
	Object string `json:",omitempty"`
	Name   string `json:",omitempty"`
	Field  string `json:",omitempty"`
	Reason string `json:",omitempty"`
}

// Err returns f as a typed error.
func (f Failure) Err() error {
	switch f.Kind {
	case FailureInvalid:
		return ErrInvalid{Field: f.Field, Reason: f.Reason}
	case FailureNotExist:
		return ErrNotExist{Kind: f.Object, Name: f.Name}
	case FailureReused:
		return ErrCommandReused{Command: CommandID(f.Name)}
	default:
		return ErrConflict{Kind: f.Object, Name: f.Name, Reason: f.Reason}
	}
}

// Result is the result of an applied command, stored to answer retries with the same command ID.
type Result struct {
	Revision Revision
	Failure  *Failure     `json:",omitempty"`
	Profile  *Profile     `json:",omitempty"`
	Wave     *Wave        `json:",omitempty"`
	Job      *Job         `json:",omitempty"`
	Claim    *ClaimResult `json:",omitempty"`
	// Claims holds the results of a batch's claims, in order.
	Claims []ClaimResult `json:",omitempty"`
	// RefusedJobs lists the rejected items of a batch.
	RefusedJobs []JobFailure `json:",omitempty"`
	// Refused lists the failures of a batch's rejected commands.
	Refused []Failure `json:",omitempty"`
}

// Applier is the replicated state machine: its state is a deterministic function of the applied commands.
type Applier interface {
	// Apply applies a committed command and returns its result, or the first result for a repeated command.
	Apply(c Command) Result
	// FirstResult returns the first result of a command ID and the digest of the command that produced it.
	FirstResult(c CommandID) (Result, string, bool)
	// Fleet returns a view of the state.
	Fleet() Fleet
	// History returns the retained versions of a profile, oldest first.
	History(p ProfileID) []Profile
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(data []byte) error
}
