package proposer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Paths of the controllers' endpoints.
const (
	PathPropose       = "/control/propose"
	PathFleet         = "/control/fleet"
	PathHistory       = "/control/history"
	PathJob           = "/control/job"
	PathPlan          = "/control/plan"
	PathPreview       = "/control/preview"
	PathReserves      = "/control/reserves"
	PathConfiguration = "/control/configuration"
	PathDemand        = "/control/demand"
	PathGateways      = "/control/gateways"
	PathReplicas      = "/control/replicas"
)

// ConfigurationRequest asks for a configuration newer than the one that a gateway has.
type ConfigurationRequest struct {
	Gateway manager.GatewayID
	After   manager.Revision
	// WaitMs is the longest time for which the controller holds the request (long poll).
	WaitMs manager.Duration
}

// Configuration is the part of the state that gateways need. A gateway may use it for LeaseMs, counted
// from HeldMs after it sent the request.
type Configuration struct {
	Revision manager.Revision
	LeaseMs  manager.Duration
	// HeldMs is how long the controller held the request before it confirmed that it is the leader.
	HeldMs manager.Duration
	// Unchanged reports that the gateway already has this revision; the lists are then omitted.
	Unchanged bool `json:",omitempty"`
	Profiles  []manager.Profile
	Pools     []manager.Pool
}

// DemandReport is the demand that one gateway observed for each service.
type DemandReport struct {
	Gateway  manager.GatewayID
	Revision manager.Revision
	Demand   []manager.Demand
}

// History is the list of a profile's versions, oldest first.
type History struct {
	Profiles []manager.Profile
}

// Acknowledgement is the answer to a DemandReport.
type Acknowledgement struct{}

// GatewayStatus is the controllers' record of a gateway.
type GatewayStatus struct {
	Gateway  manager.GatewayID
	Revision manager.Revision
	// HeardMsAgo is the time since its last report.
	HeardMsAgo manager.Duration
}

// Replicas holds the members of the replica group as the leader knows them.
type Replicas struct {
	Leader   manager.ReplicaID
	Term     manager.Term
	Commit   manager.Index
	Replicas []manager.ReplicaMember
}

// PlanRequest asks for the plan of a wave.
type PlanRequest struct {
	Spec manager.WaveSpec
	// Command and Digest are those of the operator's change, so that a retry is recognized even if no
	// plan can be made any more.
	Command manager.CommandID
	Digest  string
}

// PlanAnswer holds a plan that is not stored yet.
type PlanAnswer struct {
	Wave manager.Wave
	// Resent reports that the change was answered before, so that no plan was made.
	Resent bool `json:",omitempty"`
}
