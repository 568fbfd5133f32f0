package storer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// tickPeriod is the pause between two looks at the timers; it adds to every time-out.
	tickPeriod = 50 * time.Millisecond
	// slowSync is a third of the time that a peer waits for an answer, which takes a sync or two.
	slowSync = 200 * manager.Millisecond
	// maxCommandBytes bounds one command; a larger one would stall the others behind it.
	maxCommandBytes = 1 << 20
	// maxQueued bounds the proposals and reads that wait for the driver.
	maxQueued = 10_000
	// DefaultSnapshotEvery is the number of applied entries between two snapshots; more entries
	// make a restart and the log longer.
	DefaultSnapshotEvery = 10_000
	// keptEntries is the number of entries that stay before a snapshot for followers a little behind.
	keptEntries = 1_000
)

// Replicated is the Store that commits commands by a quorum of replicas.
type Replicated struct {
	Clock   manager.Clock
	Replica manager.ReplicaID
	// Initial are the members of the group when it is founded.
	Initial []manager.ReplicaMember
	Folder  string
	Disk    journaler.Disk
	Token   string
	Scheme  string
	HTTP    *http.Client
	Seed    uint64
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery int
	Options       replicator.Options
	// Machine is the state that the log's commands change; nil stands for the applier's.
	Machine Machine
	// MinFreeBytes is the room on the disk below which no change is taken; 0 stands for the log's own.
	MinFreeBytes uint64

	// The driver's goroutine alone uses these.
	identity  manager.ReplicaIdentity
	diskID    manager.DiskID
	log       *journaler.Log
	replica   *replicator.Replica
	former    *replicator.Bootstrapper
	proposals map[manager.Index]*proposal
	reads     map[replicator.ReadID]*readCall
	nextRead  replicator.ReadID
	held      []replicator.Ready
	snapshot  manager.SnapshotMeta
	probeAt   manager.Time
	room      roomWatch
	peers     *peerSet

	inbox inbox
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	state   *applier.State
	applied manager.Index
	changed chan struct{}
	view    view
}

// view is what other goroutines may know of the replica.
type view struct {
	// at is when the driver wrote the view.
	at        manager.Time
	status    replicator.Status
	leads     bool
	confirmed manager.Time
	formed    bool
	diskLost  bool
	failure   error
}

var (
	_ Store = (*Replicated)(nil)
	_ Peer  = (*Replicated)(nil)
)

// Open reads the data folder and starts the driver.
func (r *Replicated) Open() error {
	r.state, r.changed = applier.New(), make(chan struct{})
	if r.Machine == nil {
		r.Machine = commandMachine{state: r.state}
	}
	r.proposals, r.reads = map[manager.Index]*proposal{}, map[replicator.ReadID]*readCall{}
	r.stop, r.done, r.inbox.wake = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	if r.SnapshotEvery == 0 {
		r.SnapshotEvery = DefaultSnapshotEvery
	}
	if err := r.openIdentity(); err != nil {
		return err
	}
	r.diskID = r.identity.Disk
	r.log = &journaler.Log{Folder: r.Folder, Disk: r.Disk, MinFree: r.MinFreeBytes}
	stored, data, err := r.log.Open()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if data != nil {
		if err := r.Machine.Restore(data); err != nil {
			return errors.Join(fmt.Errorf("restore snapshot: %w", err), r.log.Close())
		}
	}
	r.applied, r.snapshot = stored.Snapshot.Index, stored.Snapshot
	r.peers = newPeerSet(r)
	if r.identity.Group != "" {
		r.startReplica(stored)
	}
	r.former = &replicator.Bootstrapper{ID: r.Replica, Disk: r.identity.Disk, Initial: r.Initial}
	go r.run()
	return nil
}

func (r *Replicated) startReplica(stored replicator.PersistentState) {
	r.replica = &replicator.Replica{
		Group: r.identity.Group, ID: r.Replica, Disk: r.identity.Disk, Options: r.Options,
		Rand: rand.New(rand.NewPCG(r.Seed, uint64(r.Replica))),
	}
	r.replica.Start(r.Clock.Now(), stored)
	klog.InfoS(manager.LogReplicaStarted, "Group", r.identity.Group, "Replica", r.Replica, "Term", stored.HardState.Term)
}

// run drives the replica: everything that came since the last turn shares one sync.
func (r *Replicated) run() {
	defer close(r.done)
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			r.end(manager.ErrUnavailable{Component: "replica", Reason: "it is stopping"})
			return
		case <-t.C:
		case <-r.inbox.wake:
		}
		if err := r.turn(); err != nil {
			klog.ErrorS(err, manager.LogReplicaStoppedDiskCantBe)
			r.end(errors.Join(manager.ErrUnavailable{Component: manager.ComponentDisk, Reason: "a write failed"}, err))
			return
		}
	}
}

// turn takes what has come and does what the replica wants done.
func (r *Replicated) turn() error {
	batch := r.inbox.take()
	defer batch.answerAll()
	now := r.Clock.Now()
	if r.replica == nil {
		if err := r.form(now, batch); err != nil {
			return err
		}
	}
	if r.replica == nil {
		batch.refuse(manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"})
		r.publish()
		return nil
	}
	if err := r.flush(nil); err != nil {
		return err
	}
	r.feed(now, batch)
	r.leaveFullDisk(now)
	for {
		ready := r.replica.Ready(r.Clock.Now())
		if ready.Empty() {
			break
		}
		if err := r.handle(ready, batch); err != nil {
			return err
		}
		if r.replica.HasUndelivered() {
			// The rest is applied at the next turn, after what has come from peers meanwhile.
			r.inbox.poke()
			break
		}
	}
	r.dropIfDeposed()
	r.publish()
	return r.maySnapshot()
}

func (r *Replicated) feed(now manager.Time, b *batch) {
	r.replica.Tick(now)
	for _, in := range b.inbound {
		for _, m := range in.messages {
			r.replica.Step(now, m)
		}
	}
	for _, c := range b.controls {
		c.run(now)
	}
	r.propose(b.proposals)
	for _, read := range b.reads {
		r.nextRead++
		if err := r.replica.ReadIndex(r.nextRead, read.urgency); err != nil {
			read.end(err)
			continue
		}
		r.reads[r.nextRead] = read
	}
}

func (r *Replicated) propose(list []*proposal) {
	if len(list) == 0 {
		return
	}
	if !r.log.HasFreeSpace() {
		endAll(list, manager.ErrUnavailable{Component: manager.ComponentDisk, Reason: "it is full, so that no change is taken"})
		return
	}
	data := make([][]byte, len(list))
	for i, p := range list {
		data[i] = p.data
	}
	first, term, err := r.replica.Propose(data...)
	if err != nil {
		endAll(list, err)
		return
	}
	for i, p := range list {
		p.term = term
		r.proposals[first+manager.Index(i)] = p
	}
}

// handle writes, sends and applies what the replica wants. On a full disk it holds back whatever
// promises that something was written, and tries again at the next turn.
func (r *Replicated) handle(ready replicator.Ready, b *batch) error {
	r.peers.send(ready.BeforeSync, nil)
	r.held = append(r.held, ready)
	if err := r.flush(b); err != nil {
		return err
	}
	return r.apply(ready)
}

// flush writes what is held back, in order, and sends the messages that waited for it.
func (r *Replicated) flush(b *batch) error {
	for len(r.held) > 0 {
		next := r.held[0]
		err := r.save(next)
		if errors.Is(err, journaler.ErrFull) {
			klog.V(2).InfoS("Disk is full: no change is taken", "Error", err.Error())
			return nil
		}
		if err != nil {
			return err
		}
		r.held = r.held[1:]
		r.peers.send(next.AfterSync, b)
		r.replica.Persisted(r.Clock.Now(), next)
	}
	return nil
}

func (r *Replicated) save(ready replicator.Ready) error {
	if ready.Snapshot != nil {
		if err := r.log.Install(*ready.Snapshot); err != nil {
			return fmt.Errorf("install snapshot: %w", err)
		}
		r.snapshot = ready.Snapshot.Meta
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	began := r.Clock.Now()
	if err := r.log.Save(ready.HardState, ready.Entries); err != nil {
		return fmt.Errorf("save entries: %w", err)
	}
	if took := r.Clock.Now().Sub(began); took > slowSync {
		klog.InfoS(manager.LogSlowSync, "Replica", r.Replica, "TookMs", took, "Entries", len(ready.Entries))
	}
	return nil
}

// end refuses everything that waits and whatever comes later.
func (r *Replicated) end(err error) {
	b := r.inbox.close(err)
	b.refuse(err)
	b.answerAll()
	for _, p := range r.proposals {
		p.end(manager.Result{}, manager.ErrOutcomeUnknown{Command: p.command})
	}
	for _, read := range r.reads {
		read.end(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.leads, r.view.failure = false, err
}

// Close stops the driver and closes the log.
func (r *Replicated) Close() error {
	close(r.stop)
	<-r.done
	r.peers.close()
	return r.log.Close()
}

// StepDown hands leadership to another replica before a planned stop, or returns when ctx ends.
func (r *Replicated) StepDown(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for ctx.Err() == nil {
		r.mu.Lock()
		leads, voters := r.view.leads, len(r.view.status.Members.List)
		r.mu.Unlock()
		if !leads || voters < 2 {
			return
		}
		r.inbox.control(func(now manager.Time) {
			if r.replica != nil {
				r.replica.TransferLeadership(now)
			}
		})
		time.Sleep(poll)
	}
}
