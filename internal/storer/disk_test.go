package storer_test

import (
	"bytes"
	"context"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// failingDisk fails each sync of a file in the folder.
type failingDisk struct {
	journaler.RealDisk
	folder *atomic.Value
	// failed counts the syncs that failed.
	failed *atomic.Int64
}

func (d failingDisk) Sync(f *os.File) error {
	if folder, _ := d.folder.Load().(string); folder != "" && strings.HasPrefix(f.Name(), folder) {
		d.failed.Add(1)
		return &os.PathError{Op: "sync", Path: f.Name(), Err: syscall.EIO}
	}
	return d.RealDisk.Sync(f)
}

// holds reports whether the command is in the log on a replica's disk.
func (g *group) holds(i int, id string) bool {
	c, err := journaler.ReadFolder(g.path(i))
	require.NoError(g.t, err)
	return slices.ContainsFunc(c.Stored.Entries, func(e manager.Entry) bool { return bytes.Contains(e.Data, []byte(id)) })
}

// A replica whose disk failed a sync stayed out of its group for good, so that the loss of another one left no quorum.
func TestGroupSurvivesLossAfterFailedSync(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// offset is the failing replica's distance from the leader.
		offset int
	}{{"of the leader", 0}, {"of a follower", 1}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			disk := failingDisk{folder: &atomic.Value{}, failed: &atomic.Int64{}}
			g := newGroup(t, 3, func(g *group) { g.disk = disk })
			first, _ := g.leader()
			failing := (first + c.offset) % 3
			disk.folder.Store(g.path(failing))
			g.propose("while the disk fails", 0)
			require.Eventually(t, func() bool { return disk.failed.Load() > 0 }, wait, tick)
			disk.folder.Store("")

			g.stop((failing + 1) % 3)
			g.propose("after the loss", 1)
			require.Eventually(t, func() bool { return g.holds(failing, "after the loss") }, wait, tick)
		})
	}
}

// The answers to heartbeats waited for the disk too, so that a disk that fails for hours filled the memory.
func TestOutputDoesNotGrowWhileTheDiskFails(t *testing.T) {
	t.Parallel()
	disk := failingDisk{folder: &atomic.Value{}, failed: &atomic.Int64{}}
	g := newGroup(t, 3, func(g *group) { g.disk = disk })
	first, _ := g.leader()
	failing := (first + 1) % 3
	disk.folder.Store(g.path(failing))
	g.propose("while the disk fails", 0)
	const retries, limit = 25, 10
	require.Eventually(t, func() bool { return disk.failed.Load() > retries }, wait, tick)
	require.Less(t, g.store(failing).Unsaved(), limit)
	disk.folder.Store("")
	require.Eventually(t, func() bool { return g.holds(failing, "while the disk fails") }, wait, tick)
}

// With one of three replicas down, a leader whose disk failed gave its leadership away although no other could be
// elected without the vote that it could not store.
func TestLeaderWithAFailingDiskLeadsWhereNoOtherCan(t *testing.T) {
	t.Parallel()
	disk := failingDisk{folder: &atomic.Value{}, failed: &atomic.Int64{}}
	g := newGroup(t, 3, func(g *group) { g.disk = disk })
	first, s := g.leader()
	g.stop((first + 1) % 3)
	const electionTimeouts = 2
	time.Sleep(electionTimeouts * s.ElectionTimeout().Std())
	disk.folder.Store(g.path(first))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := s.Propose(ctx, change("while the disk fails", 0))
	require.Error(t, err)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return s.Read(ctx, func(manager.Applier) {}) == nil
	}, wait, tick)
	disk.folder.Store("")
	g.propose("after it", 1)
}
