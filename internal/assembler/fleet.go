package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/coordinator"
	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
	"github.com/mulberryhaven/mulberryhaven/platform"
)

const (
	// memoryShare of the VM's memory is the runtime's limit; the rest is for sockets and stacks.
	memorySharePercent = 70
	// directSharePercent of the descriptors are for workers that report to the leader; the others are for
	// callers, other nodes and calls that those bring.
	directSharePercent = 25
	// minFreeDiskShare is the share of the disk below which no change is taken.
	minFreeDiskShare = 8
	// snapshotDiskShare is the share of the disk that the log may take between two snapshots. With the entries kept before a
	// snapshot (half as much) and a segment of 8 MiB, a disk of 128 MB has free space for two snapshots of 40 MB.
	snapshotDiskShare = 8
	// stateMemoryShare and stateDiskShare are the shares of the VM's memory and disk that the replicated state may take. While a
	// snapshot is read or written, its text and two states are in memory, and two snapshots and the log on disk.
	stateMemoryShare = 8
	stateDiskShare   = 4
	// heartbeatPeriod and electionTimeout are shorter than the replicator's own, as all replicas are in one
	// region; the time-out still holds several syncs of a slow disk.
	heartbeatPeriod = 150 * manager.Millisecond
	electionTimeout = 700 * manager.Millisecond
	// snapshotEvery bounds the entries that a restart applies again: some hundreds take half a core a quarter of a
	// second.
	snapshotEvery = 800
	// readyDelay lets the balancer notice that the node is not ready any more.
	readyDelay = 2300 * time.Millisecond
	// stopMargin is kept free at the end of the grace.
	stopMargin = 1200 * time.Millisecond
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = 500 * time.Millisecond
	// silentTimeout bounds how long sent bytes stay unacknowledged before a connection is given up.
	silentTimeout = 1500 * time.Millisecond
	// peerConnections bounds the idle connections to one node: the leader holds those of every other node.
	peerConnections = 4
	// peerIdle bounds the idle time of kept connections.
	peerIdle = 30 * time.Second
)

// FleetNode is the process of one entry VM of a platform.
type FleetNode struct {
	Clock manager.Clock
	Seed  uint64

	settings atomic.Pointer[configurer.FleetNode]
	node     *coordinator.Node
	leader   *coordinator.Leader
	store    *storer.Replicated
	finder   *finder.Finder
	servers  []*http.Server
	peers    *listener.Server
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	stopping atomic.Bool
	// Removed is closed when the group has removed this node's disk.
	Removed     chan struct{}
	removedOnce sync.Once
	// Failed receives an error when a part has ended without which the node is of no use; the process should then be
	// restarted.
	Failed chan error
}

// Start starts everything that the settings name.
func (f *FleetNode) Start(s configurer.FleetNode) error {
	f.settings.Store(&s)
	f.Removed, f.Failed = make(chan struct{}), make(chan error, 1)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if s.MemoryMegaBytes > 0 {
		debug.SetMemoryLimit(s.MemoryMegaBytes << 20 * memorySharePercent / 100)
	}
	client := peerClient(s.Listen)
	f.finder = &finder.Finder{
		Clock: f.Clock, Own: s.Peer(), HTTP: client,
		Seeds: func() []manager.Address { return f.settings.Load().SeedPeers() },
	}
	f.finder.Init()
	f.node = &coordinator.Node{Clock: f.Clock, Finder: f.finder, HTTP: client, Own: s.Peer(), Control: s.Control}
	f.finder.OnLeader = f.node.LeaderFound
	if s.DataFolder != "" {
		if err := f.startReplica(s, client); err != nil {
			return fmt.Errorf("start replica: %w", err)
		}
	}
	if err := f.listen(s); err != nil {
		return err
	}
	f.work.Go(func() { f.finder.Run(f.ctx) })
	klog.InfoS(manager.LogNodeStarted, "Peer", s.Peer(), "Replica", s.DataFolder != "", "Found", s.Found, "Seeds", s.Seeds)
	logUnusableSeeds(s)
	return nil
}

func (f *FleetNode) startReplica(s configurer.FleetNode, client *http.Client) error {
	if err := os.MkdirAll(s.DataFolder, 0o750); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	state := recorder.New()
	f.store = &storer.Replicated{
		Clock: f.Clock, Folder: s.DataFolder, HTTP: client, Seed: f.Seed, Machine: coordinator.Machine{State: state},
		MinFreeBytes:     uint64(s.DiskMegaBytes) << 20 / minFreeDiskShare,
		PartialBootstrap: true,
		SnapshotEvery:    snapshotEvery, SnapshotBytes: snapshotBytes(s.DiskMegaBytes),
		Options: replicator.Options{HeartbeatPeriod: heartbeatPeriod, ElectionTimeout: electionTimeout, OddVoters: true},
	}
	if s.Found {
		f.store.Replica, f.store.Initial = seedMembers(s)
	}
	if err := f.store.Open(); err != nil {
		return fmt.Errorf("open store: %w", err)
	}
	f.leader = &coordinator.Leader{
		Clock: f.Clock, Store: f.store, State: state,
		Options: dispatcher.Options{
			LeaseMs: workLease(s), StopMs: s.Work.StopMs, OrderGapMs: s.Work.DutyGapMs, Address: s.Control,
			MaxDirect: s.MaxDescriptors * directSharePercent / 100, RemoteFactor: s.Work.RemoteFactor,
			StateBytes: stateBytes(s.MemoryMegaBytes, s.DiskMegaBytes),
		},
		Wall:     func() manager.Time { return manager.Time(time.Now().UnixMilli()) },
		Platform: platform.Cloud{Address: s.PlatformAddress, Advisor: s.AdvisorAddress, Holder: s.Node, HTTP: client},
	}
	f.leader.Init()
	f.node.Leader = f.leader
	f.finder.Local = f.localView
	joiner := &coordinator.Joiner{
		Request: coordinator.JoinRequest{Address: s.Peer(), AvailabilityZone: s.AvailabilityZone, Founder: s.Found},
		Store:   f.store, Leader: f.leader, Finder: f.finder, HTTP: client, Founded: len(s.Seeds),
		Removed: func() { f.removedOnce.Do(func() { close(f.Removed) }) },
	}
	f.work.Go(func() { joiner.Run(f.ctx) })
	f.work.Go(func() {
		select {
		case <-f.ctx.Done():
		case <-f.store.Failed():
			f.fail(f.store.Ready())
		}
	})
	go f.leader.Run()
	return nil
}

// snapshotBytes returns the size of the log between two snapshots on a disk of the given size, or 0 for the default.
func snapshotBytes(diskMegaBytes int64) int64 {
	return min(diskMegaBytes<<20/snapshotDiskShare, storer.DefaultSnapshotBytes)
}

// stateBytes returns the limit of the replicated state on a VM of the given size. A size of 0 is not known.
func stateBytes(memoryMegaBytes, diskMegaBytes int64) int64 {
	limit := int64(dispatcher.DefaultStateBytes)
	if memoryMegaBytes > 0 {
		limit = min(limit, memoryMegaBytes<<20/stateMemoryShare)
	}
	if diskMegaBytes > 0 {
		limit = min(limit, diskMegaBytes<<20/stateDiskShare)
	}
	return limit
}

// fail reports the end of a part; the first report is enough.
func (f *FleetNode) fail(err error) {
	select {
	case f.Failed <- err:
	default:
	}
}

// seedMembers numbers the seeds in the order of their addresses; a node that is no seed joins later.
func seedMembers(s configurer.FleetNode) (manager.ReplicaID, []manager.ReplicaMember) {
	seeds := s.SeedPeers()
	slices.Sort(seeds)
	var own manager.ReplicaID
	var members []manager.ReplicaMember
	for i, a := range slices.Compact(seeds) {
		id := manager.ReplicaID(i + 1)
		members = append(members, manager.ReplicaMember{Replica: id, Address: a})
		if a == s.Peer() {
			own = id
		}
	}
	if own == 0 {
		return 0, nil
	}
	return own, members
}

// localView returns the view of the local replica; the leader is named only while one is known.
func (f *FleetNode) localView() (finder.View, bool) {
	s := f.store.Status()
	a, leads := f.store.Leader()
	if !leads && a == f.settings.Load().Peer() {
		a = ""
	}
	return finder.View{Term: s.Term, Leader: a, Members: s.Members.List}, s.Term > 0
}

// peerClient returns the client for other nodes and the platform: connections that go silent are given up.
func peerClient(from string) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: setUserTimeout}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: peerConnections, IdleConnTimeout: peerIdle,
	}}
}

// Ready returns why callers should go to another node, or nil.
func (f *FleetNode) Ready() error {
	if f.stopping.Load() {
		return manager.ErrUnavailable{Component: "node", Reason: "it is stopping"}
	}
	return f.node.Ready()
}

// Leads tells whether this node's replica leads the group.
func (f *FleetNode) Leads() bool { return f.leader != nil && f.leader.Serving() }

// Reload takes changed settings; only the seeds can change while the process runs.
func (f *FleetNode) Reload(s configurer.FleetNode) {
	old := f.settings.Swap(&s)
	if !slices.Equal(old.Seeds, s.Seeds) {
		klog.InfoS(manager.LogSeedsChanged, "Seeds", s.Seeds, "Before", old.Seeds)
		logUnusableSeeds(s)
	}
}

func logUnusableSeeds(s configurer.FleetNode) {
	for _, i := range s.UnusableSeeds() {
		klog.InfoS(manager.LogSeedNotUsed, "Seed", i, "Value", fmt.Sprintf("%.80q", s.Seeds[i]))
	}
}

// Stop hands leadership over, lets the balancer notice, ends what is in flight and stops.
func (f *FleetNode) Stop() error {
	s := f.settings.Load()
	end := time.Now().Add(s.Stop.GraceMs.Std() - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	f.stopping.Store(true)
	for _, h := range f.servers {
		h.SetKeepAlivesEnabled(false)
	}
	if f.leader != nil {
		f.leader.PrepareStop()
		f.store.StepDown(ctx)
	}
	select {
	case <-time.After(readyDelay):
	case <-ctx.Done():
	}
	var failures []error
	for _, h := range f.servers {
		failures = append(failures, h.Shutdown(ctx))
	}
	if f.store != nil {
		f.store.AwaitHandOver(ctx)
	}
	f.cancel()
	f.work.Wait()
	if f.leader != nil {
		f.leader.Close()
	}
	stop := make(chan struct{})
	close(stop)
	if err := f.peers.Stop(stop); err != nil {
		klog.V(2).InfoS("Peers' listener stopped", "Error", err.Error())
	}
	if f.store != nil {
		failures = append(failures, f.store.Close())
	}
	return errors.Join(failures...)
}

// Discard empties the data folder of a replica that the group has removed.
func (f *FleetNode) Discard() error {
	if err := storer.Discard(f.settings.Load().DataFolder); err != nil {
		return fmt.Errorf("discard data folder: %w", err)
	}
	klog.InfoS(manager.LogDataFolderCleared)
	return nil
}
