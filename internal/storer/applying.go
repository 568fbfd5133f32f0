package storer

import (
	"fmt"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

func (r *Replicated) apply(ready replicator.Ready) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := ready.Snapshot; s != nil {
		if err := r.Machine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
		r.applied, r.uncovered = s.Meta.Index, 0
	}
	before := r.state.ConfigurationRevision()
	for _, e := range ready.Committed {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	if ready.Snapshot != nil || r.state.ConfigurationRevision() != before {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	for _, read := range ready.Reads {
		r.completeRead(read)
	}
	return nil
}

func (r *Replicated) applyEntry(e manager.Entry) error {
	r.applied = e.Index
	r.uncovered += storedBytes(e)
	var result manager.Result
	if e.Kind == manager.EntryCommand {
		var err error
		if result, err = r.Machine.Apply(e.Data); err != nil {
			return fmt.Errorf("apply entry %d: %w", e.Index, err)
		}
	}
	p := r.proposals[e.Index]
	if p == nil {
		return nil
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		p.complete(manager.Result{}, manager.ErrNotLeader{})
		return nil
	}
	p.complete(result, nil)
	return nil
}

func (r *Replicated) completeRead(read replicator.ReadResult) {
	call := r.reads[read.ID]
	delete(r.reads, read.ID)
	switch {
	case call == nil:
	case !read.Confirmed || r.applied < read.Index:
		call.complete(manager.ErrNotLeader{})
	default:
		call.complete(nil)
	}
}

// dropIfNotLeader completes the pending proposals of a replica that is no longer the leader: the next
// leader may or may not commit them.
func (r *Replicated) dropIfNotLeader() {
	if r.replica.Status().Role == replicator.RoleLeader {
		return
	}
	for i, p := range r.proposals {
		p.complete(manager.Result{}, manager.ErrOutcomeUnknown{Command: p.command})
		delete(r.proposals, i)
	}
}

func (r *Replicated) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.diskLost, r.view.diskFailure = r.bootstrapper.DiskLost(), r.disk.failure
	if r.replica == nil {
		return
	}
	r.view.hasGroup, r.view.at = true, r.Clock.Now()
	before := r.view.status
	r.view.status, r.view.isLeader = r.replica.Status(), r.replica.LeaderReady()
	if s := r.view.status; s.Leader != before.Leader || s.Role != before.Role {
		klog.InfoS(manager.LogReplicaRoleChanged, "Replica", s.Replica, "Role", s.Role, "Leader", s.Leader, "Term", s.Term,
			"LeaderBefore", before.Leader, "Commit", s.Commit)
	}
	r.view.status.Silent = r.replica.Silent(r.Clock.Now())
	r.reporter.report(r.Clock.Now(), r.view.status)
	r.view.confirmed = 0
	if at, ok := r.replica.ConfirmedAt(); ok {
		r.view.confirmed = at
	}
}
