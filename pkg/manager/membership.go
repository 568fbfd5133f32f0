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

// MembershipDigest is equal for two gateways that know the same upstreams in the same states.
type MembershipDigest uint64

// EntryDigest names one upstream's incarnation in one state.
type EntryDigest uint32

// GossipMessage carries what a gateway knows of upstreams to a peer.
type GossipMessage struct {
	From  GatewayID
	Start StartID
	// Clock is the sender's clock.
	Clock Time
	// Echo is the receiver's clock as its start EchoStart last told it, SinceMs before this message
	// was sent; they bound how long the message was under way. Echo is 0 if nothing was heard.
	Echo      Time     `json:",omitempty"`
	EchoStart StartID  `json:",omitempty"`
	SinceMs   Duration `json:",omitempty"`
	Digest    MembershipDigest
	// Ages are the ages of all upstreams in the order of their ids, for a receiver with equal Digest.
	Ages []byte `json:",omitempty"`
	// Entries are upstreams that changed lately or that the receiver lacks.
	Entries []GossipEntry `json:",omitempty"`
	// Summary names all upstreams that the sender knows; it is sent if the digests differ.
	Summary []EntryDigest `json:",omitempty"`
	// Want names the upstreams that the sender lacks.
	Want []EntryDigest `json:",omitempty"`
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
	// Gossip returns the message that opens an exchange with a peer.
	Gossip(now Time, peer GatewayID) GossipMessage
	// Answer takes a peer's message and returns the answer.
	Answer(now Time, m GossipMessage) GossipMessage
	// Merge takes the answer to a message that was sent at sent, and returns a second message if the
	// two gateways still differ.
	Merge(now, sent Time, peer GatewayID, m GossipMessage) (GossipMessage, bool)
	// Ready returns the upstreams of a service that may get new work, ordered by id; the list must
	// not be changed.
	Ready(now Time, s ServiceID) []Member
	// All returns every known upstream, ordered by id.
	All(now Time) []Member
}
