package manager

import "encoding/json"

// GroupID names one founding of a replica group; a message of another founding is dropped.
type GroupID string

// DiskID names one disk of a replica; a replica that lost its disk comes back with another one.
type DiskID string

// EntryKind tells the entries of the log apart.
type EntryKind string

// Kinds of entries.
const (
	// EntryCommand holds one command for the state.
	EntryCommand EntryKind = "command"
	// EntryTerm opens a leader's term; entries of earlier terms are committed through it.
	EntryTerm EntryKind = "term"
	// EntryMembers changes the members of the group.
	EntryMembers EntryKind = "members"
)

// Entry is one position of the replicated log; Index and Term name it for ever.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// Data is one JSON value, opaque to the log.
	Data    json.RawMessage `json:",omitempty"`
	Members *Members        `json:",omitempty"`
}

// ReplicaMember is one replica of the group.
type ReplicaMember struct {
	Replica          ReplicaID
	Address          Address
	AvailabilityZone AvailabilityZone `json:",omitempty"`
	Disk             DiskID
	// Learner says that the replica takes the log but neither votes nor counts for a quorum.
	Learner bool `json:",omitempty"`
}

// Members are the replicas of a group, ordered by id.
type Members struct {
	List []ReplicaMember
	// LastReplica is the highest id ever used; a new replica needs a higher one.
	LastReplica ReplicaID
}

// HardState is what a replica must have on disk before it answers.
type HardState struct {
	Term Term
	// Vote is the replica that got this one's vote in Term, 0 for none.
	Vote ReplicaID
}

// SnapshotMeta names the log position that a snapshot stands for.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members Members
	// Bytes is the size of the snapshot's data.
	Bytes int64
}

// MessageKind tells the messages between replicas apart.
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
	// MessageTransfer asks the receiver to stand for election at once.
	MessageTransfer MessageKind = "transfer"
)

// ReplicaMessage is one message between replicas; any may be lost, repeated or late.
type ReplicaMessage struct {
	Kind  MessageKind
	Group GroupID
	From  ReplicaID
	To    ReplicaID
	// Disk is the receiver's disk; another disk with the same replica id must not answer.
	Disk DiskID
	// FromDisk is the sender's disk, for a receiver that does not know the members yet.
	FromDisk DiskID
	Term     Term
	// Index and LogTerm name the sender's last entry in votes and the previous entry in appends; in
	// append answers Index is the last entry that matches, or the previous entry that was refused.
	Index   Index   `json:",omitempty"`
	LogTerm Term    `json:",omitempty"`
	Commit  Index   `json:",omitempty"`
	Entries []Entry `json:",omitempty"`
	// Round numbers the leader's confirmations; the answer repeats it.
	Round uint64 `json:",omitempty"`
	// Refused says no; Hint is the last entry from which the sender of the answer could go on.
	Refused bool  `json:",omitempty"`
	Hint    Index `json:",omitempty"`
	// Transfer marks votes that the leader itself asked for.
	Transfer bool `json:",omitempty"`
	// Restarted marks the pre-vote of a voter that may have answered a leader just before its start.
	Restarted bool `json:",omitempty"`
	// Unanimous marks votes of a candidate to which every voter has said that it knows no leader.
	Unanimous bool           `json:",omitempty"`
	Snapshot  *SnapshotPiece `json:",omitempty"`
}

// SnapshotPiece is a part of a snapshot.
type SnapshotPiece struct {
	Meta   SnapshotMeta
	Offset int64
	Data   []byte `json:",omitempty"`
}

// ReplicaIdentity ties a disk to a replica and its group; it is written once and never changes.
type ReplicaIdentity struct {
	Format  int
	Replica ReplicaID
	Disk    DiskID
	// Group is empty until the replica has founded or joined a group.
	Group GroupID `json:",omitempty"`
}

// BootstrapProbe asks a replica whether it belongs to a group.
type BootstrapProbe struct {
	From ReplicaID
}

// BootstrapAnswer says which disk a replica has and whether that disk belongs to a group.
type BootstrapAnswer struct {
	Replica ReplicaID
	Disk    DiskID
	Formed  bool
	// Members are the replicas that the answering one knows of.
	Members Members `json:",omitzero"`
}
