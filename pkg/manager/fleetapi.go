package manager

import "context"

// FleetCallKind is the kind of a call of the fleet API.
type FleetCallKind string

// Kinds of calls of the fleet API.
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

// FleetCall is a call by a caller, a worker or an operator; Kind determines which fields are used.
type FleetCall struct {
	Kind FleetCallKind
	// Host and Path select the queue of a caller's request; the part of Path after the queue's prefix is
	// the job ID.
	Host string `json:",omitempty"`
	Path string `json:",omitempty"`
	// Key is the digest of the caller's API key.
	Key KeyDigest `json:",omitempty"`
	// Graph is sent without its ID and queue.
	Graph         *Graph              `json:",omitempty"`
	Report        *WorkerReport       `json:",omitempty"`
	Instance      *WorkerInstance     `json:"Life,omitempty"`
	Configuration *FleetConfiguration `json:",omitempty"`
	Wave          *MaintenanceRequest `json:",omitempty"`
	// Forwarded is set by a node that answers a call forwarded by another node.
	Forwarded bool `json:"-"`
}

// Validate returns an ErrInvalid if the call lacks the body of its kind, or nil. The body itself is not checked.
func (c FleetCall) Validate() error {
	missing := false
	switch c.Kind {
	case CallSubmit:
		missing = c.Graph == nil
	case CallReport:
		missing = c.Report == nil
	case CallLeave:
		missing = c.Instance == nil
	case CallConfigure:
		missing = c.Configuration == nil
	case CallWave, CallWaveState:
		missing = c.Wave == nil
	}
	if missing {
		return ErrInvalid{Field: string(c.Kind), Reason: "has no body"}
	}
	return nil
}

// FleetReply is the reply to an accepted call.
type FleetReply struct {
	State     GraphState    `json:",omitempty"`
	Pending   int           `json:",omitempty"`
	Orders    *WorkerOrders `json:",omitempty"`
	Document  []byte        `json:",omitempty"`
	Completed bool          `json:",omitempty"`
}

// FleetAPI accepts calls on any node and passes them to the dispatcher on the leader. ErrOverloaded,
// ErrNotExist, ErrInvalid, ErrUnauthorized and ErrUnavailable mean that nothing was done, ErrOutcomeUnknown that the call
// may have taken effect.
type FleetAPI interface {
	Call(ctx context.Context, c FleetCall) (FleetReply, error)
	// Ready returns the reason why no call can be accepted now, or nil.
	Ready() error
	// RemoteLeader returns the operators' address of the leader, or false if this node leads or the leader
	// is unknown.
	RemoteLeader() (Address, bool)
}
