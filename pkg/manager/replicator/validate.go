package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

const (
	// maxTermLead limits how far the term of a message may be ahead: a term near the maximum would leave no later one.
	maxTermLead = 1 << 32
	// maxIndex limits the indexes of a message, so that no sum of them overflows.
	maxIndex = 1 << 62
)

// valid reports whether a replica of this group can have sent a message.
func (r *Replica) valid(m manager.ReplicaMessage) bool {
	if m.Term > r.hardState.Term && m.Term-r.hardState.Term > maxTermLead {
		return false
	}
	if m.Index > maxIndex || m.Hint > maxIndex || m.Commit > maxIndex || m.Kind == manager.MessageAppend && m.LogTerm > m.Term {
		return false
	}
	previous := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+manager.Index(i) || e.Term < previous || e.Term > m.Term {
			return false
		}
		previous = e.Term
	}
	if s := m.Snapshot; s != nil && m.Kind == manager.MessageSnapshot {
		return s.Meta.Bytes > 0 && s.Offset >= 0 && s.Meta.Index <= maxIndex && s.Meta.Term <= m.Term
	}
	return true
}
