package replicator

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// StepDown prepares the replica for a planned stop of its process: it transfers the leadership, now and whenever the
// replica is elected again, and lets the other replicas start an election first. It still votes, and it leads where no
// other replica can, as its log may hold entries that the others lack.
func (r *Replica) StepDown(now manager.Time) {
	if !r.stopping {
		r.stopping = true
		r.electionAt = r.electionAt.Add(r.electionDelay())
	}
	r.TransferLeadership(now)
}

// electionDelay returns how much later than others the replica starts an election. During a rolling stop the next leader
// may be lost at once, and a replica that is stopping would be elected again although its process refuses all work.
func (r *Replica) electionDelay() manager.Duration {
	if r.stopping {
		return r.Options.ElectionTimeout
	}
	return 0
}
