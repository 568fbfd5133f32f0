package manager

// UpstreamState is the state that an upstream announces.
type UpstreamState string

// States of an upstream.
const (
	UpstreamReady   UpstreamState = "ready"
	UpstreamLeaving UpstreamState = "leaving"
)

// Announcement is sent periodically by an upstream to any gateway to register and stay registered.
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

// AnnouncementAnswer tells an upstream how often to announce itself and when its announcement expires.
type AnnouncementAnswer struct {
	PeriodMs     Duration
	TimeToLiveMs Duration
}

// GossipEntry is an announcement with its age, summed over the clocks of the gateways that relayed it.
type GossipEntry struct {
	Announcement Announcement
	AgeMs        Duration
}

// MembershipDigest is a hash of the known upstreams and their states; two gateways with the same membership
// have the same digest.
type MembershipDigest uint64

// EntryDigest is a hash of an upstream, its incarnation and its state.
type EntryDigest uint32

// GossipMessage sends a gateway's view of the upstreams to a peer.
type GossipMessage struct {
	From  GatewayID
	Start StartID
	// Clock is the time of the sender's clock.
	Clock Time
	// Echo is the last Clock received from the receiver's start EchoStart, SinceMs before this message
	// was sent. They give an upper bound of the transit time. Echo is 0 if nothing was received.
	Echo      Time     `json:",omitempty"`
	EchoStart StartID  `json:",omitempty"`
	SinceMs   Duration `json:",omitempty"`
	Digest    MembershipDigest
	// Ages holds the ages of all upstreams in the order of their IDs, for a receiver with the same Digest.
	Ages []byte `json:",omitempty"`
	// Entries holds the upstreams that changed recently or that the receiver lacks.
	Entries []GossipEntry `json:",omitempty"`
	// Summary lists all upstreams known to the sender; it is sent if the digests differ.
	Summary []EntryDigest `json:",omitempty"`
	// Want lists the upstreams that the sender lacks.
	Want []EntryDigest `json:",omitempty"`
}

// Member is an upstream that a gateway may use.
type Member struct {
	Announcement
	// AnnouncedAt is the local time at which the upstream sent the announcement.
	AnnouncedAt Time
}

// Registrar maintains the membership of upstreams from announcements and gossip.
type Registrar interface {
	// Announce handles an announcement received directly from an upstream.
	Announce(now Time, a Announcement) error
	// Gossip returns the first message of an exchange with a peer.
	Gossip(now Time, peer GatewayID) GossipMessage
	// Answer handles a peer's message and returns the answer.
	Answer(now Time, m GossipMessage) GossipMessage
	// Merge handles the answer to a message sent at sent. It returns a second message if the two gateways
	// still differ.
	Merge(now, sent Time, peer GatewayID, m GossipMessage) (GossipMessage, bool)
	// Ready returns the upstreams of a service that accept new work, ordered by ID. The caller must not
	// modify the list.
	Ready(now Time, s ServiceID) []Member
	// All returns all known upstreams, ordered by ID.
	All(now Time) []Member
}
