package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// ReadID identifies a read of one replica.
type ReadID uint64

// ReadTiming says when the heartbeat round starts that confirms the leadership for a read.
type ReadTiming int

const (
	// ConfirmNow starts a heartbeat round at once.
	ConfirmNow ReadTiming = iota
	// ConfirmAtHeartbeat waits for the next regular heartbeat and costs no extra message.
	ConfirmAtHeartbeat
)

// ReadResult is the outcome of a read. If Confirmed is set, the read may be served from the state at Index
// or later.
type ReadResult struct {
	ID        ReadID
	Index     manager.Index
	Confirmed bool
}

// pendingRead waits until a quorum has answered a heartbeat round that was started after the read was
// requested.
type pendingRead struct {
	id    ReadID
	index manager.Index
	round uint64
}

// ReadIndex requests a linearizable read: it asks a quorum to confirm the leadership. The result is
// returned by a later Ready.
func (r *Replica) ReadIndex(id ReadID, timing ReadTiming) error {
	if r.role != RoleLeader {
		return r.notLeader()
	}
	if len(r.lead.reads) >= r.Options.MaxReads {
		return manager.ErrUnavailable{Component: "leader", Reason: "too many pending reads"}
	}
	r.lead.reads = append(r.lead.reads, pendingRead{id: id, index: max(r.commit, r.lead.termStart), round: r.lead.round + 1})
	if timing == ConfirmNow || r.voterCount() == 1 {
		r.lead.roundDue = true
	}
	return nil
}

// confirmReads completes the reads whose heartbeat round a quorum has answered.
func (r *Replica) confirmReads() {
	if r.role != RoleLeader || r.commit < r.lead.termStart {
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
		r.doneReads = append(r.doneReads, ReadResult{ID: p.id, Index: p.index, Confirmed: true})
		n++
	}
	r.lead.reads = r.lead.reads[n:]
}

func (r *Replica) roundConfirmed(round uint64) bool {
	return r.hasQuorum(func(id manager.ReplicaID) bool {
		if id == r.ID {
			return r.lead.round >= round
		}
		return r.lead.progressOf(id).round >= round
	})
}

// failReads ends the pending reads of a leader that steps down, unconfirmed.
func (r *Replica) failReads() {
	for _, p := range r.lead.reads {
		r.doneReads = append(r.doneReads, ReadResult{ID: p.id})
	}
	r.lead.reads = nil
}
