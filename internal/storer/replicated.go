package storer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// tickPeriod is the interval between two checks of the timers; it adds to every timeout.
	tickPeriod = 50 * time.Millisecond
	// slowSync is the sync time that is logged: a third of a peer's timeout for an answer, which takes
	// one or two syncs.
	slowSync = 200 * manager.Millisecond
	// MaxEntryBytes limits the size of a command or entry; a larger one would delay the commands behind it.
	MaxEntryBytes = 1 << 20
	// leastVoters is the number of voters that keep their votes if there is no learner.
	leastVoters = 3
	// maxQueued limits the calls that wait for the driver.
	maxQueued = 10_000
	// DefaultSnapshotEvery is the default number of applied entries between two snapshots; a larger
	// number makes restarts and the log longer.
	DefaultSnapshotEvery = 10_000
)

// Replicated is the Store that commits commands on a quorum of replicas.
type Replicated struct {
	Clock   manager.Clock
	Replica manager.ReplicaID
	// Initial holds the members with which the group is bootstrapped.
	Initial []manager.ReplicaMember
	// PartialBootstrap lets the group be bootstrapped without some of the initial members, which join later.
	PartialBootstrap bool
	Folder           string
	Disk             journaler.Disk
	Token            string
	Scheme           string
	HTTP             *http.Client
	Seed             uint64
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery int
	// SnapshotBytes is the size of the applied entries after which a snapshot is taken although there are fewer than
	// SnapshotEvery of them; 0 means DefaultSnapshotBytes.
	SnapshotBytes int64
	Options       replicator.Options
	// Machine is the state machine to which entries are applied; nil means the applier's state.
	Machine StateMachine
	// MinFreeBytes is the free disk space below which no change is accepted; 0 means the log's default.
	MinFreeBytes uint64

	// The following fields are used by the driver's goroutine only.
	identity     manager.ReplicaIdentity
	diskID       manager.DiskID
	log          *journaler.Log
	replica      *replicator.Replica
	bootstrapper *replicator.Bootstrapper
	proposals    map[manager.Index]*proposal
	reads        map[replicator.ReadID]*readCall
	nextRead     replicator.ReadID
	unsaved      []replicator.Ready
	snapshot     manager.SnapshotMeta
	// uncovered is the size of the entries applied since the snapshot.
	uncovered int64
	probeAt   manager.Time
	disk      diskWatch
	reporter  reporter
	peers     *peerSet

	inbox inbox
	stop  chan struct{}
	done  chan struct{}
	// failed is closed when the driver ends because of an error.
	failed chan struct{}

	mu      sync.Mutex
	state   *applier.State
	applied manager.Index
	changed chan struct{}
	view    view
}

// view is the replica's state as published to other goroutines.
type view struct {
	// at is the time at which the driver published the view.
	at        manager.Time
	status    replicator.Status
	isLeader  bool
	confirmed manager.Time
	hasGroup  bool
	diskLost  bool
	// diskFailure is why the disk takes no write at present, failure why the driver has ended.
	diskFailure error
	failure     error
}

var (
	_ Store = (*Replicated)(nil)
	_ Peer  = (*Replicated)(nil)
)

// Open reads the data folder and starts the driver.
func (r *Replicated) Open() error {
	r.state, r.changed = applier.New(), make(chan struct{})
	if r.Machine == nil {
		r.Machine = commandStateMachine{state: r.state}
	}
	r.proposals, r.reads = map[manager.Index]*proposal{}, map[replicator.ReadID]*readCall{}
	r.failed = make(chan struct{})
	r.stop, r.done, r.inbox.wake = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	if r.SnapshotEvery == 0 {
		r.SnapshotEvery = DefaultSnapshotEvery
	}
	if r.SnapshotBytes == 0 {
		r.SnapshotBytes = DefaultSnapshotBytes
	}
	if err := r.openIdentity(); err != nil {
		return err
	}
	if r.identity.Group == "" {
		if err := journaler.Clear(r.Folder); err != nil {
			return fmt.Errorf("clear folder: %w", err)
		}
	}
	r.diskID = r.identity.Disk
	r.log = &journaler.Log{Folder: r.Folder, Disk: r.Disk, MinFree: r.MinFreeBytes, SegmentBytes: segmentBytes(r.SnapshotBytes)}
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
	r.bootstrapper = &replicator.Bootstrapper{
		ID: r.Replica, Disk: r.identity.Disk, Initial: r.Initial, Partial: r.PartialBootstrap, StartedAt: r.Clock.Now(),
	}
	go r.run()
	return nil
}

func (r *Replicated) startReplica(stored replicator.PersistentState) {
	r.replica = &replicator.Replica{
		Group: r.identity.Group, ID: r.Replica, Disk: r.identity.Disk, Options: r.Options,
		Rand: rand.New(rand.NewPCG(r.Seed, uint64(r.Replica))),
	}
	r.replica.Start(r.Clock.Now(), stored)
	meter.ReplicaRunning().Set(1)
	klog.InfoS(manager.LogReplicaStarted, "Group", r.identity.Group, "Replica", r.Replica, "Term", stored.HardState.Term)
}

// run drives the replica; all input that arrived since the last cycle shares one sync.
func (r *Replicated) run() {
	defer close(r.done)
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			r.terminate(manager.ErrUnavailable{Component: "replica", Reason: "it is stopping"})
			return
		case <-t.C:
		case <-r.inbox.wake:
		}
		if err := r.runCycle(); err != nil {
			r.reportStopped(err)
			r.terminate(errors.Join(manager.ErrUnavailable{Component: "replica", Reason: "it stopped after an error"}, err))
			close(r.failed)
			return
		}
	}
}

// Failed is closed once the replica has ended because of an error that repeating can't mend.
func (r *Replicated) Failed() <-chan struct{} { return r.failed }

// runCycle passes the queued input to the replica and then saves, sends and applies its output.
func (r *Replicated) runCycle() error {
	batch := r.inbox.take()
	defer batch.answerAll()
	now := r.Clock.Now()
	if r.replica == nil && r.disk.waits(now) {
		batch.runControls(now)
	} else if r.replica == nil {
		if err := r.joinOrBootstrap(now, batch); errors.Is(err, journaler.ErrUnwritten) {
			r.disk.noteFailure(now, r.Replica, err)
		} else if err != nil {
			return err
		}
	}
	if r.replica == nil {
		batch.reject(manager.ErrUnavailable{Component: "replica", Reason: "it belongs to no group yet"})
		r.publish()
		return nil
	}
	if err := r.flush(nil); err != nil {
		return err
	}
	r.stepReplica(now, batch)
	r.probeUnheard(now)
	r.transferIfDiskFails(now)
	for {
		ready := r.replica.Ready(r.Clock.Now())
		if ready.Empty() {
			break
		}
		if err := r.handle(ready, batch); err != nil {
			return err
		}
		if r.replica.HasUndelivered() {
			// The remaining entries are applied in the next cycle, after the messages that peers have
			// sent in the meantime.
			r.inbox.notify()
			break
		}
	}
	r.dropIfNotLeader()
	r.publish()
	return r.compact()
}

func (r *Replicated) stepReplica(now manager.Time, b *batch) {
	r.replica.Tick(now)
	for _, in := range b.inbound {
		for _, m := range in.messages {
			r.replica.Step(now, m)
		}
	}
	b.runControls(now)
	r.propose(b.proposals)
	for _, read := range b.reads {
		r.nextRead++
		if err := r.replica.ReadIndex(r.nextRead, read.timing); err != nil {
			read.complete(err)
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
		completeAll(list, manager.ErrUnavailable{Component: manager.ComponentDisk, Reason: "it is full, so that no change is accepted"})
		return
	}
	data := make([][]byte, len(list))
	for i, p := range list {
		data[i] = p.data
	}
	first, term, err := r.replica.Propose(data...)
	if err != nil {
		completeAll(list, err)
		return
	}
	for i, p := range list {
		p.term = term
		r.proposals[first+manager.Index(i)] = p
	}
}

// handle saves, sends and applies one Ready of the replica. While the disk takes no write it holds back the
// messages that acknowledge one, and retries in the next cycle.
func (r *Replicated) handle(ready replicator.Ready, b *batch) error {
	// A single voter leads before its own vote is stored; nothing of that term may leave until then.
	if !r.hardStateUnsaved() {
		r.peers.send(ready.BeforeSync, nil)
	}
	// Messages that wait for an earlier write and need none themselves are dropped, as a network may do.
	if len(r.unsaved) == 0 || ready.MustSync() {
		r.unsaved = append(r.unsaved, ready)
	}
	if err := r.flush(b); err != nil {
		return err
	}
	return r.apply(ready)
}

func (r *Replicated) hardStateUnsaved() bool {
	return slices.ContainsFunc(r.unsaved, func(ready replicator.Ready) bool { return ready.HardState != nil })
}

// flush writes the unsaved output in order and sends the messages that depend on each write.
func (r *Replicated) flush(b *batch) error {
	for len(r.unsaved) > 0 && !r.disk.waits(r.Clock.Now()) {
		next := r.unsaved[0]
		err := r.save(next)
		if errors.Is(err, journaler.ErrUnwritten) {
			r.disk.noteFailure(r.Clock.Now(), r.Replica, err)
			return nil
		}
		if err != nil {
			return err
		}
		if next.MustSync() {
			r.disk.noteSuccess(r.Clock.Now(), r.Replica)
		}
		r.unsaved = r.unsaved[1:]
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

// terminate completes all pending calls with an error and rejects later ones.
func (r *Replicated) terminate(err error) {
	b := r.inbox.close(err)
	b.reject(err)
	b.answerAll()
	for _, p := range r.proposals {
		p.complete(manager.Result{}, manager.ErrOutcomeUnknown{Command: p.command})
	}
	for _, read := range r.reads {
		read.complete(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.isLeader, r.view.failure = false, err
}

// Close stops the driver and closes the log.
func (r *Replicated) Close() error {
	close(r.stop)
	<-r.done
	r.peers.close()
	return r.log.Close()
}
