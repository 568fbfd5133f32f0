package replicator

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// resetElectionTimer draws the time of the next election, in case no leader is heard until then.
func (r *Replica) resetElectionTimer(now manager.Time) {
	least := r.Options.ElectionTimeout
	r.electionAt = now.Add(r.electionDelay() + least + manager.Duration(r.Rand.Int64N(int64(least/2))))
}

// scheduleElectionRetry draws the time of the next election after one without a winner. The first retries
// follow soon, as there is no leader to disturb; later ones back off to allow for slow disks and networks.
func (r *Replica) scheduleElectionRetry(now manager.Time) {
	const initialDivisor = 4
	span := min(r.Options.ElectionTimeout/initialDivisor<<min(r.attempts, initialDivisor), r.Options.ElectionTimeout)
	r.electionAt = now.Add(r.electionDelay() + span + manager.Duration(r.Rand.Int64N(int64(span))))
}

func (r *Replica) becomeFollower(now manager.Time, t manager.Term, leader manager.ReplicaID) {
	if r.role == RoleLeader {
		r.failReads()
	}
	if t > r.hardState.Term {
		r.setHardState(manager.HardState{Term: t})
	}
	r.role, r.leader, r.lead, r.votes, r.excluded = RoleFollower, leader, nil, nil, 0
	r.transfer = transferState{}
	r.resetElectionTimer(now)
}

func (r *Replica) setHardState(h manager.HardState) {
	r.hardState, r.hardStateChanged = h, true
}

// leaderActive reports whether this replica leads or has heard a leader within the election timeout, so that an
// election would only disrupt the group.
func (r *Replica) leaderActive(now manager.Time) bool {
	if r.role == RoleLeader {
		return true
	}
	return r.everHeard && r.leader != 0 && now.Sub(r.heardAt) < r.Options.ElectionTimeout
}

// recentlyRestarted reports whether a leader may still hold a lease from an answer that this replica gave
// before its restart and no longer knows of.
func (r *Replica) recentlyRestarted(now manager.Time) bool { return now < r.priorLeaseUntil }

// preCampaign starts a pre-vote, which asks whether an election could be won before the term is raised.
func (r *Replica) preCampaign(now manager.Time) {
	r.role, r.leader, r.excluded = RolePreCandidate, 0, r.lostVoter()
	r.scheduleElectionRetry(now)
	r.votes, r.refusals = map[manager.ReplicaID]bool{r.ID: true}, map[manager.ReplicaID]bool{}
	r.restartedVoters = map[manager.ReplicaID]bool{r.ID: r.recentlyRestarted(now)}
	if r.preVoteWon() {
		r.campaign(now, false)
		return
	}
	r.requestVotes(manager.ReplicaMessage{Kind: manager.MessagePreVote, Term: r.hardState.Term + 1})
}

// preVoteWon reports whether an election can be won and no earlier leader can still act: either a quorum has
// heard no leader for an election timeout, or every voter reports that it neither leads nor knows a leader.
func (r *Replica) preVoteWon() bool {
	return r.unanimous() || r.hasQuorum(func(id manager.ReplicaID) bool { return r.votes[id] && !r.restartedVoters[id] })
}

// unanimous reports whether every voter has granted its vote.
func (r *Replica) unanimous() bool {
	return !slices.ContainsFunc(r.electors(), func(m manager.ReplicaMember) bool { return !r.votes[m.Replica] })
}

// campaign raises the term and requests votes.
func (r *Replica) campaign(now manager.Time, transfer bool) {
	unanimous := r.role == RolePreCandidate && r.unanimous()
	r.setHardState(manager.HardState{Term: r.hardState.Term + 1, Vote: r.ID})
	r.role, r.leader, r.excluded = RoleCandidate, 0, r.lostVoter()
	r.scheduleElectionRetry(now)
	r.attempts++
	r.votes, r.refusals = map[manager.ReplicaID]bool{r.ID: true}, map[manager.ReplicaID]bool{}
	if r.electionWon() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(manager.ReplicaMessage{Kind: manager.MessageVote, Term: r.hardState.Term, Transfer: transfer, Unanimous: unanimous})
}

// requestVotes sends a vote request to every other voter.
func (r *Replica) requestVotes(request manager.ReplicaMessage) {
	request.Index, request.LogTerm = r.log.last(), r.log.lastTerm()
	for _, m := range r.electors() {
		if m.Replica != r.ID {
			request.To = m.Replica
			r.send(request)
		}
	}
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (r *Replica) upToDate(m manager.ReplicaMessage) bool {
	own := r.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= r.log.last()
}

func (r *Replica) handlePreVote(now manager.Time, m manager.ReplicaMessage) {
	granted := m.Term > r.hardState.Term && r.upToDate(m) && !r.leaderActive(now)
	answer := manager.ReplicaMessage{Kind: manager.MessagePreVoteAnswer, To: m.From, Refused: !granted}
	if granted {
		answer.Term, answer.Restarted = m.Term, r.recentlyRestarted(now)
	}
	if granted && r.role == RolePreCandidate && m.From < r.ID {
		// Two candidates at once would split the vote, so the one with the higher ID waits.
		r.role = RoleFollower
		r.scheduleElectionRetry(now)
	}
	r.send(answer)
}

func (r *Replica) handlePreVoteAnswer(now manager.Time, m manager.ReplicaMessage) {
	if r.role == RolePreCandidate && m.Refused {
		r.refusals[m.From] = true
		return
	}
	if r.role != RolePreCandidate || m.Term != r.hardState.Term+1 {
		return
	}
	r.votes[m.From], r.restartedVoters[m.From] = true, m.Restarted
	if r.preVoteWon() {
		r.campaign(now, false)
	}
}

func (r *Replica) handleVote(now manager.Time, m manager.ReplicaMessage) {
	canVote := r.hardState.Vote == 0 && r.leader == 0 || r.hardState.Vote == m.From
	leaseUnknown := r.recentlyRestarted(now) && !m.Unanimous && !m.Transfer
	granted := canVote && !leaseUnknown && r.upToDate(m)
	if granted {
		r.resetElectionTimer(now)
		if r.hardState.Vote != m.From {
			r.setHardState(manager.HardState{Term: r.hardState.Term, Vote: m.From})
		}
	}
	r.send(manager.ReplicaMessage{Kind: manager.MessageVoteAnswer, To: m.From, Refused: !granted})
}

func (r *Replica) handleVoteAnswer(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RoleCandidate {
		return
	}
	if m.Refused {
		r.refusals[m.From] = true
		return
	}
	r.votes[m.From] = true
	if r.electionWon() {
		r.becomeLeader(now)
	}
}

func (r *Replica) electionWon() bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool { return r.votes[id] })
}

func (r *Replica) becomeLeader(now manager.Time) {
	r.role, r.leader, r.votes = RoleLeader, r.ID, nil
	r.transfer = transferState{}
	r.attempts = 0
	r.lead = &leaderState{quorumCheckAt: now.Add(r.Options.ElectionTimeout), termStart: r.log.last() + 1}
	r.updateProgress(now)
	if r.everHeard {
		// The former leader may be why there was an election.
		r.lead.progressOf(r.heardLeader).heardAt = r.heardAt
	}
	r.lead.progressOf(r.ID).match = r.log.stable
	r.appendEntry(manager.Entry{Kind: manager.EntryTerm})
	r.startRound(now)
}
