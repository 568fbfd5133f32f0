package manager

import "context"

// Demand is what a service's queue asks for.
type Demand struct {
	Service ServiceID
	// BusySlots and WaitingRequests are sums over the gateways.
	BusySlots       int
	WaitingRequests int
	RefusedRequests int
	SlotsPerVM      int
}

// Rebalancer decides which VMs change pool.
type Rebalancer interface {
	// Observe takes the demand of each service.
	Observe(now Time, d []Demand)
	// Plan returns the commands that start, commit or abandon moves.
	Plan(now Time, f Fleet) []Command
	// Reserves returns what each pool holds and is meant to hold, ordered by pool.
	Reserves(now Time, f Fleet) []PoolReserve
}

// PoolReserve is what a pool holds and is meant to hold, in VMs.
type PoolReserve struct {
	Pool PoolID
	// Size counts the pool's VMs without those that are leaving.
	Size int
	// Busy is what the present demand of the service asks of the pool.
	Busy int
	Idle int
	// Need is what the learned demand asks for.
	Need int
	// ReserveWanted is the idle capacity that is meant to be held beyond the present demand.
	ReserveWanted int
	// Why says which rule sets the reserve.
	Why string
}

// WaveSpec is what an operator asks of a new wave.
type WaveSpec struct {
	Wave  WaveID
	Pools []PoolID
}

// Maintainer plans and runs maintenance waves under availability budgets.
type Maintainer interface {
	// Plan returns the steps of a wave, or an error that names the rule which forbids it.
	Plan(now Time, f Fleet, spec WaveSpec) (Wave, error)
	// Step returns the commands that the running waves call for now.
	Step(now Time, f Fleet) []Command
}

// VMObservation is what the platform says of a VM.
type VMObservation struct {
	VM    VMID
	State VMState
	// Epoch is that of the latest order taken for the VM; 0 if the platform does not tell.
	Epoch Epoch `json:",omitempty"`
}

// Platform drains and reboots VMs; every call may be repeated and refuses an epoch older than it has seen.
type Platform interface {
	// Drain lets the VM finish its work and take no more.
	Drain(ctx context.Context, v VMID, e Epoch) error
	// Reboot restarts a drained VM.
	Reboot(ctx context.Context, v VMID, e Epoch) error
	// Restore puts a draining or drained VM back to work in a pool.
	Restore(ctx context.Context, v VMID, e Epoch, p PoolID) error
	// Observe returns the state of every VM.
	Observe(ctx context.Context) ([]VMObservation, error)
}
