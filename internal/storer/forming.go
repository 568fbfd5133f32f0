package storer

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// probePeriod is the pause between two questions to the other replicas while the group is not formed.
const probePeriod = 500 * manager.Millisecond

// ErrWrongFolder reports a data folder that belongs to another replica.
var ErrWrongFolder = eris.New("the data folder belongs to another replica")

// openIdentity reads the identity of the disk, or gives a fresh disk a new one.
func (r *Replicated) openIdentity() error {
	id, ok, err := journaler.ReadIdentity(r.Folder)
	if err != nil {
		return fmt.Errorf("read identity: %w", err)
	}
	if ok && r.Replica == 0 {
		r.Replica = id.Replica
	}
	if ok && id.Replica != r.Replica {
		return fmt.Errorf("%s holds replica %d, the settings name %d: %w", r.Folder, id.Replica, r.Replica, ErrWrongFolder)
	}
	if ok {
		r.identity = id
		return nil
	}
	r.identity = manager.ReplicaIdentity{
		Format: replicator.IdentityFormat, Replica: r.Replica, Disk: manager.DiskID(uuid.NewString()),
	}
	return r.writeIdentity()
}

func (r *Replicated) writeIdentity() error {
	if err := journaler.WriteIdentity(r.Folder, r.identity); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}

// form joins the group that wrote to this disk, or founds one.
func (r *Replicated) form(now manager.Time, b *batch) error {
	for _, in := range b.inbound {
		for _, m := range in.messages {
			if replicator.ProvesMembership(r.identity, m) {
				r.takeID(m.To)
				return r.join(m.Group, replicator.PersistentState{})
			}
		}
	}
	for _, c := range b.controls {
		c.run(now)
	}
	b.controls = nil
	if len(r.Initial) == 0 {
		return nil
	}
	members, ok := r.former.InitialMembers()
	if !ok {
		r.probeOthers(now)
		return nil
	}
	founded := replicator.BootstrapState(members)
	if err := r.log.Save(&founded.HardState, founded.Entries); err != nil {
		return fmt.Errorf("found group: %w", err)
	}
	group := manager.GroupID(strconv.FormatUint(uint64(uuid.New().ID()), 16))
	klog.InfoS(manager.LogGroupFounded, "Group", group, "Replicas", len(members.List))
	return r.join(group, founded)
}

// takeID takes the id that the group gave to a disk without one.
func (r *Replicated) takeID(id manager.ReplicaID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity.Replica, r.Replica = id, id
}

// join ties this disk to a group for good.
func (r *Replicated) join(g manager.GroupID, stored replicator.PersistentState) error {
	r.identity.Group = g
	if err := r.writeIdentity(); err != nil {
		return err
	}
	r.startReplica(stored)
	return nil
}

// probeOthers asks the other initial replicas whether they have a fresh disk too.
func (r *Replicated) probeOthers(now manager.Time) {
	if now < r.probeAt {
		return
	}
	r.probeAt = now.Add(probePeriod)
	for _, m := range r.Initial {
		if m.Replica == r.Replica {
			continue
		}
		r.peers.work.Go(func() {
			ctx, cancel := context.WithTimeout(r.peers.ctx, probePeriod.Std())
			defer cancel()
			a, err := r.peers.probe(ctx, m.Address)
			if err != nil || a.Replica != m.Replica {
				klog.V(2).InfoS("Replica not reached", "Replica", m.Replica, "Error", errors.Join(err))
				return
			}
			r.inbox.control(func(manager.Time) { r.former.AddAnswer(a) })
		})
	}
}

// Probe answers another replica's question for this disk.
func (r *Replicated) Probe() manager.BootstrapAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return manager.BootstrapAnswer{
		Replica: r.Replica, Disk: r.diskID, Formed: r.view.formed, Members: r.view.status.Members,
	}
}
