package manager

// StartID names one start of a gateway; a restarted gateway is another holder of leases.
type StartID uint64

// LoanID numbers the loans of one start of a gateway.
type LoanID uint64

// SetDigest names the set of gateways that a gateway was set up with.
type SetDigest uint64

// SlotRequest asks a peer to support leases, to lend slots and to take slots back.
type SlotRequest struct {
	From  GatewayID
	Start StartID
	// To is the receiver's start that the sender knows of; it is 0 if none answered yet.
	To  StartID `json:",omitempty"`
	Set SetDigest
	// Number counts the requests of a start, so that a late release frees nothing leased since.
	Number uint64
	// Shards are the home gateways whose slots the sender holds or wants to hold.
	Shards []GatewayID `json:",omitempty"`
	// HoldMs is how long the support is asked for.
	HoldMs Duration `json:",omitempty"`
	// Release names shards that the sender gave up with nothing in use.
	Release []GatewayID `json:",omitempty"`
	// Voting says that the sender may vote.
	Voting bool `json:",omitempty"`
	// Promised is what a receiver that may not vote yet must not vote against.
	Promised []SlotPromise `json:",omitempty"`
	Returns  []LoanID      `json:",omitempty"`
	Borrow   *Borrow       `json:",omitempty"`
	// Offer names a service whose slots the receiver asked for in vain and that now has idle ones.
	Offer ServiceID `json:",omitempty"`
}

// SlotPromise is the support of one holder for one shard.
type SlotPromise struct {
	Shard  GatewayID
	Holder GatewayID
	Start  StartID
	// Number is the holder's request that the promise answered.
	Number uint64
	// ForMs is how long the promise still holds.
	ForMs Duration
}

// Borrow asks for slots of a service.
type Borrow struct {
	Service ServiceID
	Count   int
	// LeastMs is how long the slots are needed at the least, and HoldMs how long they are of use.
	LeastMs Duration
	HoldMs  Duration
	// WaitMs is how long the last of the waiting requests is expected to wait.
	WaitMs Duration `json:",omitempty"`
}

// SlotDemand is what a service's queue asks for; a count of 0 says that nothing waits any more.
type SlotDemand struct {
	Service ServiceID
	Count   int
	// Until is the time until which the first request needs its slot.
	Until Time
	// WaitMs is how long the last request is expected to wait.
	WaitMs Duration
}

// Loan is the right to use one slot at an address, counted from the sending of the request for it.
type Loan struct {
	Loan    LoanID
	Address Address
	HoldMs  Duration
}

// SlotAnswer is a peer's answer to a SlotRequest.
type SlotAnswer struct {
	Start StartID
	// To is the asking gateway's start that the answering one knows of.
	To StartID `json:",omitempty"`
	// Granted are the shards that the answering gateway supports the asking one for.
	Granted []GatewayID `json:",omitempty"`
	// Voting says that the answering gateway may vote.
	Voting bool `json:",omitempty"`
	// Promised is what an asking gateway that may not vote yet must not vote against.
	Promised []SlotPromise `json:",omitempty"`
	// OtherSet says that the answering gateway was set up with other gateways, so that it supports none.
	OtherSet bool   `json:",omitempty"`
	Loans    []Loan `json:",omitempty"`
}

// SlotExchange is a message that a gateway shall send to a peer now.
type SlotExchange struct {
	Peer    GatewayID
	Request SlotRequest
	// Gossip says that the exchange shall carry membership too.
	Gossip bool
}

// SlotSource tells which slots of upstreams a gateway may use; no two gateways use one at a time.
type SlotSource interface {
	// Available returns how many requests may start at m now and hold their slots until until.
	Available(now Time, m Member, until Time) int
	// Acquire uses a slot until Give or until, whichever comes first, unless Lost names the request.
	Acquire(now Time, r RequestID, m Member, until Time) bool
	// Release returns the slot of a request.
	Release(now Time, r RequestID)
	// Revoked returns the running requests whose slots may be another gateway's soon, so that they must
	// end now; each is named once.
	Revoked(now Time) []RequestID
	// SetDemand says what a service's queue asks for.
	SetDemand(now Time, w SlotDemand)
}

// SlotLeaser is a SlotSource that agrees with its peers by messages.
type SlotLeaser interface {
	SlotSource
	// Outgoing returns the messages to send now.
	Outgoing(now Time) []SlotExchange
	// Handle answers a peer's request.
	Handle(now Time, r SlotRequest) SlotAnswer
	// Answered takes the answer to a request that was sent at sent.
	Answered(now Time, sent Time, e SlotExchange, a SlotAnswer)
	// Failed takes note that a request got no answer.
	Failed(now Time, e SlotExchange)
	// HasLease tells whether this gateway may use any slots now.
	HasLease(now Time) bool
	// Stop gives the leases up and returns the messages that say so; no request may start afterwards.
	Stop(now Time) []SlotExchange
}

// PeerMessage is what one gateway sends to another.
type PeerMessage struct {
	Slots      *SlotRequest   `json:",omitempty"`
	Membership *GossipMessage `json:",omitempty"`
}

// PeerAnswer is the answer to a PeerMessage.
type PeerAnswer struct {
	Slots      *SlotAnswer    `json:",omitempty"`
	Membership *GossipMessage `json:",omitempty"`
}
