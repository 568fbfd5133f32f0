package manager

// Ids of the parts of a fleet. Each is a name that its owner chooses and that is unique in its kind.
type (
	// ServiceID names a service that callers ask for.
	ServiceID string
	// PoolID names a pool of VMs.
	PoolID string
	// VMID names a VM.
	VMID string
	// UpstreamID names one instance of a service.
	UpstreamID string
	// GatewayID names a gateway.
	GatewayID string
	// AvailabilityZone names an availability zone.
	AvailabilityZone string
	// RackID names a rack in an availability zone.
	RackID string
	// RequestID names one request of a caller.
	RequestID string
	// CommandID names one change that an operator or a service asks for.
	CommandID string
	// WaveID names a maintenance wave.
	WaveID string
	// JobID names a job.
	JobID string
	// ProfileID names a profile.
	ProfileID string
	// TeamID names a team that owns a quota.
	TeamID string
	// Address is an IP address and port.
	Address string
	// ReplicaID numbers a controller replica; an id is never used again after its disk was lost.
	ReplicaID uint64
)

// Counters that order events. Each only grows.
type (
	// Revision counts the changes applied to the replicated state.
	Revision uint64
	// Version counts the changes of one document, such as a profile or a wave's plan.
	Version uint64
	// Epoch counts the owners of a VM.
	Epoch uint64
	// Incarnation counts the starts of an upstream.
	Incarnation uint64
	// Sequence counts the announcements of one incarnation.
	Sequence uint64
	// Term counts the elections of a replica group.
	Term uint64
	// Index counts the entries of a replicated log.
	Index uint64
)

// Units of capacity.
type (
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64
	// MegaBytes is memory in units of 1024 * 1024 bytes.
	MegaBytes int64
	// Accelerators is a number of accelerator devices.
	Accelerators int64
	// Slots is a number of requests that run at once.
	Slots int
	// Connections is a number of open connections.
	Connections int
	// Percent is a share in hundredths.
	Percent int
)
