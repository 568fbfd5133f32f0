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

const (
	// probePeriod is the interval between two probes of the other replicas before the group is bootstrapped, and the
	// time-out of a probe.
	probePeriod = 500 * manager.Millisecond
	// unheardProbePeriod is the interval between two probes of voters that are not heard.
	unheardProbePeriod = 200 * manager.Millisecond
)

// ErrWrongFolder reports a data folder that belongs to another replica.
var ErrWrongFolder = eris.New("the data folder belongs to another replica")

// openIdentity reads the identity of the disk, or creates one on an empty disk.
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
	r.identity = newIdentity(r.Replica)
	return r.writeIdentity()
}

func newIdentity(id manager.ReplicaID) manager.ReplicaIdentity {
	return manager.ReplicaIdentity{Format: replicator.IdentityFormat, Replica: id, Disk: manager.DiskID(uuid.NewString())}
}

// Discard makes the folder of a removed replica that of an empty disk. The identity is replaced first: what a crash or a
// loss of power leaves of the rest belongs to no group, and the next Open removes it.
func Discard(folder string) error {
	if err := journaler.WriteIdentity(folder, newIdentity(0)); err != nil {
		return fmt.Errorf("replace identity: %w", err)
	}
	if err := journaler.Clear(folder); err != nil {
		return fmt.Errorf("clear folder: %w", err)
	}
	return nil
}

func (r *Replicated) writeIdentity() error {
	if err := journaler.WriteIdentity(r.Folder, r.identity); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}

// joinOrBootstrap joins the group that has added this disk as a member, or bootstraps a group from the
// initial members.
func (r *Replicated) joinOrBootstrap(now manager.Time, b *batch) error {
	for _, in := range b.inbound {
		for _, m := range in.messages {
			if replicator.ProvesMembership(r.identity, m) {
				r.adoptID(m.To)
				return r.join(m.Group, replicator.PersistentState{})
			}
		}
	}
	b.runControls(now)
	if len(r.Initial) == 0 {
		return nil
	}
	members, ok := r.bootstrapper.InitialMembers(now)
	if !ok {
		r.probeOthers(now)
		return nil
	}
	initial := replicator.BootstrapState(members)
	if err := r.log.Save(&initial.HardState, initial.Entries); err != nil {
		return fmt.Errorf("bootstrap group: %w", err)
	}
	group := manager.GroupID(strconv.FormatUint(uint64(uuid.New().ID()), 16))
	klog.InfoS(manager.LogGroupCreated, "Group", group, "Replicas", len(members.List))
	return r.join(group, initial)
}

// adoptID sets the replica ID that the group assigned to a disk without one.
func (r *Replicated) adoptID(id manager.ReplicaID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity.Replica, r.Replica = id, id
}

// join binds this disk permanently to a group and starts the replica.
func (r *Replicated) join(g manager.GroupID, stored replicator.PersistentState) error {
	r.identity.Group = g
	if err := r.writeIdentity(); err != nil {
		r.identity.Group = ""
		return err
	}
	r.startReplica(stored)
	return nil
}

// probeOthers asks the other initial replicas whether their disks are empty too, that is, belong to no group.
func (r *Replicated) probeOthers(now manager.Time) {
	if now < r.probeAt {
		return
	}
	r.probeAt = now.Add(probePeriod)
	probe := manager.BootstrapProbe{From: r.Replica, Forming: r.bootstrapper.Forming(now)}
	for _, m := range r.Initial {
		if m.Replica == r.Replica {
			continue
		}
		r.peers.work.Go(func() {
			ctx, cancel := context.WithTimeout(r.peers.ctx, probePeriod.Std())
			defer cancel()
			a, err := r.peers.probe(ctx, m.Address, probe)
			if err != nil || a.Replica != m.Replica {
				klog.V(2).InfoS("Replica not reached", "Replica", m.Replica, "Error", errors.Join(err))
				return
			}
			r.inbox.control(func(now manager.Time) { r.bootstrapper.AddAnswer(now, a) })
		})
	}
}

// probeUnheard asks the processes at the addresses of voters that are not heard which disks they have.
func (r *Replicated) probeUnheard(now manager.Time) {
	if now < r.probeAt {
		return
	}
	unheard := r.replica.UnheardVoters(now)
	if len(unheard) == 0 {
		return
	}
	r.probeAt = now.Add(unheardProbePeriod)
	for _, m := range unheard {
		r.peers.work.Go(func() {
			ctx, cancel := context.WithTimeout(r.peers.ctx, probePeriod.Std())
			defer cancel()
			a, err := r.peers.probe(ctx, m.Address, manager.BootstrapProbe{From: r.Replica})
			if err != nil {
				klog.V(2).InfoS("Replica not reached", "Replica", m.Replica, "Error", err.Error())
				return
			}
			r.inbox.control(func(now manager.Time) { r.noteDisk(now, m, a.Disk) })
		})
	}
}

func (r *Replicated) noteDisk(now manager.Time, m manager.ReplicaMember, disk manager.DiskID) {
	if disk != "" && disk != m.Disk {
		klog.InfoS(manager.LogVoterLostDisk, "Replica", m.Replica, "Address", m.Address, "Disk", m.Disk, "NewDisk", disk)
	}
	r.replica.NoteDisk(now, m.Replica, disk)
}

// AnswerProbe is Probe with the consent that the other replica may ask for.
func (r *Replicated) AnswerProbe(ctx context.Context, q manager.BootstrapProbe) manager.BootstrapAnswer {
	if !q.Forming {
		return r.Probe()
	}
	consent := make(chan bool, 1)
	r.inbox.control(func(now manager.Time) { consent <- r.replica == nil && r.bootstrapper.Consent(now, q.From) })
	select {
	case ok := <-consent:
		a := r.Probe()
		a.Consent = ok && !a.Bootstrapped
		return a
	case <-ctx.Done():
		return r.Probe()
	}
}

// Probe answers another replica's probe: which disk this replica has and whether it belongs to a group.
func (r *Replicated) Probe() manager.BootstrapAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return manager.BootstrapAnswer{
		Replica: r.Replica, Disk: r.diskID, Bootstrapped: r.view.hasGroup, Members: r.view.status.Members,
	}
}
