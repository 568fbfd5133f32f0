package manager

import "context"

// FleetCallKind tells the calls of a desk apart.
type FleetCallKind string

// Kinds of calls.
const (
	CallSubmit    FleetCallKind = "submit"
	CallState     FleetCallKind = "state"
	CallCancel    FleetCallKind = "cancel"
	CallPending   FleetCallKind = "pending"
	CallReport    FleetCallKind = "report"
	CallLeave     FleetCallKind = "leave"
	CallConfigure FleetCallKind = "configure"
	CallReadBack  FleetCallKind = "read-back"
	CallWave      FleetCallKind = "wave"
	CallWaveState FleetCallKind = "wave-state"
)

// FleetCall is a call of a caller, a worker or an operator; Kind says which fields count.
type FleetCall struct {
	Kind FleetCallKind
	// Host and Path select the queue of a caller's request; what follows the queue's prefix in Path is
	// the job's id.
	Host string `json:",omitempty"`
	Path string `json:",omitempty"`
	// Graph comes without its id and queue.
	Graph         *Graph              `json:",omitempty"`
	Report        *WorkerReport       `json:",omitempty"`
	Instance      *WorkerInstance     `json:"Life,omitempty"`
	Configuration *FleetConfiguration `json:",omitempty"`
	Wave          *MaintenanceRequest `json:",omitempty"`
	// Forwarded is set by the node that answers a call which another node brought.
	Forwarded bool `json:"-"`
}

// FleetReply is the answer to a call that was taken.
type FleetReply struct {
	State     GraphState    `json:",omitempty"`
	Pending   int           `json:",omitempty"`
	Orders    *WorkerOrders `json:",omitempty"`
	Document  []byte        `json:",omitempty"`
	Completed bool          `json:",omitempty"`
}

// FleetAPI takes calls, wherever the dispatcher runs. ErrOverloaded, ErrNotExist, ErrInvalid and
// ErrUnavailable say that nothing was done, ErrOutcomeUnknown that it may have been.
type FleetAPI interface {
	Call(ctx context.Context, c FleetCall) (FleetReply, error)
	// Ready returns why no call can be taken now, or nil.
	Ready() error
	// RemoteLeader returns where operators reach the node that leads, or false where that is this one or
	// not known.
	RemoteLeader() (Address, bool)
}
