package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// resetElection draws when to stand for election.
func (r *Replica) resetElection(now manager.Time) {
	least := r.Options.ElectionTimeout
	r.electionAt = now.Add(least + manager.Duration(r.Rand.Int64N(int64(least/2))))
}

// retryElection draws when to stand again after a split vote. The first retries come soon, as no
// leader is there to be disturbed; later ones leave time for slow disks and networks.
func (r *Replica) retryElection(now manager.Time) {
	const firstShare = 4
	span := min(r.Options.ElectionTimeout/firstShare<<min(r.attempts, firstShare), r.Options.ElectionTimeout)
	r.electionAt = now.Add(span + manager.Duration(r.Rand.Int64N(int64(span))))
}

func (r *Replica) becomeFollower(now manager.Time, t manager.Term, leader manager.ReplicaID) {
	if r.role == RoleLeader {
		r.dropReads()
	}
	if t > r.hard.Term {
		r.setHard(manager.HardState{Term: t})
	}
	r.role, r.leader, r.lead, r.votes = RoleFollower, leader, nil, nil
	r.transfer = transferState{}
	r.resetElection(now)
}

func (r *Replica) setHard(h manager.HardState) {
	r.hard, r.hardDirty = h, true
}

// leaderIsAlive tells whether a leader was heard so lately that an election would only disturb it.
func (r *Replica) leaderIsAlive(now manager.Time) bool {
	if r.role == RoleLeader {
		return true
	}
	return r.everHeard && r.leader != 0 && now.Sub(r.heardAt) < r.Options.ElectionTimeout
}

// restarted tells whether a leader may still act on an answer that this replica gave before its start and
// has forgotten.
func (r *Replica) restarted(now manager.Time) bool { return now < r.doubtUntil }

// preCampaign asks whether an election could be won, before the term is raised.
func (r *Replica) preCampaign(now manager.Time) {
	r.role, r.leader = RolePreCandidate, 0
	r.retryElection(now)
	r.votes = map[manager.ReplicaID]bool{r.ID: true}
	r.doubtful = map[manager.ReplicaID]bool{r.ID: r.restarted(now)}
	if r.mayCampaign() {
		r.campaign(now, false)
		return
	}
	r.askVotes(manager.ReplicaMessage{Kind: manager.MessagePreVote, Term: r.hard.Term + 1})
}

// mayCampaign tells whether an election can be won and no earlier leader can act any more: a quorum has
// heard none for an election time-out, or every voter says that it neither leads nor knows a leader.
func (r *Replica) mayCampaign() bool {
	return r.unanimous() || r.hasQuorum(func(id manager.ReplicaID) bool { return r.votes[id] && !r.doubtful[id] })
}

// unanimous tells whether every voter has granted its vote.
func (r *Replica) unanimous() bool {
	for _, m := range r.members.List {
		if !m.Learner && !r.votes[m.Replica] {
			return false
		}
	}
	return true
}

// campaign raises the term and asks for votes.
func (r *Replica) campaign(now manager.Time, transfer bool) {
	unanimous := r.role == RolePreCandidate && r.unanimous()
	r.setHard(manager.HardState{Term: r.hard.Term + 1, Vote: r.ID})
	r.role, r.leader = RoleCandidate, 0
	r.retryElection(now)
	r.attempts++
	r.votes = map[manager.ReplicaID]bool{r.ID: true}
	if r.wonVotes() {
		r.becomeLeader(now)
		return
	}
	r.askVotes(manager.ReplicaMessage{Kind: manager.MessageVote, Term: r.hard.Term, Transfer: transfer, Unanimous: unanimous})
}

// askVotes sends a request to every other voter.
func (r *Replica) askVotes(request manager.ReplicaMessage) {
	request.Index, request.LogTerm = r.log.last(), r.log.lastTerm()
	for _, m := range r.members.List {
		if m.Replica != r.ID && !m.Learner {
			request.To = m.Replica
			r.send(request)
		}
	}
}

// upToDate tells whether a candidate's log holds at least what this one does.
func (r *Replica) upToDate(m manager.ReplicaMessage) bool {
	own := r.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= r.log.last()
}

func (r *Replica) answerPreVote(now manager.Time, m manager.ReplicaMessage) {
	granted := m.Term > r.hard.Term && r.upToDate(m) && !r.leaderIsAlive(now)
	answer := manager.ReplicaMessage{Kind: manager.MessagePreVoteAnswer, To: m.From, Refused: !granted}
	if granted {
		answer.Term, answer.Restarted = m.Term, r.restarted(now)
	}
	if granted && r.role == RolePreCandidate && m.From < r.ID {
		// Two that stand at once would split the votes, so the one with the higher id waits.
		r.role = RoleFollower
		r.retryElection(now)
	}
	r.send(answer)
}

func (r *Replica) takePreVote(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RolePreCandidate || m.Term != r.hard.Term+1 {
		return
	}
	r.votes[m.From], r.doubtful[m.From] = true, m.Restarted
	if r.mayCampaign() {
		r.campaign(now, false)
	}
}

func (r *Replica) answerVote(now manager.Time, m manager.ReplicaMessage) {
	free := r.hard.Vote == 0 && r.leader == 0 || r.hard.Vote == m.From
	forgotten := r.restarted(now) && !m.Unanimous && !m.Transfer
	granted := free && !forgotten && r.upToDate(m)
	if granted {
		r.resetElection(now)
		if r.hard.Vote != m.From {
			r.setHard(manager.HardState{Term: r.hard.Term, Vote: m.From})
		}
	}
	r.send(manager.ReplicaMessage{Kind: manager.MessageVoteAnswer, To: m.From, Refused: !granted})
}

func (r *Replica) takeVote(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RoleCandidate || m.Refused {
		return
	}
	r.votes[m.From] = true
	if r.wonVotes() {
		r.becomeLeader(now)
	}
}

func (r *Replica) wonVotes() bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool { return r.votes[id] })
}

// hasQuorum tells whether more than half of the voters pass.
func (r *Replica) hasQuorum(pass func(manager.ReplicaID) bool) bool {
	voters, yes := 0, 0
	for _, m := range r.members.List {
		if m.Learner {
			continue
		}
		voters++
		if pass(m.Replica) {
			yes++
		}
	}
	return yes > voters/2
}

func (r *Replica) becomeLeader(now manager.Time) {
	r.role, r.leader, r.votes = RoleLeader, r.ID, nil
	r.transfer = transferState{}
	r.attempts = 0
	r.lead = &leadership{checkAt: now.Add(r.Options.ElectionTimeout), opened: r.log.last() + 1}
	r.updateProgress(now)
	r.lead.of(r.ID).match = r.log.stable
	r.appendEntry(manager.Entry{Kind: manager.EntryTerm})
	r.startRound(now)
}
