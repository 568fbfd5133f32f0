package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// Propose replicates a command and returns its result once it is committed and applied. It returns
// ErrOutcomeUnknown if the command may or may not be committed later.
func (r *Replicated) Propose(ctx context.Context, c manager.Command) (manager.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return manager.Result{}, fmt.Errorf("encode command: %w", err)
	}
	return r.submit(ctx, c.Command, data)
}

// ProposeEntry commits an entry for the StateMachine. It returns ErrOutcomeUnknown if the entry may or
// may not be committed later.
func (r *Replicated) ProposeEntry(ctx context.Context, data []byte) error {
	_, err := r.submit(ctx, "", data)
	return err
}

// Inspect calls f while no entry is applied; f may read the StateMachine's state.
func (r *Replicated) Inspect(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Leadership returns the replica's term, whether it is the leader, and when a quorum last confirmed that.
func (r *Replicated) Leadership() (term manager.Term, leads bool, confirmed manager.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status.Term, r.view.isLeader, r.view.confirmed
}

func (r *Replicated) submit(ctx context.Context, id manager.CommandID, data []byte) (manager.Result, error) {
	if len(data) > MaxEntryBytes {
		return manager.Result{}, manager.ErrInvalid{Field: "Command", Reason: fmt.Sprintf("has %d bytes: at most %d are allowed", len(data), MaxEntryBytes)}
	}
	p := &proposal{command: id, data: data, done: make(chan outcome, 1)}
	if err := r.inbox.add(func(b *batch) { b.proposals = append(b.proposals, p) }); err != nil {
		return manager.Result{}, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return manager.Result{}, manager.ErrOutcomeUnknown{Command: id}
	}
}

// Read is a linearizable read: it calls f with the state once a quorum has confirmed that this replica
// is the leader.
func (r *Replicated) Read(ctx context.Context, f func(manager.Applier)) error {
	return r.read(ctx, replicator.ConfirmNow, f)
}

// ReadAtHeartbeat is a Read that is confirmed by the next heartbeat and so sends no messages of its own.
func (r *Replicated) ReadAtHeartbeat(ctx context.Context, f func(manager.Applier)) error {
	return r.read(ctx, replicator.ConfirmAtHeartbeat, f)
}

func (r *Replicated) read(ctx context.Context, u replicator.ReadTiming, f func(manager.Applier)) error {
	call := &readCall{timing: u, done: make(chan error, 1)}
	if err := r.inbox.add(func(b *batch) { b.reads = append(b.reads, call) }); err != nil {
		return err
	}
	select {
	case err := <-call.done:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return fmt.Errorf("confirm leadership: %w", ctx.Err())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
	return nil
}

// ReadRecent calls f with the state if a quorum confirmed within the last election timeout that this
// replica is the leader; otherwise it is a Read.
func (r *Replicated) ReadRecent(ctx context.Context, f func(manager.Applier)) error {
	r.mu.Lock()
	if at := r.view.confirmed; at != 0 && r.Clock.Now().Sub(at) < r.ElectionTimeout() {
		defer r.mu.Unlock()
		f(r.state)
		return nil
	}
	r.mu.Unlock()
	return r.Read(ctx, f)
}

// Wait returns once the configuration's revision is greater than after, or ctx ends.
func (r *Replicated) Wait(ctx context.Context, after manager.Revision) {
	waitFor(ctx, after, func() (manager.Revision, <-chan struct{}) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.state.ConfigurationRevision(), r.changed
	})
}

// ElectionTimeout is the time without contact after which a leader is considered lost.
func (r *Replicated) ElectionTimeout() manager.Duration {
	if r.Options.ElectionTimeout == 0 {
		return replicator.DefaultElectionTimeout
	}
	return r.Options.ElectionTimeout
}

// Leader returns the leader's address and whether it is this replica. A replica whose disk hangs returns no
// leader, as the others may have elected another one in the meantime.
func (r *Replicated) Leader() (manager.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Clock.Now().Sub(r.view.at) >= r.ElectionTimeout() {
		return "", false
	}
	s := r.view.status
	for _, m := range s.Members.List {
		if m.Replica == s.Leader {
			return m.Address, r.view.isLeader
		}
	}
	return "", r.view.isLeader
}

// Ready returns the reason why this replica can't take part in its group, or nil.
func (r *Replicated) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.view.failure != nil:
		return r.view.failure
	case r.view.diskFailure != nil:
		return errors.Join(manager.ErrUnavailable{Component: manager.ComponentDisk, Reason: "it takes no write at present"}, r.view.diskFailure)
	case r.view.diskLost:
		return manager.ErrUnavailable{Component: "replica", Reason: "its disk was lost: add it to the group again under a new ID"}
	case !r.view.hasGroup:
		return manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"}
	}
	return nil
}

// Status returns this replica's role, term, log position and members of the group.
func (r *Replicated) Status() replicator.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status
}

// change proposes a membership change in the driver and returns once it is committed.
func (r *Replicated) change(ctx context.Context, f func(now manager.Time) error) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := r.inbox.add(func(b *batch) {
		b.controls = append(b.controls, control{run: func(now manager.Time) {
			if r.replica == nil {
				p.complete(manager.Result{}, manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"})
				return
			}
			if err := f(now); err != nil {
				p.complete(manager.Result{}, err)
				return
			}
			s := r.replica.Status()
			p.term = s.Term
			r.proposals[s.Last] = p
		}})
	})
	if err != nil {
		return err
	}
	select {
	case o := <-p.done:
		return o.err
	case <-ctx.Done():
		return manager.ErrOutcomeUnknown{}
	}
}

// AddReplica adds a running replica with an empty disk; it becomes a voter once it has caught up.
func (r *Replicated) AddReplica(ctx context.Context, m manager.ReplicaMember) error {
	return r.addReplica(ctx, m, func(now manager.Time, m manager.ReplicaMember) error { return r.replica.AddMember(now, m) })
}

// AddFounder adds a running replica that belongs to the first start of the group.
func (r *Replicated) AddFounder(ctx context.Context, m manager.ReplicaMember) error {
	return r.addReplica(ctx, m, func(now manager.Time, m manager.ReplicaMember) error { return r.replica.AddFounder(now, m) })
}

func (r *Replicated) addReplica(ctx context.Context, m manager.ReplicaMember, add func(manager.Time, manager.ReplicaMember) error) error {
	a, err := r.peers.probe(ctx, m.Address, manager.BootstrapProbe{From: r.Replica})
	if err != nil {
		return fmt.Errorf("probe new replica: %w", err)
	}
	if a.Bootstrapped || a.Replica != 0 && a.Replica != m.Replica {
		reason := fmt.Sprintf("at %s runs replica %d, in a group: %t", m.Address, a.Replica, a.Bootstrapped)
		return manager.ErrConflict{Kind: "replica", Name: fmt.Sprint(m.Replica), Reason: reason}
	}
	m.Disk = a.Disk
	return r.change(ctx, func(now manager.Time) error { return add(now, m) })
}

// RemoveReplica removes a replica permanently; its ID is never used again.
func (r *Replicated) RemoveReplica(ctx context.Context, id manager.ReplicaID) error {
	return r.change(ctx, func(now manager.Time) error { return r.replica.RemoveMember(now, id) })
}
