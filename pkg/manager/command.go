package manager

// Command is one change of the replicated state; exactly one of its bodies is set.
type Command struct {
	Command CommandID
	// At is the proposer's time; the state's time is the latest seen, so that it never decreases.
	At Time
	// Digest stands for the operator's own words where the body is made from them and the state, so
	// that a resend is recognised although the body may differ; empty compares the bodies.
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

// MaxBatch bounds the commands of a batch; a larger one is refused.
const MaxBatch = 1_000

// Batch applies commands without ids in order under one entry of the log; one that is refused does
// not stop the others. An empty batch only moves the time on.
type Batch struct {
	Commands []Command
}

// ApplyProfile stores a profile; its Version is the one that the operator read, 0 for a new one.
type ApplyProfile struct {
	Profile Profile
}

// LoadFleet adds the pools, VMs and profiles of the settings that the state does not know yet.
type LoadFleet struct {
	Profiles []Profile
	Pools    []Pool
	VMs      []VM
}

// ObserveVM records what the platform says of a VM.
type ObserveVM struct {
	VM    VMID
	State VMState
	// Epoch is that of the latest order which the platform has taken for the VM; 0 if unknown.
	Epoch Epoch `json:",omitempty"`
}

// QuarantineVM bars a VM from starting tasks, or lifts the bar.
type QuarantineVM struct {
	VM          VMID
	Quarantined bool
	Reason      string
}

// StartMove begins the drain that brings a VM to another pool.
type StartMove struct {
	VM     VMID
	Epoch  Epoch
	To     PoolID
	Reason string
}

// CommitMove gives a drained VM to the pool that its move names.
type CommitMove struct {
	VM    VMID
	Epoch Epoch
}

// AbandonMove leaves a VM in its old pool.
type AbandonMove struct {
	VM     VMID
	Epoch  Epoch
	Reason string
}

// PlanWave stores a wave's plan under the next plan version.
type PlanWave struct {
	Wave Wave
}

// ApproveWave starts the wave if its plan still has this version.
type ApproveWave struct {
	Wave        WaveID
	PlanVersion Version
}

// SetWaveState pauses, resumes, cancels or ends a wave, or changes the reason it waits for.
type SetWaveState struct {
	Wave   WaveID
	State  WaveState
	Reason string
	// Held makes a pause last until an operator resumes the wave.
	Held bool `json:",omitempty"`
	// Accept resumes the wave despite the VMs that are lost now, and lifts an operator's pause.
	Accept bool `json:",omitempty"`
}

// AdvanceStep moves a step on; a step that starts draining is the permit, checked against the budget.
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

// CancelJob cancels a job; a running task is stopped.
type CancelJob struct {
	Job JobID
}

// StartTask leases a job to a VM.
type StartTask struct {
	Job      JobID
	VM       VMID
	Epoch    Epoch
	Until    Time
	Reserved Resources
	// Probe tests a quarantined VM with one idempotent job.
	Probe bool `json:",omitempty"`
}

// OrderTask tells the worker of a leased task what to do with it.
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
	// Peak is the largest use that the worker reported.
	Peak Resources `json:",omitzero"`
}

// TaskResult is how a task ended.
type TaskResult string

// Results of a task.
const (
	TaskSucceeded    TaskResult = "succeeded"
	TaskFailed       TaskResult = "failed"
	TaskCheckpointed TaskResult = "checkpointed"
	TaskNotStarted   TaskResult = "not-started"
	// TaskLost says that the lease ended without a report.
	TaskLost TaskResult = "lost"
	// TaskStopped says that the worker stopped the task as ordered.
	TaskStopped TaskResult = "stopped"
	// TaskExpired says that the worker stopped the task by itself when its lease ended.
	TaskExpired TaskResult = "expired"
)

// RenewLeases prolongs leases whose workers were heard.
type RenewLeases struct {
	Leases []LeaseID `json:",omitempty"`
	// AllExcept prolongs every lease but these in place of those in Leases.
	AllExcept []LeaseID `json:",omitempty"`
	All       bool      `json:",omitempty"`
	Until     Time
}

// TaskBatch is what one step of placement changes; its parts are applied in the order of the fields,
// and an item that is refused does not stop the others.
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

// CancelJobs cancels many jobs in one command; an unknown or ended one does not stop the others.
type CancelJobs struct {
	Jobs []JobID
}

// JobFailure is an item of a batch that was refused.
type JobFailure struct {
	Job     JobID
	Failure Failure
}

// RefuseJob ends a job that can never run.
type RefuseJob struct {
	Job    JobID
	Reason string
}

// MakeClaim claims a non-idempotent request before it is sent.
type MakeClaim struct {
	Request RequestID
	Digest  ClaimDigest
	Gateway GatewayID
	// Attempt tells the resend of this command from a resend of the request.
	Attempt string
}

// RecordAnswer ends a claim with the answer, or frees it if the work certainly did not run.
type RecordAnswer struct {
	Request RequestID
	Attempt string
	// NotRun says that the work did not run, so that a resend may claim again.
	NotRun bool
	Answer *RecordedAnswer `json:",omitempty"`
}

// FailureKind tells typed errors apart in a Result.
type FailureKind string

// Kinds of failures.
const (
	FailureInvalid  FailureKind = "Invalid"
	FailureNotExist FailureKind = "NotExist"
	FailureConflict FailureKind = "Conflict"
	FailureReused   FailureKind = "CommandReused"
)

// Failure is the typed error of a command that was refused when applied.
type Failure struct {
	Kind FailureKind
	// Object is the kind of object, such as profile; Name its id; Field the path of a wrong field.
	Object string `json:",omitempty"`
	Name   string `json:",omitempty"`
	Field  string `json:",omitempty"`
	Reason string `json:",omitempty"`
}

// Err returns the typed error that f stands for.
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

// Result is the outcome of an applied command; it is kept for resends of the same command id.
type Result struct {
	Revision Revision
	Failure  *Failure     `json:",omitempty"`
	Profile  *Profile     `json:",omitempty"`
	Wave     *Wave        `json:",omitempty"`
	Job      *Job         `json:",omitempty"`
	Claim    *ClaimResult `json:",omitempty"`
	// Claims are the results of a batch's claims in their order.
	Claims []ClaimResult `json:",omitempty"`
	// RefusedJobs lists the items of a batch that were refused.
	RefusedJobs []JobFailure `json:",omitempty"`
	// Refused lists the failures of a batch's commands.
	Refused []Failure `json:",omitempty"`
}

// Applier is the replicated state: a deterministic function of the commands applied so far.
type Applier interface {
	// Apply applies a committed command and returns its result, or the first one for a resend.
	Apply(c Command) Result
	// FirstResult returns the first result of a command id and the digest that got it.
	FirstResult(c CommandID) (Result, string, bool)
	// Fleet returns a view of the state.
	Fleet() Fleet
	// History returns the versions kept of a profile, oldest first.
	History(p ProfileID) []Profile
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}
