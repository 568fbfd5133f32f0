package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// raftLog holds the entries after base, the last entry that compaction has removed.
type raftLog struct {
	base     manager.Index
	baseTerm manager.Term
	entries  []manager.Entry
	// saving is the last entry that was handed out to be written, stable the last one known to be on disk.
	saving manager.Index
	stable manager.Index
	// snapshot is the latest snapshot; its index is base or later.
	snapshot manager.SnapshotMeta
}

func newLog(s manager.SnapshotMeta, entries []manager.Entry) raftLog {
	l := raftLog{snapshot: s, base: s.Index, baseTerm: s.Term}
	if n := len(entries); n > 0 && entries[0].Index <= s.Index && entries[n-1].Index >= s.Index {
		l.base = entries[0].Index
		l.baseTerm = entries[0].Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index == l.last()+1 {
			l.entries = append(l.entries, e)
		}
	}
	l.saving, l.stable = l.last(), l.last()
	return l
}

func (l *raftLog) last() manager.Index { return l.base + manager.Index(len(l.entries)) }

// term returns the term of an entry, or false if the log does not hold the entry.
func (l *raftLog) term(i manager.Index) (manager.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

func (l *raftLog) lastTerm() manager.Term {
	t, _ := l.term(l.last())
	return t
}

func (l *raftLog) matches(i manager.Index, t manager.Term) bool {
	own, ok := l.term(i)
	return ok && own == t
}

// slice returns a copy of the entries from first to last, both included.
func (l *raftLog) slice(first, last manager.Index) []manager.Entry {
	first, last = max(first, l.base+1), min(last, l.last())
	if first > last {
		return nil
	}
	return append([]manager.Entry(nil), l.entries[first-l.base-1:last-l.base]...)
}

// batch returns entries from first to end, up to limit bytes but at least one entry.
func (l *raftLog) batch(first, end manager.Index, limit int) []manager.Entry {
	bytes, last := 0, first-1
	for i := first; i <= end; i++ {
		bytes += entryBytes(l.entries[i-l.base-1])
		if bytes > limit && last >= first {
			break
		}
		last = i
	}
	return l.slice(first, last)
}

// entryOverhead is about the size of an entry in a message without its data.
const entryOverhead = 64

func entryBytes(e manager.Entry) int {
	n := len(e.Data) + entryOverhead
	if e.Members != nil {
		n += len(e.Members.List) * entryOverhead * 2
	}
	return n
}

func (l *raftLog) append(e manager.Entry) { l.entries = append(l.entries, e) }

// truncate drops the entries from i on.
func (l *raftLog) truncate(i manager.Index) {
	l.entries = l.entries[: i-l.base-1 : i-l.base-1]
	l.saving, l.stable = min(l.saving, i-1), min(l.stable, i-1)
}

// unsaved returns the entries that were not handed out to be written yet.
func (l *raftLog) unsaved() []manager.Entry { return l.slice(l.saving+1, l.last()) }

// setStable marks the log up to e as written to disk, unless e was replaced since.
func (l *raftLog) setStable(e manager.Entry) {
	if l.matches(e.Index, e.Term) {
		l.stable = max(l.stable, e.Index)
	}
}

// members returns the latest members in the log, whether their entry is committed or not, and the index of that entry or
// of the snapshot.
func (l *raftLog) members() (manager.Members, manager.Index) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if e := l.entries[i]; e.Members != nil {
			return *e.Members, e.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the members as of entry i.
func (l *raftLog) membersAt(i manager.Index) manager.Members {
	for k := min(i, l.last()); k > l.base && k > l.snapshot.Index; k-- {
		if m := l.entries[k-l.base-1].Members; m != nil {
			return *m
		}
	}
	return l.snapshot.Members
}

// compact drops the entries up to i, which a snapshot covers.
func (l *raftLog) compact(i manager.Index) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]manager.Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s manager.SnapshotMeta) {
	*l = raftLog{snapshot: s, base: s.Index, baseTerm: s.Term, saving: s.Index, stable: s.Index}
}
