package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Changes is the content of one log entry. Its parts are applied in the order of the fields.
type Changes struct {
	// At is the dispatcher's time. The time of the state is the latest one applied.
	At        manager.Time
	Configure *manager.FleetConfiguration `json:",omitempty"`
	Crash     []Crash                     `json:",omitempty"`
	// RetractCrash holds recorded crashes, with only those of their tasks against which they no longer count.
	RetractCrash []Crash `json:",omitempty"`
	End          []End   `json:",omitempty"`
	// ClearCrashes names tasks with a run that has outlasted CrashWindow.
	ClearCrashes []manager.TaskID `json:",omitempty"`
	// ForgetExpired names worker instances that have not crashed although their leases expired.
	ForgetExpired []manager.WorkerInstance `json:",omitempty"`
	// GiveUp names jobs that fail because a task crashes its workers.
	GiveUp      []manager.GraphID            `json:",omitempty"`
	Cancel      []manager.GraphID            `json:",omitempty"`
	Submit      []manager.Graph              `json:",omitempty"`
	Wave        []manager.MaintenanceRequest `json:",omitempty"`
	Maintenance []MaintenanceChange          `json:"Upkeep,omitempty"`
	Move        []Move                       `json:",omitempty"`
	Occur       []Occurrence                 `json:",omitempty"`
	Start       []Start                      `json:",omitempty"`
}

// Empty reports whether there are no changes.
func (c *Changes) Empty() bool {
	return c.Configure == nil && len(c.Crash)+len(c.RetractCrash)+len(c.ClearCrashes)+len(c.ForgetExpired)+len(c.GiveUp) == 0 &&
		len(c.End)+len(c.Cancel)+len(c.Submit)+len(c.Wave)+len(c.Maintenance)+len(c.Move)+len(c.Occur)+len(c.Start) == 0
}

// Start records that a task was assigned to a worker instance.
type Start struct {
	Task     manager.TaskID
	Run      manager.RunNumber
	Instance manager.WorkerInstance `json:"Life"`
	VM       manager.VMID           `json:",omitempty"`
	// Permit is sent with the start order, for queues that require one.
	Permit manager.Permit `json:",omitempty"`
}

// End records the end of a run.
type End struct {
	Task  manager.TaskID
	Run   manager.RunNumber
	How   manager.RunEnd
	Saved manager.Checkpoint `json:",omitempty"`
	// Unreported means that the lease of the worker has expired before it reported that it runs the task.
	Unreported bool `json:",omitempty"`
	// Slowdown is how many times as long the run lasted because it was remote from its data or its group; 0 means that it
	// was not.
	Slowdown float64 `json:",omitempty"`
}

// localTime returns how long the run would have lasted near its data.
func (e *End) localTime(ran manager.Duration) manager.Duration {
	if e.Slowdown <= 1 {
		return ran
	}
	return manager.DurationOf(float64(ran) / e.Slowdown)
}

// MaintenanceState is the progress of one VM of a wave.
type MaintenanceState string

// States of a VM's maintenance.
const (
	MaintenanceWaiting MaintenanceState = ""
	// MaintenanceOrdered is recorded before the platform is called; from then on the VM may be down.
	MaintenanceOrdered MaintenanceState = "ordered"
	// MaintenanceStarted means that the platform has confirmed the order.
	MaintenanceStarted MaintenanceState = "begun"
	// MaintenanceDone means that the VM is back or no longer exists.
	MaintenanceDone MaintenanceState = "done"
)

// MaintenanceChange records the progress of one VM of a wave.
type MaintenanceChange struct {
	Wave  uint64
	VM    manager.VMID
	State MaintenanceState
	// InstanceStart is the start of the worker instance that the maintenance ends. An instance that started later
	// shows that the VM is back.
	InstanceStart manager.Time `json:"Born,omitempty"`
}

// Move records that a VM was ordered to move to another pool. An empty pool ends the move.
type Move struct {
	VM   manager.VMID
	Pool manager.PoolID `json:",omitempty"`
	// From is the pool that the VM leaves. In the first move of a VM it is the VM's home pool.
	From manager.PoolID `json:",omitempty"`
}

// Occurrence starts an occurrence of a repeating job.
type Occurrence struct {
	Graph manager.GraphID
	// Number counts from 0; the first occurrence is the job itself.
	Number int
}
