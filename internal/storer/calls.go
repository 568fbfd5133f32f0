package storer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// Propose returns the result of a command once a quorum has it on disk. It returns
// ErrOutcomeUnknown where the command may or may not be committed later.
func (r *Replicated) Propose(ctx context.Context, c manager.Command) (manager.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return manager.Result{}, fmt.Errorf("encode command: %w", err)
	}
	return r.submit(ctx, c.Command, data)
}

// ProposeEntry commits an entry for the Machine. It returns ErrOutcomeUnknown where the entry may or
// may not be committed later.
func (r *Replicated) ProposeEntry(ctx context.Context, data []byte) error {
	_, err := r.submit(ctx, "", data)
	return err
}

// Inspect calls f while nothing is applied; f may read the Machine's state.
func (r *Replicated) Inspect(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Leadership returns the replica's term, whether it leads, and when a quorum last confirmed that.
func (r *Replicated) Leadership() (term manager.Term, leads bool, confirmed manager.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status.Term, r.view.leads, r.view.confirmed
}

func (r *Replicated) submit(ctx context.Context, id manager.CommandID, data []byte) (manager.Result, error) {
	if len(data) > maxCommandBytes {
		return manager.Result{}, manager.ErrInvalid{Field: "Command", Reason: fmt.Sprintf("has %d bytes: at most %d are taken", len(data), maxCommandBytes)}
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

// Read calls f with the state once a quorum has confirmed that this replica leads.
func (r *Replicated) Read(ctx context.Context, f func(manager.Applier)) error {
	return r.read(ctx, replicator.ConfirmNow, f)
}

// ReadAtHeartbeat is Read that waits for the next heartbeat and so costs no message.
func (r *Replicated) ReadAtHeartbeat(ctx context.Context, f func(manager.Applier)) error {
	return r.read(ctx, replicator.ConfirmAtHeartbeat, f)
}

func (r *Replicated) read(ctx context.Context, u replicator.ReadTiming, f func(manager.Applier)) error {
	call := &readCall{urgency: u, done: make(chan error, 1)}
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

// ReadRecent calls f with the state if a quorum confirmed within an election time-out that this replica
// leads, else it confirms that anew.
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

// Wait returns once the revision of the configuration is above after, or ctx ends.
func (r *Replicated) Wait(ctx context.Context, after manager.Revision) {
	waitFor(ctx, after, func() (manager.Revision, <-chan struct{}) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.state.ConfigurationRevision(), r.changed
	})
}

// ElectionTimeout is how long a leader counts without being heard.
func (r *Replicated) ElectionTimeout() manager.Duration {
	if r.Options.ElectionTimeout == 0 {
		return replicator.DefaultElectionTimeout
	}
	return r.Options.ElectionTimeout
}

// Leader returns the leader's address and whether it is this replica. A replica whose disk hangs names none, as
// others may have elected another leader meanwhile.
func (r *Replicated) Leader() (manager.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Clock.Now().Sub(r.view.at) >= r.ElectionTimeout() {
		return "", false
	}
	s := r.view.status
	for _, m := range s.Members.List {
		if m.Replica == s.Leader {
			return m.Address, r.view.leads
		}
	}
	return "", r.view.leads
}

// Ready returns why this replica can't take part, or nil.
func (r *Replicated) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.view.failure != nil:
		return r.view.failure
	case r.view.diskLost:
		return manager.ErrUnavailable{Component: "replica", Reason: "its disk was lost: add it to the group again under a new id"}
	case !r.view.formed:
		return manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"}
	}
	return nil
}

// Status returns what this replica knows of the group.
func (r *Replicated) Status() replicator.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status
}

// change runs a change of the members in the driver and returns once it is committed.
func (r *Replicated) change(ctx context.Context, f func(now manager.Time) error) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := r.inbox.add(func(b *batch) {
		b.controls = append(b.controls, control{run: func(now manager.Time) {
			if r.replica == nil {
				p.end(manager.Result{}, manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"})
				return
			}
			if err := f(now); err != nil {
				p.end(manager.Result{}, err)
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

// AddReplica adds a replica that runs with a fresh disk; it becomes a voter once it has caught up.
func (r *Replicated) AddReplica(ctx context.Context, m manager.ReplicaMember) error {
	a, err := r.peers.probe(ctx, m.Address)
	if err != nil {
		return fmt.Errorf("probe new replica: %w", err)
	}
	if a.Formed || a.Replica != 0 && a.Replica != m.Replica {
		reason := fmt.Sprintf("at %s runs replica %d, in a group: %t", m.Address, a.Replica, a.Formed)
		return manager.ErrConflict{Kind: "replica", Name: fmt.Sprint(m.Replica), Reason: reason}
	}
	m.Disk = a.Disk
	return r.change(ctx, func(now manager.Time) error { return r.replica.AddMember(now, m) })
}

// RemoveReplica removes a replica for good; its id is never used again.
func (r *Replicated) RemoveReplica(ctx context.Context, id manager.ReplicaID) error {
	return r.change(ctx, func(now manager.Time) error { return r.replica.RemoveMember(now, id) })
}
