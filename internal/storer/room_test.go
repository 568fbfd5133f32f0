package storer_test

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const wait, tick = 20 * time.Second, 10 * time.Millisecond

// fullDisk reports no free space for the folders in full.
type fullDisk struct {
	journaler.RealDisk
	mu   *sync.Mutex
	full map[string]bool
}

func (d fullDisk) FreeBytes(folder string) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full[folder] {
		return 0, nil
	}
	return d.RealDisk.FreeBytes(folder)
}

func (d fullDisk) fill(folder string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full[folder] = full
}

// A leader whose disk is full rejects every change, so it must transfer leadership to a replica with free space.
func TestLeaderWithAFullDiskTransfersLeadership(t *testing.T) {
	t.Parallel()
	disk := fullDisk{mu: &sync.Mutex{}, full: map[string]bool{}}
	g := newGroup(t, 3, func(g *group) { g.disk = disk })
	first, s := g.leader()
	_, err := s.Propose(t.Context(), change("before", 0))
	require.NoError(t, err)

	disk.fill(g.path(first), true)
	require.Eventually(t, func() bool {
		var at int
		at, s = g.leader()
		return at != first
	}, wait, tick)
	require.Eventually(t, func() bool {
		_, err := s.Propose(t.Context(), change("after", 1))
		return err == nil
	}, wait, tick)
	require.NoError(t, s.Read(t.Context(), func(manager.Applier) {}), "reads still succeed")

	disk.fill(g.path(first), false)
	require.Eventually(t, func() bool {
		return g.store(first).Status().Commit >= s.Status().Commit
	}, wait, tick, "the replica catches up once its disk has free space")
}

// hangingDisk blocks each sync of a file in the folder until release is closed.
type hangingDisk struct {
	journaler.RealDisk
	folder  *atomic.Value
	release chan struct{}
}

func (d hangingDisk) Sync(f *os.File) error {
	if folder, _ := d.folder.Load().(string); folder != "" && strings.HasPrefix(f.Name(), folder) {
		<-d.release
	}
	return d.RealDisk.Sync(f)
}

// A leader whose disk hangs is replaced by an election, and must not keep naming itself as leader to other nodes.
func TestLeaderWithAHangingDiskIsNotNamed(t *testing.T) {
	t.Parallel()
	disk := hangingDisk{folder: &atomic.Value{}, release: make(chan struct{})}
	g := newGroup(t, 3, func(g *group) { g.disk = disk })
	first, s := g.leader()
	disk.folder.Store(g.path(first))
	defer close(disk.release)
	go func() { _, _ = s.Propose(t.Context(), change("hangs", 0)) }()
	require.Eventually(t, func() bool {
		a, leads := s.Leader()
		return !leads && a == ""
	}, wait, tick)
	at, next := g.leader()
	require.NotEqual(t, first, at)
	require.Eventually(t, func() bool {
		_, err := next.Propose(t.Context(), change("goes on", 0))
		return err == nil
	}, wait, tick)
}
