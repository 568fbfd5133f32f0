package platformer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Paths of the platform's endpoints.
const (
	PathDrain   = "/platform/drain"
	PathReboot  = "/platform/reboot"
	PathRestore = "/platform/restore"
	PathVMs     = "/platform/vms"
	PathStart   = "/platform/tasks/start"
	PathOrder   = "/platform/tasks/order"
	PathRenew   = "/platform/tasks/renew"
	PathTasks   = "/platform/tasks"
)

// VMOrder is an order for a VM; the platform refuses an epoch older than it has seen.
type VMOrder struct {
	VM    manager.VMID
	Epoch manager.Epoch
	// Pool is set for a restore.
	Pool manager.PoolID `json:",omitempty"`
}

// TaskOrder is an order for a worker's task.
type TaskOrder struct {
	Lease manager.Lease
	// Job is set for a start.
	Job *manager.Job `json:",omitempty"`
	// Order is set for an order to a running task.
	Order manager.TaskOrder `json:",omitempty"`
}

// Done is the answer to an order.
type Done struct{}
