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
)

// ConfigurationRequest asks for a configuration newer than the one that a gateway has.
type ConfigurationRequest struct {
	Gateway manager.GatewayID
	After   manager.Revision
	// WaitMs bounds how long the controller holds the request.
	WaitMs manager.Duration
}

// Configuration is what gateways need of the state; it may be used for LeaseMs from the request on.
type Configuration struct {
	Revision manager.Revision
	LeaseMs  manager.Duration
	Profiles []manager.Profile
	Pools    []manager.Pool
}

// DemandReport is what one gateway saw of each service's queue.
type DemandReport struct {
	Gateway  manager.GatewayID
	Revision manager.Revision
	Demand   []manager.Demand
}

// History is the list of a profile's versions, oldest first.
type History struct {
	Profiles []manager.Profile
}

// Acknowledgement is the answer to a report.
type Acknowledgement struct{}

// GatewayStatus is what the controllers know of a gateway.
type GatewayStatus struct {
	Gateway  manager.GatewayID
	Revision manager.Revision
	// HeardMsAgo is the time since its last report.
	HeardMsAgo manager.Duration
}
