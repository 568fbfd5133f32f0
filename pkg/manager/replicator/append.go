package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// replicate queues the entries that each follower lacks, and the message of the current heartbeat round for
// followers that lack none.
func (r *Replica) replicate(now manager.Time) {
	if r.lead.roundDue {
		r.startRound(now)
	}
	for _, p := range r.lead.followers {
		if p.replica == r.ID {
			continue
		}
		r.replicateTo(now, p)
		if p.sentRound < r.lead.round {
			r.sendAppend(p, nil)
		}
	}
}

func (r *Replica) replicateTo(now manager.Time, p *progress) {
	if p.next <= r.log.base {
		r.startSnapshot(p)
	}
	switch p.state {
	case stateSnapshot:
		r.sendSnapshotPiece(now, p)
	case stateProbe:
		if last := r.lastEntryFor(p.replica); now >= p.retryAt && p.next <= last {
			r.sendAppend(p, r.log.batch(p.next, last, r.Options.MaxBatchBytes))
			p.retryAt = now.Add(r.Options.HeartbeatPeriod)
		}
	case statePipeline:
		for last := r.lastEntryFor(p.replica); p.next <= last && p.inFlight < r.Options.MaxInFlight; {
			entries := r.log.batch(p.next, last, r.Options.MaxBatchBytes)
			r.sendAppend(p, entries)
			p.next += manager.Index(len(entries))
			p.inFlight++
		}
	}
}

// sendAppend queues an append message with entries, or an empty one, that follows the entry before p.next.
func (r *Replica) sendAppend(p *progress, entries []manager.Entry) {
	prev := max(p.next-1, r.log.base)
	t, _ := r.log.term(prev)
	p.sentRound = r.lead.round
	r.sendBeforeSync(manager.ReplicaMessage{
		Kind: manager.MessageAppend, To: p.replica, Index: prev, LogTerm: t,
		Commit: r.commit, Entries: entries, Round: r.lead.round,
	})
}

// followLeader records the sender as the leader of the term and resets the election timer.
func (r *Replica) followLeader(now manager.Time, leader manager.ReplicaID) {
	if r.role != RoleFollower || r.leader != leader {
		r.becomeFollower(now, r.hardState.Term, leader)
	}
	r.heardAt, r.heardLeader, r.everHeard, r.attempts = now, leader, true, 0
	r.resetElectionTimer(now)
}

func (r *Replica) handleAppend(now manager.Time, m manager.ReplicaMessage) {
	if r.role == RoleLeader {
		return
	}
	r.followLeader(now, m.From)
	answer := manager.ReplicaMessage{Kind: manager.MessageAppendAnswer, To: m.From, Round: m.Round, Index: m.Index, Stopping: r.stopping}
	m = r.skipCompacted(m)
	if m.Index >= r.log.base && !r.log.matches(m.Index, m.LogTerm) {
		answer.Refused = true
		answer.Hint = r.conflictHint(m)
		r.send(answer)
		return
	}
	r.mergeEntries(m.Entries)
	answer.Index = m.Index + manager.Index(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, answer.Index))
	r.send(answer)
}

// skipCompacted drops the entries of a message that this log has already compacted.
func (r *Replica) skipCompacted(m manager.ReplicaMessage) manager.ReplicaMessage {
	if m.Index >= r.log.base {
		return m
	}
	n := min(int(r.log.base-m.Index), len(m.Entries))
	m.Index += manager.Index(n)
	m.Entries = m.Entries[n:]
	if m.Index == r.log.base {
		m.LogTerm = r.log.baseTerm
	}
	return m
}

// conflictHint returns the last entry that may match the leader's log; it skips all entries of a term that
// can't match.
func (r *Replica) conflictHint(m manager.ReplicaMessage) manager.Index {
	i := min(m.Index, r.log.last())
	conflictTerm, ok := r.log.term(i)
	for ok && i > r.commit && conflictTerm == r.termOf(i) && conflictTerm > m.LogTerm {
		i--
	}
	if i == m.Index && i > r.commit {
		i--
	}
	return max(i, r.commit)
}

func (r *Replica) termOf(i manager.Index) manager.Term {
	t, _ := r.log.term(i)
	return t
}

// mergeEntries appends the entries that the log lacks; from the first conflict on, the leader's entries
// replace its own.
func (r *Replica) mergeEntries(entries []manager.Entry) {
	changed := false
	for _, e := range entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.last() {
			r.log.truncate(e.Index)
			changed = true
		}
		r.log.append(e)
		changed = changed || e.Members != nil
	}
	if changed {
		r.loadMembers()
	}
}

func (r *Replica) handleAppendAnswer(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RoleLeader {
		return
	}
	p := r.lead.progressOf(m.From)
	if p.replica == 0 {
		return
	}
	p.heardAt, p.stopping = now, m.Stopping
	p.round = max(p.round, m.Round)
	if m.Refused {
		r.handleAppendRefused(p, m)
	} else {
		r.handleAppendMatched(now, p, m)
	}
	r.confirmReads()
}

func (r *Replica) handleAppendRefused(p *progress, m manager.ReplicaMessage) {
	if p.state == stateSnapshot || m.Index <= p.match {
		return
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	p.state, p.inFlight, p.retryAt = stateProbe, 0, 0
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
}

func (r *Replica) handleAppendMatched(now manager.Time, p *progress, m manager.ReplicaMessage) {
	if m.Index > r.log.last() {
		return
	}
	p.inFlight = max(p.inFlight-1, 0)
	if p.state == stateSnapshot && m.Index < r.log.base {
		return
	}
	if m.Index >= p.match {
		p.state = statePipeline
		p.retryAt = 0
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.match+1 == p.next {
		p.inFlight = 0
	}
	r.advanceCommit(now)
	if r.role == RoleLeader {
		r.sendTransferIfCaughtUp()
	}
}
