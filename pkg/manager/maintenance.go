package manager

import "context"

// Demand is the load of a service's queue.
type Demand struct {
	Service ServiceID
	// BusySlots and WaitingRequests are summed over the gateways.
	BusySlots       int
	WaitingRequests int
	RefusedRequests int
	SlotsPerVM      int
}

// Rebalancer decides which VMs move to another pool.
type Rebalancer interface {
	// Observe records the demand of each service.
	Observe(now Time, d []Demand)
	// Plan returns the commands that start, commit or abandon moves.
	Plan(now Time, f Fleet) []Command
	// Reserves returns the actual and wanted size of each pool, ordered by pool.
	Reserves(now Time, f Fleet) []PoolReserve
}

// PoolReserve is the actual and wanted size of a pool, in VMs.
type PoolReserve struct {
	Pool PoolID
	// Size is the number of VMs of the pool, not counting those that are leaving.
	Size int
	// Busy is the number of VMs that the current demand of the service requires from the pool.
	Busy int
	Idle int
	// Need is the number of VMs that the learned demand requires.
	Need int
	// ReserveWanted is the idle capacity to keep beyond the current demand.
	ReserveWanted int
	// Reason is the rule that determines the reserve.
	Reason string `json:"Why"`
}

// WaveSpec is an operator's specification of a new wave.
type WaveSpec struct {
	Wave  WaveID
	Pools []PoolID
}

// Maintainer plans and runs maintenance waves within availability budgets.
type Maintainer interface {
	// Plan returns the steps of a wave, or an error that names the rule that forbids it.
	Plan(now Time, f Fleet, spec WaveSpec) (Wave, error)
	// Step returns the commands that advance the running waves now.
	Step(now Time, f Fleet) []Command
}

// VMObservation is the state of a VM as the platform reports it.
type VMObservation struct {
	VM    VMID
	State VMState
	// Epoch is that of the latest order that the platform accepted for the VM, or 0 if it does not report one.
	Epoch Epoch `json:",omitempty"`
}

// Platform drains and reboots VMs. All calls are idempotent and reject an epoch older than the latest seen.
type Platform interface {
	// Drain lets the VM finish its work and stops new work.
	Drain(ctx context.Context, v VMID, e Epoch) error
	// Reboot restarts a drained VM.
	Reboot(ctx context.Context, v VMID, e Epoch) error
	// Restore returns a draining or drained VM to service in a pool.
	Restore(ctx context.Context, v VMID, e Epoch, p PoolID) error
	// Observe returns the state of every VM.
	Observe(ctx context.Context) ([]VMObservation, error)
}
