package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Changes is one entry of the log; its parts are applied in the order of the fields.
type Changes struct {
	// At is the dispatcher's time; the book's time is the latest seen.
	At          manager.Time
	Configure   *manager.FleetConfiguration `json:",omitempty"`
	End         []End                       `json:",omitempty"`
	Cancel      []manager.GraphID           `json:",omitempty"`
	Submit      []manager.Graph             `json:",omitempty"`
	Wave        []manager.UpkeepWave        `json:",omitempty"`
	Maintenance []MaintenanceChange         `json:"Upkeep,omitempty"`
	Move        []Move                      `json:",omitempty"`
	Occur       []Occurrence                `json:",omitempty"`
	Start       []Start                     `json:",omitempty"`
}

// Empty tells whether nothing changes.
func (c *Changes) Empty() bool {
	return c.Configure == nil && len(c.End)+len(c.Cancel)+len(c.Submit)+len(c.Wave)+len(c.Maintenance)+len(c.Move)+len(c.Occur)+len(c.Start) == 0
}

// Start gives a task to one life of a worker.
type Start struct {
	Task     manager.TaskID
	Run      manager.RunNumber
	Instance manager.WorkerLife `json:"Life"`
	// Permit goes out with the order, for the queues that need one.
	Permit manager.Permit `json:",omitempty"`
}

// End records the end of a run.
type End struct {
	Task  manager.TaskID
	Run   manager.RunNumber
	How   manager.RunEnd
	Saved manager.Checkpoint `json:",omitempty"`
}

// MaintenanceState is how far a VM of a wave is.
type MaintenanceState string

// States of a VM's upkeep.
const (
	MaintenanceWaiting MaintenanceState = ""
	// MaintenanceOrdered is recorded before the platform is called: the VM may be down from then on.
	MaintenanceOrdered MaintenanceState = "ordered"
	// MaintenanceStarted says that the platform has confirmed the order.
	MaintenanceStarted MaintenanceState = "begun"
	// MaintenanceDone says that the VM is back, or gone for good.
	MaintenanceDone MaintenanceState = "done"
)

// MaintenanceChange moves a VM of a wave on.
type MaintenanceChange struct {
	Wave  uint64
	VM    manager.VMID
	State MaintenanceState
	// InstanceStart is the life that the upkeep ends; a later one shows that the VM is back.
	InstanceStart manager.Time `json:"Born,omitempty"`
}

// Move records that a VM is ordered into another pool; an empty pool ends the move.
type Move struct {
	VM   manager.VMID
	Pool manager.PoolID `json:",omitempty"`
	// From is the pool that the VM leaves; that of its first move is its home.
	From manager.PoolID `json:",omitempty"`
}

// Occurrence begins a further occurrence of a job that repeats.
type Occurrence struct {
	Graph manager.GraphID
	// Number counts from 0; the job itself is the first occurrence.
	Number int
}
