package replicator

import (
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Role is a replica's role in its term.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Options limit a replica's timing and memory; zero fields get the defaults.
type Options struct {
	// HeartbeatPeriod is the time between a leader's messages to an idle follower; it determines the
	// message rate of an idle group.
	HeartbeatPeriod manager.Duration
	// ElectionTimeout is the shortest time without a message from a leader after which a follower starts an
	// election; the actual time is drawn between it and one and a half times as long. It must span several
	// heartbeats, or one lost message deposes a leader.
	ElectionTimeout manager.Duration
	// OddVoters keeps a single learner from being promoted beside an odd number of voters that are up: an even number
	// tolerates no more failures, and a network partition into halves leaves it without a quorum. A voter that is gone
	// gives its vote to a learner.
	OddVoters bool
	// MaxBatchBytes limits the entries in one message.
	MaxBatchBytes int
	// MaxInFlight limits the unanswered messages with entries to one follower.
	MaxInFlight int
	// MaxUncommittedBytes limits the proposals that are not committed yet; more are refused.
	MaxUncommittedBytes int
	// MaxReads limits the pending reads; more are refused.
	MaxReads int
	// PieceBytes is the size of the pieces in which a snapshot is sent.
	PieceBytes int
	// MaxSnapshotBytes limits the size of a snapshot that is accepted from a leader.
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

// PersistentState is what a replica reads from its disk when it starts.
type PersistentState struct {
	HardState manager.HardState
	Snapshot  manager.SnapshotMeta
	Entries   []manager.Entry
}

// Replica is one member of a Raft group; it is not safe for concurrent use.
type Replica struct {
	Group   manager.GroupID
	ID      manager.ReplicaID
	Disk    manager.DiskID
	Options Options
	// Rand draws the election timeouts.
	Rand *rand.Rand

	hardState        manager.HardState
	hardStateChanged bool
	role             Role
	leader           manager.ReplicaID
	log              raftLog
	// members are the latest members in the log, at entry membersIndex; priorMembers are those before that entry.
	members      manager.Members
	membersIndex manager.Index
	priorMembers manager.Members
	// groups are the quorum groups at groupsKey, nil after a change of the members.
	groups     []quorumGroup
	groupsKey  groupsKey
	commit     manager.Index
	delivered  manager.Index
	electionAt manager.Time
	// heardAt is when the latest message of a leader, heardLeader, came.
	heardAt     manager.Time
	heardLeader manager.ReplicaID
	everHeard   bool
	// priorLeaseUntil is the time until which a leader may hold a lease from an answer that this replica
	// gave before its start.
	priorLeaseUntil manager.Time

	votes map[manager.ReplicaID]bool
	// refusals are the voters that refused their vote in the current election; they are only reported.
	refusals map[manager.ReplicaID]bool
	// restartedVoters are the voters that granted a pre-vote shortly after their own restart.
	restartedVoters map[manager.ReplicaID]bool
	// attempts counts the elections since a leader was last heard.
	attempts int
	transfer transferState
	// lostDisks are the members at whose address another disk has answered.
	lostDisks map[manager.ReplicaID]bool
	// excluded is the voter with a lost disk that doesn't count in this candidate's or leader's term, or 0.
	excluded manager.ReplicaID
	// stopping means that the process is about to stop.
	stopping bool
	lead     *leaderState
	// sender is where the latest message came from; a replica that joins knows no members yet.
	sender manager.ReplicaMember

	incoming   incomingSnapshot
	installed  *Snapshot
	afterSync  []manager.ReplicaMessage
	beforeSync []manager.ReplicaMessage
	doneReads  []ReadResult
}

// Snapshot is a snapshot of the state with its metadata.
type Snapshot struct {
	Meta manager.SnapshotMeta
	Data []byte
}

// Ready is the work that a replica returns to its driver: send BeforeSync at once; write and sync
// HardState, Snapshot and Entries; then send AfterSync, apply Snapshot and Committed, answer Reads and call
// Persisted.
type Ready struct {
	BeforeSync []manager.ReplicaMessage
	HardState  *manager.HardState
	// Snapshot replaces the log and the state.
	Snapshot *Snapshot
	// Entries replace everything on disk from the index of the first one on.
	Entries   []manager.Entry
	AfterSync []manager.ReplicaMessage
	Committed []manager.Entry
	Reads     []ReadResult
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.BeforeSync) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.AfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// MustSync reports whether something must be synced to disk before AfterSync is sent.
func (r Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Start initializes the replica from what its disk holds.
func (r *Replica) Start(now manager.Time, s PersistentState) {
	r.Options = r.Options.withDefaults()
	r.hardState = s.HardState
	r.role = RoleFollower
	r.log = newLog(s.Snapshot, s.Entries)
	r.loadMembers()
	r.commit, r.delivered = s.Snapshot.Index, s.Snapshot.Index
	if r.hardState.Term > 0 {
		r.priorLeaseUntil = now.Add(r.Options.ElectionTimeout)
	}
	// The first pre-vote may come soon, as the other voters report whether there is a leader.
	r.scheduleElectionRetry(now)
	if r.voterCount() == 1 && r.isVoter(r.ID) {
		r.electionAt = now
	}
}

// Tick does what is due at time now; it must be called at least every few tens of milliseconds.
func (r *Replica) Tick(now manager.Time) {
	if r.role == RoleLeader {
		r.tickLeader(now)
		return
	}
	if now < r.electionAt {
		return
	}
	if r.isElector(r.ID) {
		r.preCampaign(now)
		return
	}
	// A learner starts no election. It may have been removed, which only the current leader can tell its node.
	r.becomeFollower(now, r.hardState.Term, 0)
}

// Step handles a message from another replica.
func (r *Replica) Step(now manager.Time, m manager.ReplicaMessage) {
	if m.Group != r.Group || m.To != r.ID || m.Disk != r.Disk || !r.valid(m) {
		return
	}
	r.sender = manager.ReplicaMember{Replica: m.From, Disk: m.FromDisk}
	if m.Term > r.hardState.Term && !r.stepHigherTerm(now, m) {
		return
	}
	if m.Term < r.hardState.Term {
		r.answerStaleTerm(m)
		return
	}
	r.stepSameTerm(now, m)
}

// stepHigherTerm handles the higher term of a message and reports whether the message is still to be handled.
func (r *Replica) stepHigherTerm(now manager.Time, m manager.ReplicaMessage) bool {
	switch m.Kind {
	case manager.MessagePreVote:
		r.handlePreVote(now, m)
		return false
	case manager.MessagePreVoteAnswer:
		if !m.Refused {
			r.handlePreVoteAnswer(now, m)
			return false
		}
	case manager.MessageVote:
		if !m.Transfer && r.leaderActive(now) {
			return false
		}
	}
	r.becomeFollower(now, m.Term, 0)
	return true
}

// answerStaleTerm tells a sender with an old term the current one, so that it steps down or catches up.
func (r *Replica) answerStaleTerm(m manager.ReplicaMessage) {
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
		r.handlePreVote(now, m)
	case manager.MessagePreVoteAnswer:
		r.handlePreVoteAnswer(now, m)
	case manager.MessageVote:
		r.handleVote(now, m)
	case manager.MessageVoteAnswer:
		r.handleVoteAnswer(now, m)
	case manager.MessageAppend:
		r.handleAppend(now, m)
	case manager.MessageSnapshot:
		r.handleSnapshotPiece(now, m)
	case manager.MessageAppendAnswer:
		r.handleAppendAnswer(now, m)
	case manager.MessageSnapshotAnswer:
		r.handleSnapshotAnswer(now, m)
	case manager.MessageTransfer:
		r.handleTransfer(now, m)
	}
}

// Ready returns the work to do since the last call.
func (r *Replica) Ready(now manager.Time) Ready {
	if r.role == RoleLeader {
		r.replicate(now)
	}
	ready := Ready{AfterSync: r.afterSync, Entries: r.log.unsaved(), Snapshot: r.installed}
	if r.hardStateChanged {
		h := r.hardState
		ready.HardState = &h
		ready.AfterSync = append(ready.AfterSync, r.beforeSync...)
	} else {
		ready.BeforeSync = r.beforeSync
	}
	ready.Committed = r.nextCommitted()
	r.delivered += manager.Index(len(ready.Committed))
	ready.Reads = r.takeReadyReads(r.delivered)
	r.log.saving = r.log.last()
	r.afterSync, r.beforeSync, r.hardStateChanged, r.installed = nil, nil, false, nil
	return ready
}

// nextCommitted returns the next committed entries that were not delivered yet, limited in bytes: after a
// restart the whole log is committed at once, and applying it must not keep the replica from answering its
// peers.
func (r *Replica) nextCommitted() []manager.Entry {
	list := r.log.slice(r.delivered+1, r.commit)
	size := 0
	for i, e := range list {
		size += len(e.Data)
		if i > 0 && size > r.Options.MaxBatchBytes {
			return list[:i]
		}
	}
	return list
}

// takeReadyReads removes and returns the finished reads that need no entry after i; the others wait until
// their entry is delivered.
func (r *Replica) takeReadyReads(i manager.Index) []ReadResult {
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

// HasUndelivered reports whether Ready has yet to return some committed entries.
func (r *Replica) HasUndelivered() bool { return r.delivered < r.commit }

// Persisted reports that what ready asked to write is on disk.
func (r *Replica) Persisted(now manager.Time, ready Ready) {
	if n := len(ready.Entries); n > 0 {
		r.log.setStable(ready.Entries[n-1])
	}
	if r.role == RoleLeader {
		r.lead.progressOf(r.ID).match = r.log.stable
		r.advanceCommit(now)
	}
}

// send queues a message that must not be sent before the sync to disk.
func (r *Replica) send(m manager.ReplicaMessage) {
	if m, ok := r.withAddress(m); ok {
		r.afterSync = append(r.afterSync, m)
	}
}

// sendBeforeSync queues a leader's message, which doesn't depend on the leader's own disk.
func (r *Replica) sendBeforeSync(m manager.ReplicaMessage) {
	if m, ok := r.withAddress(m); ok {
		r.beforeSync = append(r.beforeSync, m)
	}
}

func (r *Replica) withAddress(m manager.ReplicaMessage) (manager.ReplicaMessage, bool) {
	to, ok := r.member(m.To)
	if !ok && m.To != r.sender.Replica {
		return m, false
	}
	if !ok {
		to = r.sender
	}
	m.Group, m.From, m.Disk, m.FromDisk = r.Group, r.ID, to.Disk, r.Disk
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	return m, true
}

// ConfirmedAt returns the start of the latest heartbeat round that a quorum has answered, a time at which the
// leadership still held. It returns false if the replica does not lead, was not confirmed yet, or has told another one to
// take over: the voters grant that election at once.
func (r *Replica) ConfirmedAt() (manager.Time, bool) {
	if !r.LeaderReady() || r.lead.confirmedAt == 0 || r.transfer.sent {
		return 0, false
	}
	return r.lead.confirmedAt, true
}

// LeaderReady reports whether the replica leads and has delivered the first entry of its own term, with all
// before it.
func (r *Replica) LeaderReady() bool { return r.role == RoleLeader && r.delivered >= r.lead.termStart }
