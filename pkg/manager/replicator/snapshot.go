package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// incomingSnapshot assembles the pieces of a snapshot that a leader sends.
type incomingSnapshot struct {
	meta manager.SnapshotMeta
	from manager.ReplicaID
	data []byte
}

// Compact reports that a snapshot of the state at an applied entry is on disk. The keep entries before it
// stay in the log for followers that are only slightly behind.
func (r *Replica) Compact(meta manager.SnapshotMeta, keep int) {
	if meta.Index <= r.log.snapshot.Index {
		return
	}
	r.log.snapshot = meta
	if kept := manager.Index(keep); meta.Index > kept {
		r.log.compact(meta.Index - kept)
	}
}

// CountBefore returns how many entries up to i the log holds, counted back from i until there are most of them or the
// next one would bring their size above maxBytes.
func (r *Replica) CountBefore(i manager.Index, most int, maxBytes int64) int {
	n, size := 0, int64(0)
	for k := min(i, r.log.last()); k > r.log.base && n < most; k-- {
		size += int64(entryBytes(r.log.entries[k-r.log.base-1]))
		if size > maxBytes {
			break
		}
		n++
	}
	return n
}

// SnapshotMeta returns the metadata of a snapshot at an applied entry.
func (r *Replica) SnapshotMeta(i manager.Index) manager.SnapshotMeta {
	t, _ := r.log.term(i)
	return manager.SnapshotMeta{Index: i, Term: t, Members: r.log.membersAt(i)}
}

// startSnapshot begins to send the latest snapshot to a follower that needs entries which the log no longer
// holds.
func (r *Replica) startSnapshot(p *progress) {
	if p.state == stateSnapshot && p.snapshot.Index == r.log.snapshot.Index {
		return
	}
	p.state, p.snapshot, p.offset, p.retryAt, p.inFlight = stateSnapshot, r.log.snapshot, 0, 0, 0
}

// sendSnapshotPiece queues the message of the next piece; the driver reads its data from disk.
func (r *Replica) sendSnapshotPiece(now manager.Time, p *progress) {
	if now < p.retryAt {
		return
	}
	p.retryAt = now.Add(r.Options.ElectionTimeout)
	r.sendBeforeSync(manager.ReplicaMessage{
		Kind: manager.MessageSnapshot, To: p.replica, Round: r.lead.round,
		Snapshot: &manager.SnapshotPiece{Meta: p.snapshot, Offset: p.offset},
	})
}

func (r *Replica) handleSnapshotPiece(now manager.Time, m manager.ReplicaMessage) {
	if r.role == RoleLeader || m.Snapshot == nil {
		return
	}
	r.followLeader(now, m.From)
	s := *m.Snapshot
	if s.Meta.Index <= r.commit {
		r.send(manager.ReplicaMessage{Kind: manager.MessageAppendAnswer, To: m.From, Round: m.Round, Index: r.commit})
		return
	}
	if s.Meta.Bytes > r.Options.MaxSnapshotBytes {
		return
	}
	r.appendPiece(m.From, s)
	answer := manager.ReplicaMessage{Kind: manager.MessageSnapshotAnswer, To: m.From, Round: m.Round}
	if int64(len(r.incoming.data)) < s.Meta.Bytes {
		answer.Snapshot = &manager.SnapshotPiece{Meta: manager.SnapshotMeta{Index: s.Meta.Index}, Offset: int64(len(r.incoming.data))}
		r.send(answer)
		return
	}
	r.installSnapshot(s.Meta)
	answer.Kind, answer.Index = manager.MessageAppendAnswer, s.Meta.Index
	r.send(answer)
}

// appendPiece appends a piece if it is the next one.
func (r *Replica) appendPiece(from manager.ReplicaID, s manager.SnapshotPiece) {
	in := &r.incoming
	if in.meta.Index != s.Meta.Index || in.meta.Term != s.Meta.Term || in.from != from {
		*in = incomingSnapshot{meta: s.Meta, from: from}
	}
	room := s.Meta.Bytes - int64(len(in.data))
	if s.Offset == int64(len(in.data)) && int64(len(s.Data)) <= room {
		in.data = append(in.data, s.Data...)
	}
}

// installSnapshot replaces the log and passes the snapshot to the driver.
func (r *Replica) installSnapshot(meta manager.SnapshotMeta) {
	r.installed = &Snapshot{Meta: meta, Data: r.incoming.data}
	r.incoming = incomingSnapshot{}
	r.log.reset(meta)
	r.loadMembers()
	r.commit, r.delivered = meta.Index, meta.Index
}

func (r *Replica) handleSnapshotAnswer(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RoleLeader || m.Snapshot == nil {
		return
	}
	p := r.lead.progressOf(m.From)
	p.heardAt = now
	p.round = max(p.round, m.Round)
	r.confirmReads()
	if p.state != stateSnapshot || m.Snapshot.Meta.Index != p.snapshot.Index {
		return
	}
	p.offset = m.Snapshot.Offset
	p.retryAt = 0
}
