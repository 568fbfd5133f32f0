package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// flow is how a leader sends the log to one follower.
type flow int

const (
	// flowProbe sends one message at a time until the logs are known to match.
	flowProbe flow = iota
	// flowPipeline sends several messages without waiting.
	flowPipeline
	// flowSnapshot sends a snapshot piece by piece.
	flowSnapshot
)

// progress is what a leader knows of one follower.
type progress struct {
	replica  manager.ReplicaID
	flow     flow
	next     manager.Index
	match    manager.Index
	inFlight int
	// waitUntil holds back a probe or piece that is unanswered.
	waitUntil manager.Time
	heardAt   manager.Time
	round     uint64
	sentRound uint64
	snapshot  manager.SnapshotMeta
	offset    int64
}

// leadership is what a leader keeps for its term.
type leadership struct {
	// opened is the entry that opened the term.
	opened    manager.Index
	followers []*progress
	round     uint64
	roundAt   manager.Time
	// urgent asks for a round now, wanted for one at the next heartbeat.
	urgent bool
	// confirmedAt is the start of the latest round that a quorum has answered.
	confirmedAt manager.Time
	checkAt     manager.Time
	reads       []pendingRead
}

func (l *leadership) of(id manager.ReplicaID) *progress {
	for _, p := range l.followers {
		if p.replica == id {
			return p
		}
	}
	return &progress{}
}

// updateProgress makes the followers fit the members.
func (r *Replica) updateProgress(now manager.Time) {
	list := make([]*progress, 0, len(r.members.List))
	for _, m := range r.members.List {
		p := r.lead.of(m.Replica)
		if p.replica == 0 {
			p = &progress{replica: m.Replica, next: r.log.last() + 1, heardAt: now}
		}
		list = append(list, p)
	}
	r.lead.followers = list
}

func (r *Replica) tickLeader(now manager.Time) {
	if now >= r.lead.checkAt {
		r.lead.checkAt = now.Add(r.Options.ElectionTimeout / 2)
		if !r.heardQuorum(now) {
			r.becomeFollower(now, r.hard.Term, 0)
			return
		}
	}
	if r.transfer.target != 0 && now >= r.transfer.until {
		r.transfer = transferState{}
	}
	if now.Sub(r.lead.roundAt) >= r.Options.HeartbeatPeriod {
		r.startRound(now)
	}
	r.promoteLearner(now)
}

// heardQuorum tells whether enough voters answered lately for this replica to go on leading.
func (r *Replica) heardQuorum(now manager.Time) bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool {
		return id == r.ID || now.Sub(r.lead.of(id).heardAt) < r.Options.ElectionTimeout
	})
}

// startRound begins a confirmation: every follower gets a message that it must answer.
func (r *Replica) startRound(now manager.Time) {
	r.lead.round++
	r.lead.roundAt = now
	r.lead.urgent = false
	r.confirmReads()
}

// Propose appends entries to a leader's log and returns the first one's index and term.
func (r *Replica) Propose(data ...[]byte) (manager.Index, manager.Term, error) {
	if r.role != RoleLeader {
		return 0, 0, r.notLeader()
	}
	if r.transfer.target != 0 {
		return 0, 0, manager.ErrUnavailable{Component: "leader", Reason: "leadership is being handed over"}
	}
	if r.uncommittedBytes() > r.Options.MaxUncommittedBytes {
		return 0, 0, manager.ErrUnavailable{Component: "log", Reason: "too many changes wait for a quorum"}
	}
	first := r.log.last() + 1
	for _, d := range data {
		r.appendEntry(manager.Entry{Kind: manager.EntryCommand, Data: d})
	}
	return first, r.hard.Term, nil
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
	e.Index, e.Term = r.log.last()+1, r.hard.Term
	r.log.append(e)
}

// advanceCommit commits what a quorum holds, if the last such entry is of this term.
func (r *Replica) advanceCommit(now manager.Time) {
	matches := make([]manager.Index, 0, len(r.members.List))
	for _, m := range r.members.List {
		if !m.Learner {
			matches = append(matches, r.lead.of(m.Replica).match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	i := matches[(len(matches)-1)/2]
	if t, ok := r.log.term(i); !ok || t != r.hard.Term || i <= r.commit {
		return
	}
	r.commit = i
	r.confirmReads()
	r.leaveIfRemoved(now)
}
