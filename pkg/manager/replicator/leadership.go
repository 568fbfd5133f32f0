package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// progressState is how a leader sends its log to one follower.
type progressState int

const (
	// stateProbe sends one message at a time until the logs are known to match.
	stateProbe progressState = iota
	// statePipeline sends several messages without waiting for answers.
	statePipeline
	// stateSnapshot sends a snapshot piece by piece.
	stateSnapshot
)

// progress is a leader's view of one follower.
type progress struct {
	replica  manager.ReplicaID
	state    progressState
	next     manager.Index
	match    manager.Index
	inFlight int
	// retryAt delays the next message while a probe or a piece is unanswered.
	retryAt   manager.Time
	heardAt   manager.Time
	round     uint64
	sentRound uint64
	// stopping means that the follower's process is about to stop.
	stopping bool
	snapshot manager.SnapshotMeta
	offset   int64
}

// leaderState is what a leader keeps for the length of its term.
type leaderState struct {
	// termStart is the index of the first entry of the term.
	termStart manager.Index
	followers []*progress
	round     uint64
	roundAt   manager.Time
	// roundDue starts a heartbeat round at the next Ready instead of at the next heartbeat.
	roundDue bool
	// confirmedAt is the start of the latest heartbeat round that a quorum has answered.
	confirmedAt   manager.Time
	quorumCheckAt manager.Time
	reads         []pendingRead
}

func (l *leaderState) progressOf(id manager.ReplicaID) *progress {
	for _, p := range l.followers {
		if p.replica == id {
			return p
		}
	}
	return &progress{}
}

// updateProgress adds and removes followers so that they match the members.
func (r *Replica) updateProgress(now manager.Time) {
	list := make([]*progress, 0, len(r.members.List))
	for _, m := range r.members.List {
		p := r.lead.progressOf(m.Replica)
		if p.replica == 0 {
			p = &progress{replica: m.Replica, next: r.log.last() + 1, heardAt: now}
		}
		list = append(list, p)
	}
	r.lead.followers = list
}

func (r *Replica) tickLeader(now manager.Time) {
	if r.mustExclude(now) {
		r.becomeFollower(now, r.hardState.Term, 0)
		// The voters may grant this election at once, as it is their leader that starts it.
		r.campaign(now, true)
		return
	}
	if now >= r.lead.quorumCheckAt {
		r.lead.quorumCheckAt = now.Add(r.Options.ElectionTimeout / 2)
		if !r.quorumActive(now) {
			r.becomeFollower(now, r.hardState.Term, 0)
			return
		}
	}
	if r.transfer.target != 0 && now >= r.transfer.until {
		r.transfer = transferState{}
		// Only a round from now on shows that the target has not taken over.
		r.lead.confirmedAt = 0
		r.startRound(now)
	}
	if m, ok := r.member(r.ID); r.stopping || ok && m.Learner && r.latestCommitted() {
		r.TransferLeadership(now)
	}
	if now.Sub(r.lead.roundAt) >= r.Options.HeartbeatPeriod {
		r.startRound(now)
	}
	r.adjustVoters(now)
}

// quorumActive reports whether a quorum answered within the election timeout; without one the leader steps
// down.
func (r *Replica) quorumActive(now manager.Time) bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool {
		return id == r.ID || now.Sub(r.lead.progressOf(id).heardAt) < r.Options.ElectionTimeout
	})
}

// OthersFormQuorum reports whether a leader hears enough other voters to elect one of them without its own vote.
func (r *Replica) OthersFormQuorum(now manager.Time) bool {
	return r.role == RoleLeader && r.hasQuorum(func(id manager.ReplicaID) bool {
		return id != r.ID && now.Sub(r.lead.progressOf(id).heardAt) < r.Options.ElectionTimeout
	})
}

// startRound begins a heartbeat round: every follower gets a message that it must answer, which confirms
// the leadership.
func (r *Replica) startRound(now manager.Time) {
	r.lead.round++
	r.lead.roundAt = now
	r.lead.roundDue = false
	r.confirmReads()
}

// Propose appends entries to a leader's log and returns the first one's index and term.
func (r *Replica) Propose(data ...[]byte) (manager.Index, manager.Term, error) {
	if r.role != RoleLeader {
		return 0, 0, r.notLeader()
	}
	if r.transfer.target != 0 {
		return 0, 0, manager.ErrUnavailable{Component: "leader", Reason: "a transfer of leadership is in progress"}
	}
	if r.uncommittedBytes() > r.Options.MaxUncommittedBytes {
		return 0, 0, manager.ErrUnavailable{Component: "log", Reason: "too many entries are not committed yet"}
	}
	first := r.log.last() + 1
	for _, d := range data {
		r.appendEntry(manager.Entry{Kind: manager.EntryCommand, Data: d})
	}
	return first, r.hardState.Term, nil
}

func (r *Replica) uncommittedBytes() int {
	n := 0
	for _, e := range r.log.entries[r.commit-r.log.base:] {
		n += entryBytes(e)
	}
	return n
}

func (r *Replica) notLeader() error {
	m, _ := r.member(r.leader)
	return manager.ErrNotLeader{Leader: m.Address}
}

func (r *Replica) appendEntry(e manager.Entry) {
	e.Index, e.Term = r.log.last()+1, r.hardState.Term
	r.log.append(e)
}

// advanceCommit commits the entries that a quorum holds, if the last of them is of the current term.
func (r *Replica) advanceCommit(now manager.Time) {
	i := r.quorumMatch()
	if t, ok := r.log.term(i); !ok || t != r.hardState.Term || i <= r.commit {
		return
	}
	r.commit = i
	r.confirmReads()
	r.stepDownIfRemoved(now)
}
