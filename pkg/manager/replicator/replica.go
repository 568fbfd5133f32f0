package replicator

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Role is what a replica does in its term.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Options bound a replica's timing and memory; zero fields get the defaults.
type Options struct {
	// HeartbeatPeriod is the pause between a leader's messages to an idle follower; it sets the
	// messages a second of an idle group.
	HeartbeatPeriod manager.Duration
	// ElectionTimeout is the least silence after which a follower stands for election; up to one and a
	// half times as long is drawn. It must hold several heartbeats, or one lost message deposes a leader.
	ElectionTimeout manager.Duration
	// OddVoters leaves a single learner without a vote beside an odd number of voters: an even number bears
	// no more losses, and a cut in halves leaves it without a quorum.
	OddVoters bool
	// MaxBatchBytes bounds the entries of one message.
	MaxBatchBytes int
	// MaxInFlight bounds the unanswered messages with entries to one follower.
	MaxInFlight int
	// MaxUncommittedBytes bounds the proposals that wait for a quorum; more are refused.
	MaxUncommittedBytes int
	// MaxReads bounds the reads that wait for a confirmation; more are refused.
	MaxReads int
	// PieceBytes is the size of a snapshot's pieces.
	PieceBytes int
	// MaxSnapshotBytes bounds a snapshot that is taken from a leader.
	MaxSnapshotBytes int64
}

// Defaults of Options.
const (
	DefaultHeartbeatPeriod     = 400 * manager.Millisecond
	DefaultElectionTimeout     = 1200 * manager.Millisecond
	DefaultMaxBatchBytes       = 256 << 10
	DefaultMaxInFlight         = 8
	DefaultMaxUncommittedBytes = 4 << 20
	DefaultMaxReads            = 10_000
	DefaultPieceBytes          = 256 << 10
	DefaultMaxSnapshotBytes    = 512 << 20
)

func orDefault[T int | int64 | manager.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.HeartbeatPeriod, DefaultHeartbeatPeriod)
	orDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	orDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	orDefault(&o.MaxInFlight, DefaultMaxInFlight)
	orDefault(&o.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	orDefault(&o.MaxReads, DefaultMaxReads)
	orDefault(&o.PieceBytes, DefaultPieceBytes)
	orDefault(&o.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return o
}

// PersistentState is what a replica finds on its disk when it starts.
type PersistentState struct {
	HardState manager.HardState
	Snapshot  manager.SnapshotMeta
	Entries   []manager.Entry
}

// Replica is one member of a replica group; it is not safe for concurrent use.
type Replica struct {
	Group   manager.GroupID
	ID      manager.ReplicaID
	Disk    manager.DiskID
	Options Options
	// Rand draws the election time-outs.
	Rand *rand.Rand

	hard       manager.HardState
	hardDirty  bool
	role       Role
	leader     manager.ReplicaID
	log        raftLog
	members    manager.Members
	commit     manager.Index
	handedOut  manager.Index
	electionAt manager.Time
	heardAt    manager.Time
	everHeard  bool
	// doubtUntil is the time until which a leader may act on an answer that this replica gave before its start.
	doubtUntil manager.Time

	votes map[manager.ReplicaID]bool
	// doubtful are the voters whose pre-votes came just after their start.
	doubtful map[manager.ReplicaID]bool
	// attempts counts the elections since a leader was heard.
	attempts int
	transfer transferState
	lead     *leadership
	// sender is where the latest message came from; a replica that joins knows no members.
	sender manager.ReplicaMember

	incoming  incomingSnapshot
	installed *Snapshot
	messages  []manager.ReplicaMessage
	early     []manager.ReplicaMessage
	doneReads []ReadResult
}

// Snapshot is a whole snapshot.
type Snapshot struct {
	Meta manager.SnapshotMeta
	Data []byte
}

// Ready is what a replica wants done: send Early at once; write and sync HardState, Snapshot and
// Entries; then send Messages, apply Snapshot and Committed, answer Reads and call Persisted.
type Ready struct {
	BeforeSync []manager.ReplicaMessage
	HardState  *manager.HardState
	// Snapshot replaces the log and the state.
	Snapshot *Snapshot
	// Entries replace everything on disk from the first one's index on.
	Entries   []manager.Entry
	AfterSync []manager.ReplicaMessage
	Committed []manager.Entry
	Reads     []ReadResult
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.BeforeSync) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.AfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// MustSync tells whether something must be on disk before Messages are sent.
func (r Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Start takes up what the disk holds.
func (r *Replica) Start(now manager.Time, s PersistentState) {
	r.Options = r.Options.withDefaults()
	r.hard = s.HardState
	r.role = RoleFollower
	r.log = newLog(s.Snapshot, s.Entries)
	r.members = r.log.members()
	r.commit, r.handedOut = s.Snapshot.Index, s.Snapshot.Index
	if r.hard.Term > 0 {
		r.doubtUntil = now.Add(r.Options.ElectionTimeout)
	}
	// The other voters say whether there is a leader, so that the first try may come soon.
	r.retryElection(now)
	if r.voters() == 1 && r.isVoter(r.ID) {
		r.electionAt = now
	}
}

// Tick does what is due at now; call it at least every few tens of milliseconds.
func (r *Replica) Tick(now manager.Time) {
	if r.role == RoleLeader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionAt && r.isVoter(r.ID) {
		r.preCampaign(now)
	}
}

// Step takes a message from another replica.
func (r *Replica) Step(now manager.Time, m manager.ReplicaMessage) {
	if m.Group != r.Group || m.To != r.ID || m.Disk != r.Disk {
		return
	}
	r.sender = manager.ReplicaMember{Replica: m.From, Disk: m.FromDisk}
	if m.Term > r.hard.Term && !r.stepHigherTerm(now, m) {
		return
	}
	if m.Term < r.hard.Term {
		r.answerOldTerm(m)
		return
	}
	r.stepSameTerm(now, m)
}

// stepHigherTerm tells whether the message is still to be taken after the term was looked at.
func (r *Replica) stepHigherTerm(now manager.Time, m manager.ReplicaMessage) bool {
	switch m.Kind {
	case manager.MessagePreVote:
		r.answerPreVote(now, m)
		return false
	case manager.MessagePreVoteAnswer:
		if !m.Refused {
			r.takePreVote(now, m)
			return false
		}
	case manager.MessageVote:
		if !m.Transfer && r.leaderIsAlive(now) {
			return false
		}
	}
	r.becomeFollower(now, m.Term, 0)
	return true
}

// answerOldTerm tells an outdated sender the current term, so that it steps down or catches up.
func (r *Replica) answerOldTerm(m manager.ReplicaMessage) {
	switch m.Kind {
	case manager.MessageAppend, manager.MessageSnapshot:
		r.send(manager.ReplicaMessage{Kind: manager.MessageAppendAnswer, To: m.From, Refused: true, Index: m.Index, Hint: r.log.last()})
	case manager.MessagePreVote:
		r.send(manager.ReplicaMessage{Kind: manager.MessagePreVoteAnswer, To: m.From, Refused: true})
	}
}

func (r *Replica) stepSameTerm(now manager.Time, m manager.ReplicaMessage) {
	switch m.Kind {
	case manager.MessagePreVote:
		r.answerPreVote(now, m)
	case manager.MessageVote:
		r.answerVote(now, m)
	case manager.MessageVoteAnswer:
		r.takeVote(now, m)
	case manager.MessageAppend:
		r.takeAppend(now, m)
	case manager.MessageSnapshot:
		r.takePiece(now, m)
	case manager.MessageAppendAnswer:
		r.takeAppendAnswer(now, m)
	case manager.MessageSnapshotAnswer:
		r.takePieceAnswer(now, m)
	case manager.MessageTransfer:
		r.takeTransfer(now, m)
	}
}

// Ready returns what is to be done since the last call.
func (r *Replica) Ready(now manager.Time) Ready {
	if r.role == RoleLeader {
		r.replicate(now)
	}
	ready := Ready{AfterSync: r.messages, Entries: r.log.unsaved(), Snapshot: r.installed}
	if r.hardDirty {
		h := r.hard
		ready.HardState = &h
		ready.AfterSync = append(ready.AfterSync, r.early...)
	} else {
		ready.BeforeSync = r.early
	}
	ready.Committed = r.nextCommitted()
	r.handedOut += manager.Index(len(ready.Committed))
	ready.Reads = r.readsAt(r.handedOut)
	r.log.saving = r.log.last()
	r.messages, r.early, r.hardDirty, r.installed = nil, nil, false, nil
	return ready
}

// nextCommitted returns the next committed entries that were not handed out, up to some bytes: after a
// restart the whole log is committed at once, and applying it must not keep the replica from its peers.
func (r *Replica) nextCommitted() []manager.Entry {
	list := r.log.slice(r.handedOut+1, r.commit)
	size := 0
	for i, e := range list {
		size += len(e.Data)
		if i > 0 && size > r.Options.MaxBatchBytes {
			return list[:i]
		}
	}
	return list
}

// readsAt takes the reads that need no entry beyond an index; the others wait until theirs are handed out.
func (r *Replica) readsAt(i manager.Index) []ReadResult {
	var done, later []ReadResult
	for _, read := range r.doneReads {
		if read.Confirmed && read.Index > i {
			later = append(later, read)
			continue
		}
		done = append(done, read)
	}
	r.doneReads = later
	return done
}

// HasUndelivered tells whether committed entries are not handed out yet.
func (r *Replica) HasUndelivered() bool { return r.handedOut < r.commit }

// Persisted says that what ready asked for is on disk.
func (r *Replica) Persisted(now manager.Time, ready Ready) {
	if n := len(ready.Entries); n > 0 {
		r.log.setStable(ready.Entries[n-1])
	}
	if r.role == RoleLeader {
		r.lead.of(r.ID).match = r.log.stable
		r.advanceCommit(now)
	}
}

// send queues a message that must wait for the disk.
func (r *Replica) send(m manager.ReplicaMessage) {
	if m, ok := r.address(m); ok {
		r.messages = append(r.messages, m)
	}
}

// sendEarly queues a leader's message, which promises nothing about the leader's own disk.
func (r *Replica) sendEarly(m manager.ReplicaMessage) {
	if m, ok := r.address(m); ok {
		r.early = append(r.early, m)
	}
}

func (r *Replica) address(m manager.ReplicaMessage) (manager.ReplicaMessage, bool) {
	to, ok := r.member(m.To)
	if !ok && m.To != r.sender.Replica {
		return m, false
	}
	if !ok {
		to = r.sender
	}
	m.Group, m.From, m.Disk, m.FromDisk = r.Group, r.ID, to.Disk, r.Disk
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	return m, true
}

// Status is what a replica knows of itself and its group.
type Status struct {
	Replica manager.ReplicaID
	Role    Role
	Term    manager.Term
	Leader  manager.ReplicaID
	Commit  manager.Index
	Last    manager.Index
	// First is the oldest entry that the log still holds.
	First   manager.Index
	Members manager.Members
	// Silent are the members that a leader has not heard for a while.
	Silent []manager.ReplicaID
}

// silentAfter is the time without an answer after which a leader calls a member silent.
const silentAfter = 5 * manager.Second

// Silent returns the members that this leader has not heard for a while.
func (r *Replica) Silent(now manager.Time) []manager.ReplicaID {
	if r.role != RoleLeader {
		return nil
	}
	var list []manager.ReplicaID
	for _, p := range r.lead.followers {
		if p.replica != r.ID && now.Sub(p.heardAt) > silentAfter {
			list = append(list, p.replica)
		}
	}
	return list
}

// Status returns what the replica knows now.
func (r *Replica) Status() Status {
	return Status{
		Replica: r.ID, Role: r.role, Term: r.hard.Term, Leader: r.leader, Commit: r.commit,
		Last: r.log.last(), First: r.log.base + 1, Members: r.members,
	}
}

// ConfirmedAt returns when the leadership was last known to hold, or false for a replica that does
// not lead.
func (r *Replica) ConfirmedAt() (manager.Time, bool) {
	if !r.LeaderReady() || r.lead.confirmedAt == 0 {
		return 0, false
	}
	return r.lead.confirmedAt, true
}

// LeaderReady tells whether the replica leads and has handed out its own term's first entry, with all before it.
func (r *Replica) LeaderReady() bool { return r.role == RoleLeader && r.handedOut >= r.lead.opened }
