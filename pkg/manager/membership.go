package manager

// UpstreamState is what an upstream says of itself.
type UpstreamState string

// States of an upstream.
const (
	UpstreamReady   UpstreamState = "ready"
	UpstreamLeaving UpstreamState = "leaving"
)

// Announcement is what an upstream repeats to any gateway to take and keep its place.
type Announcement struct {
	Upstream         UpstreamID
	Incarnation      Incarnation
	Sequence         Sequence
	Service          ServiceID
	Pool             PoolID
	VM               VMID
	Address          Address
	AvailabilityZone AvailabilityZone
	Rack             RackID
	Slots            Slots
	Connections      Connections
	InFlight         int
	State            UpstreamState
}

// AnnouncementAnswer tells an upstream how often to announce itself.
type AnnouncementAnswer struct {
	PeriodMs     Duration
	TimeToLiveMs Duration
}

// GossipEntry is an announcement with its age, measured on the clocks of those that carried it.
type GossipEntry struct {
	Announcement Announcement
	AgeMs        Duration
}

// GossipMessage carries what a gateway knows of upstreams to a peer.
type GossipMessage struct {
	From    GatewayID
	Entries []GossipEntry
}

// Member is an upstream that a gateway may use.
type Member struct {
	Announcement
	// AnnouncedAt is the local time at which the upstream said this.
	AnnouncedAt Time
}

// Registrar keeps the membership of upstreams from announcements and gossip.
type Registrar interface {
	// Announce takes what an upstream said directly.
	Announce(now Time, a Announcement) error
	// Merge takes a peer's message.
	Merge(now Time, m GossipMessage)
	// Gossip returns the message for a peer.
	Gossip(now Time) GossipMessage
	// Ready returns the upstreams of a service that may get new work, ordered by id.
	Ready(now Time, s ServiceID) []Member
	// All returns every known upstream, ordered by id.
	All(now Time) []Member
}
