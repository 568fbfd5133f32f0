package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// incomingSnapshot collects the pieces of a leader's snapshot.
type incomingSnapshot struct {
	meta manager.SnapshotMeta
	from manager.ReplicaID
	data []byte
}

// Compact says that a snapshot of the state at an applied entry is on disk; the keep entries
// before it stay for followers that are only a little behind.
func (r *Replica) Compact(meta manager.SnapshotMeta, keep int) {
	if meta.Index <= r.log.snapshot.Index {
		return
	}
	r.log.snapshot = meta
	if kept := manager.Index(keep); meta.Index > kept {
		r.log.compact(meta.Index - kept)
	}
}

// SnapshotMeta returns what a snapshot at an applied entry must carry.
func (r *Replica) SnapshotMeta(i manager.Index) manager.SnapshotMeta {
	t, _ := r.log.term(i)
	return manager.SnapshotMeta{Index: i, Term: t, Members: r.log.membersAt(i)}
}

// startSnapshot begins to send the latest snapshot to a follower that is behind the log.
func (r *Replica) startSnapshot(p *progress) {
	if p.flow == flowSnapshot && p.snapshot.Index == r.log.snapshot.Index {
		return
	}
	p.flow, p.snapshot, p.offset, p.waitUntil, p.inFlight = flowSnapshot, r.log.snapshot, 0, 0, 0
}

// sendPiece asks the driver to send the next piece; the driver fills in the data from its disk.
func (r *Replica) sendPiece(now manager.Time, p *progress) {
	if now < p.waitUntil {
		return
	}
	p.waitUntil = now.Add(r.Options.ElectionTimeout)
	r.sendEarly(manager.ReplicaMessage{
		Kind: manager.MessageSnapshot, To: p.replica, Round: r.lead.round,
		Snapshot: &manager.SnapshotPiece{Meta: p.snapshot, Offset: p.offset},
	})
}

func (r *Replica) takePiece(now manager.Time, m manager.ReplicaMessage) {
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
	r.collect(m.From, s)
	answer := manager.ReplicaMessage{Kind: manager.MessageSnapshotAnswer, To: m.From, Round: m.Round}
	if int64(len(r.incoming.data)) < s.Meta.Bytes {
		answer.Snapshot = &manager.SnapshotPiece{Meta: manager.SnapshotMeta{Index: s.Meta.Index}, Offset: int64(len(r.incoming.data))}
		r.send(answer)
		return
	}
	r.install(s.Meta)
	answer.Kind, answer.Index = manager.MessageAppendAnswer, s.Meta.Index
	r.send(answer)
}

// collect appends a piece if it is the next one.
func (r *Replica) collect(from manager.ReplicaID, s manager.SnapshotPiece) {
	in := &r.incoming
	if in.meta.Index != s.Meta.Index || in.meta.Term != s.Meta.Term || in.from != from {
		*in = incomingSnapshot{meta: s.Meta, from: from}
	}
	room := s.Meta.Bytes - int64(len(in.data))
	if s.Offset == int64(len(in.data)) && int64(len(s.Data)) <= room {
		in.data = append(in.data, s.Data...)
	}
}

// install replaces the log and hands the snapshot to the driver.
func (r *Replica) install(meta manager.SnapshotMeta) {
	r.installed = &Snapshot{Meta: meta, Data: r.incoming.data}
	r.incoming = incomingSnapshot{}
	r.log.reset(meta)
	r.members = meta.Members
	r.commit, r.handedOut = meta.Index, meta.Index
}

func (r *Replica) takePieceAnswer(now manager.Time, m manager.ReplicaMessage) {
	if r.role != RoleLeader || m.Snapshot == nil {
		return
	}
	p := r.lead.of(m.From)
	p.heardAt = now
	p.round = max(p.round, m.Round)
	r.confirmReads()
	if p.flow != flowSnapshot || m.Snapshot.Meta.Index != p.snapshot.Index {
		return
	}
	p.offset = m.Snapshot.Offset
	p.waitUntil = 0
}
