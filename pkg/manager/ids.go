package manager

// Ids of the objects of a fleet. Each is chosen by its owner and unique among objects of its kind.
type (
	// ServiceID identifies a service that callers send requests to.
	ServiceID string
	// PoolID identifies a pool of VMs.
	PoolID string
	// VMID identifies a VM.
	VMID string
	// UpstreamID identifies an upstream, a running instance of a service.
	UpstreamID string
	// GatewayID identifies a gateway.
	GatewayID string
	// AvailabilityZone is the name of an availability zone.
	AvailabilityZone string
	// RackID identifies a rack in an availability zone.
	RackID string
	// RequestID identifies a request of a caller.
	RequestID string
	// CommandID identifies a change requested by an operator or a service.
	CommandID string
	// WaveID identifies a maintenance wave.
	WaveID string
	// JobID identifies a job.
	JobID string
	// ProfileID identifies a profile.
	ProfileID string
	// TeamID identifies a team that has a quota.
	TeamID string
	// Address is an IP address and port.
	Address string
	// ReplicaID identifies a controller replica; the ID of a replica that lost its disk is never reused.
	ReplicaID uint64
)

// MaxIDBytes limits the IDs that come from outside: they are part of many messages and log entries.
const MaxIDBytes = 256

// Counters that order events. None ever decreases.
type (
	// Revision counts the changes applied to the replicated state.
	Revision uint64
	// Version counts the changes to a document, such as a profile or the plan of a wave.
	Version uint64
	// Epoch counts the successive owners of a VM.
	Epoch uint64
	// Incarnation counts the starts of an upstream.
	Incarnation uint64
	// Sequence counts the messages of a sender, such as the announcements of one incarnation.
	Sequence uint64
	// Term counts the election terms of a replica group.
	Term uint64
	// Index is the position of an entry in a replicated log.
	Index uint64
)

// Units of capacity.
type (
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64
	// MegaBytes is memory in units of 1024 * 1024 bytes (MiB).
	MegaBytes int64
	// Accelerators is a number of accelerator devices.
	Accelerators int64
	// Slots is a number of concurrent requests.
	Slots int
	// Connections is a number of open connections.
	Connections int
	// Percent is a ratio in hundredths.
	Percent int
)
