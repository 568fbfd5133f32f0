package manager

import "encoding/json"

// GroupID identifies a replica group and is new for each bootstrap; messages of other groups are dropped.
type GroupID string

// DiskID identifies the disk of a replica; a replica that lost its disk returns with a new one.
type DiskID string

// EntryKind is the kind of a log entry.
type EntryKind string

// Kinds of log entries.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = "command"
	// EntryTerm is the empty entry that starts a leader's term; committing it commits the entries of earlier terms.
	EntryTerm EntryKind = "term"
	// EntryMembers changes the membership of the group.
	EntryMembers EntryKind = "members"
)

// Entry is an entry of the replicated log; Index and Term identify it permanently.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// Data is a JSON value, opaque to the log.
	Data    json.RawMessage `json:",omitempty"`
	Members *Members        `json:",omitempty"`
}

// ReplicaMember is a member of a replica group.
type ReplicaMember struct {
	Replica          ReplicaID
	Address          Address
	AvailabilityZone AvailabilityZone `json:",omitempty"`
	Disk             DiskID
	// Learner means that the replica receives the log but neither votes nor counts towards a quorum.
	Learner bool `json:",omitempty"`
}

// Members is the membership of a replica group, ordered by ID.
type Members struct {
	List []ReplicaMember
	// LastReplica is the highest replica ID ever used; a new replica needs a higher one.
	LastReplica ReplicaID
	// Founders are the addresses of the members of the group's first start. More members than founders mean that some
	// are successors of others that are to leave.
	Founders []Address `json:",omitempty"`
	// Confirmed means that an earlier entry with the same List is committed.
	Confirmed bool `json:",omitempty"`
}

// HardState is the state that a replica must persist before it answers a message.
type HardState struct {
	Term Term
	// Vote is the replica that this one voted for in Term, or 0 for none.
	Vote ReplicaID
}

// SnapshotMeta describes a snapshot and the log position that it covers.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members Members
	// Bytes is the size of the snapshot's data.
	Bytes int64
}

// MessageKind is the kind of a message between replicas.
type MessageKind string

// Kinds of messages between replicas.
const (
	MessagePreVote        MessageKind = "pre-vote"
	MessagePreVoteAnswer  MessageKind = "pre-vote-answer"
	MessageVote           MessageKind = "vote"
	MessageVoteAnswer     MessageKind = "vote-answer"
	MessageAppend         MessageKind = "append"
	MessageAppendAnswer   MessageKind = "append-answer"
	MessageSnapshot       MessageKind = "snapshot"
	MessageSnapshotAnswer MessageKind = "snapshot-answer"
	// MessageTransfer asks the receiver to start an election immediately.
	MessageTransfer MessageKind = "transfer"
)

// ReplicaMessage is a message between replicas; messages may be lost, duplicated or delayed.
type ReplicaMessage struct {
	Kind  MessageKind
	Group GroupID
	From  ReplicaID
	To    ReplicaID
	// Disk is the receiver's disk; a replica with the same ID but another disk must not answer.
	Disk DiskID
	// FromDisk is the sender's disk, for a receiver that does not know the membership yet.
	FromDisk DiskID
	Term     Term
	// Index and LogTerm identify the sender's last entry in votes and the previous entry in appends. In
	// append answers, Index is the last matching entry or, if Refused is set, the rejected previous entry.
	Index   Index   `json:",omitempty"`
	LogTerm Term    `json:",omitempty"`
	Commit  Index   `json:",omitempty"`
	Entries []Entry `json:",omitempty"`
	// Round numbers the rounds in which a leader confirms its leadership; the answer repeats it.
	Round uint64 `json:",omitempty"`
	// Refused rejects the message; Hint is the last entry after which the sender of the answer could continue.
	Refused bool  `json:",omitempty"`
	Hint    Index `json:",omitempty"`
	// Stopping marks append answers of a replica whose process is about to stop.
	Stopping bool `json:",omitempty"`
	// Transfer marks vote requests of an election that the leader itself asked for.
	Transfer bool `json:",omitempty"`
	// Restarted marks a pre-vote granted by a voter that may have answered a leader just before its restart.
	Restarted bool `json:",omitempty"`
	// Unanimous marks vote requests of a candidate to which every voter granted its pre-vote, so that no voter
	// knows a leader.
	Unanimous bool           `json:",omitempty"`
	Snapshot  *SnapshotPiece `json:",omitempty"`
}

// SnapshotPiece is a chunk of a snapshot.
type SnapshotPiece struct {
	Meta   SnapshotMeta
	Offset int64
	Data   []byte `json:",omitempty"`
}

// ReplicaIdentity binds a disk to a replica and its group; once written it never changes.
type ReplicaIdentity struct {
	Format  int
	Replica ReplicaID
	Disk    DiskID
	// Group is empty until the replica has bootstrapped or joined a group.
	Group GroupID `json:",omitempty"`
}

// BootstrapProbe asks a replica whether it belongs to a group already.
type BootstrapProbe struct {
	From ReplicaID
	// Forming asks for the consent to bootstrap the group.
	Forming bool `json:",omitempty"`
}

// BootstrapAnswer is the reply to a BootstrapProbe: the disk of a replica and whether it belongs to a group.
type BootstrapAnswer struct {
	Replica      ReplicaID
	Disk         DiskID
	Bootstrapped bool `json:"Formed"`
	// Consent means that the replica has a fresh disk and consents to no other one for a while.
	Consent bool `json:",omitempty"`
	// Members is the membership known to the answering replica.
	Members Members `json:",omitzero"`
}
