package storer

import (
	"context"
	"slices"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// StepDown transfers leadership to another replica before a planned stop and keeps the replica from leading again while
// another can; it returns early when ctx ends.
func (r *Replicated) StepDown(ctx context.Context) {
	const poll = 20 * time.Millisecond
	r.inbox.control(r.stepDownReplica)
	for ctx.Err() == nil {
		r.mu.Lock()
		leads, voters := r.view.isLeader, len(r.view.status.Members.List)
		r.mu.Unlock()
		if !leads || voters < 2 {
			return
		}
		r.inbox.control(r.stepDownReplica)
		time.Sleep(poll)
	}
}

// AwaitHandOver waits until a replica that is stopping has lost its vote, so that the group doesn't count on a replica that may
// never return; the last few voters keep theirs unless a learner takes it. It returns early when there is no learner or ctx ends.
func (r *Replicated) AwaitHandOver(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for ctx.Err() == nil {
		s := r.Status()
		voters, learners := splitMembers(s.Members)
		if !slices.Contains(voters, s.Replica) || len(learners) == 0 && len(voters) <= leastVoters {
			return
		}
		time.Sleep(poll)
	}
}

func (r *Replicated) stepDownReplica(now manager.Time) {
	if r.replica != nil {
		r.replica.StepDown(now)
	}
}
