package manager

// StartID identifies a start of a gateway; after a restart, the gateway is a different lease holder.
type StartID uint64

// LoanID identifies a loan among those of one start of a gateway.
type LoanID uint64

// SetDigest is a hash of the set of gateways in the settings of a gateway.
type SetDigest uint64

// SlotRequest asks a peer to vote for leases, to lend slots and to take back borrowed slots.
type SlotRequest struct {
	From  GatewayID
	Start StartID
	// To is the receiver's start as known to the sender, or 0 if the receiver has not answered yet.
	To  StartID `json:",omitempty"`
	Set SetDigest
	// Number counts the requests of a start, so that a delayed release does not free a lease granted later.
	Number uint64
	// Shards are the home gateways whose slots the sender has leased or wants to lease.
	Shards []GatewayID `json:",omitempty"`
	// HoldMs is the requested duration of the leases.
	HoldMs Duration `json:",omitempty"`
	// Release lists shards whose lease the sender gave up with no slot in use.
	Release []GatewayID `json:",omitempty"`
	// Voting means that the sender may vote.
	Voting bool `json:",omitempty"`
	// Promised lists the votes that a receiver that may not vote yet must not contradict.
	Promised []SlotPromise `json:",omitempty"`
	Returns  []LoanID      `json:",omitempty"`
	Borrow   *Borrow       `json:",omitempty"`
	// Offer is a service that now has idle slots, after the receiver asked for some without success.
	Offer ServiceID `json:",omitempty"`
}

// SlotPromise is a vote for a holder's lease on a shard.
type SlotPromise struct {
	Shard  GatewayID
	Holder GatewayID
	Start  StartID
	// Number is the SlotRequest.Number of the holder's request that the promise answered.
	Number uint64
	// ForMs is the remaining validity of the promise.
	ForMs Duration
}

// Borrow asks for slots of a service.
type Borrow struct {
	Service ServiceID
	Count   int
	// LeastMs is the minimum time for which the slots are needed, and HoldMs the time for which they are useful.
	LeastMs Duration
	HoldMs  Duration
	// WaitMs is the expected waiting time of the last request in the queue.
	WaitMs Duration `json:",omitempty"`
}

// SlotDemand is the demand of a service's queue for slots; a Count of 0 means that no request is waiting.
type SlotDemand struct {
	Service ServiceID
	Count   int
	// Until is the time until which the first request needs its slot.
	Until Time
	// WaitMs is the expected waiting time of the last request.
	WaitMs Duration
}

// Loan is the right to use one slot at an address for HoldMs, counted from the sending of the request for it.
type Loan struct {
	Loan    LoanID
	Address Address
	HoldMs  Duration
}

// SlotAnswer is a peer's answer to a SlotRequest.
type SlotAnswer struct {
	Start StartID
	// To is the requesting gateway's start as known to the answering gateway.
	To StartID `json:",omitempty"`
	// Granted lists the shards for which the answering gateway votes for the requesting one.
	Granted []GatewayID `json:",omitempty"`
	// Voting means that the answering gateway may vote.
	Voting bool `json:",omitempty"`
	// Promised lists the votes that a requesting gateway that may not vote yet must not contradict.
	Promised []SlotPromise `json:",omitempty"`
	// OtherSet means that the settings of the answering gateway list other gateways, so it grants no votes.
	OtherSet bool   `json:",omitempty"`
	Loans    []Loan `json:",omitempty"`
}

// SlotExchange is a message to send to a peer now.
type SlotExchange struct {
	Peer    GatewayID
	Request SlotRequest
	// Gossip means that the message also carries gossip about the membership.
	Gossip bool
}

// SlotSource manages the slots of upstreams that a gateway may use. No two gateways use the same slot at once.
type SlotSource interface {
	// Available returns how many requests may start on m now and keep their slots until until.
	Available(now Time, m Member, until Time) int
	// Acquire takes a slot until Release or until, whichever comes first, unless Revoked returns the request.
	Acquire(now Time, r RequestID, m Member, until Time) bool
	// Release frees the slot of a request.
	Release(now Time, r RequestID)
	// Revoked returns the running requests whose slots another gateway may soon use, so that they must end
	// now. Each is returned once.
	Revoked(now Time) []RequestID
	// SetDemand sets the demand of a service's queue for slots.
	SetDemand(now Time, w SlotDemand)
}

// SlotLeaser is a SlotSource that leases slots by exchanging messages with its peers.
type SlotLeaser interface {
	SlotSource
	// Outgoing returns the messages to send now.
	Outgoing(now Time) []SlotExchange
	// Handle answers a peer's request.
	Handle(now Time, r SlotRequest) SlotAnswer
	// Answered handles the answer to a request that was sent at sent.
	Answered(now Time, sent Time, e SlotExchange, a SlotAnswer)
	// Failed records that a request got no answer.
	Failed(now Time, e SlotExchange)
	// HasLease reports whether this gateway may use any slots now.
	HasLease(now Time) bool
	// Stop gives up the leases and returns the messages that announce it. No request may start afterwards.
	Stop(now Time) []SlotExchange
}

// PeerMessage is a message from one gateway to another.
type PeerMessage struct {
	Slots      *SlotRequest   `json:",omitempty"`
	Membership *GossipMessage `json:",omitempty"`
}

// PeerAnswer is the answer to a PeerMessage.
type PeerAnswer struct {
	Slots      *SlotAnswer    `json:",omitempty"`
	Membership *GossipMessage `json:",omitempty"`
}
