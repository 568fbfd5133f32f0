package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// ReadID numbers the reads of one replica.
type ReadID uint64

// Urgency says when a read's confirmation starts.
type Urgency int

const (
	// Urgent starts a confirmation at once.
	Urgent Urgency = iota
	// Patient waits for the next heartbeat and costs no message.
	Patient
)

// ReadResult ends a read: with Confirmed, the state of Index or later may be shown.
type ReadResult struct {
	Read      ReadID
	Index     manager.Index
	Confirmed bool
}

// pendingRead waits until a quorum has answered a message that was sent after the read came.
type pendingRead struct {
	id    ReadID
	index manager.Index
	round uint64
}

// Read asks for a confirmation of leadership; its result comes in a later Ready.
func (r *Replica) Read(id ReadID, u Urgency) error {
	if r.role != RoleLeader {
		return r.notLeader()
	}
	if len(r.lead.reads) >= r.Options.MaxReads {
		return manager.ErrUnavailable{Component: "leader", Reason: "too many reads wait"}
	}
	r.lead.reads = append(r.lead.reads, pendingRead{id: id, index: max(r.commit, r.lead.opened), round: r.lead.round + 1})
	if u == Urgent || r.voters() == 1 {
		r.lead.urgent = true
	}
	return nil
}

// confirmReads ends the reads whose round a quorum has answered.
func (r *Replica) confirmReads() {
	if r.role != RoleLeader || r.commit < r.lead.opened {
		return
	}
	if r.roundConfirmed(r.lead.round) {
		r.lead.confirmedAt = r.lead.roundAt
	}
	n := 0
	for _, p := range r.lead.reads {
		if !r.roundConfirmed(p.round) {
			break
		}
		r.doneReads = append(r.doneReads, ReadResult{Read: p.id, Index: p.index, Confirmed: true})
		n++
	}
	r.lead.reads = r.lead.reads[n:]
}

func (r *Replica) roundConfirmed(round uint64) bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool {
		if id == r.ID {
			return r.lead.round >= round
		}
		return r.lead.of(id).round >= round
	})
}

// dropReads ends the reads of a leader that steps down.
func (r *Replica) dropReads() {
	for _, p := range r.lead.reads {
		r.doneReads = append(r.doneReads, ReadResult{Read: p.id})
	}
	r.lead.reads = nil
}
