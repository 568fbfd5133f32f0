package storer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// limitedDisk gives each replica's folder a disk of its own of a fixed size. It syncs nothing, and its tests run before those
// in parallel, as tens of MB would delay the syncs of groups that run beside them beyond their election timeout.
type limitedDisk struct {
	journaler.RealDisk
	capacity int64

	mu sync.Mutex
	// foreign is what other programs have stored, peak the most that the replicas have stored, both by folder.
	foreign, peak map[string]int64
	// snapshots is the number of snapshots that were stored.
	snapshots int
}

func newLimitedDisk(capacity int64) *limitedDisk {
	return &limitedDisk{capacity: capacity, foreign: map[string]int64{}, peak: map[string]int64{}}
}

// used returns what the folder takes. A file may be removed while the folder is read.
func used(folder string) int64 {
	files, _ := os.ReadDir(folder)
	total := int64(0)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

func (d *limitedDisk) take(folder string, size int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := used(folder) + int64(size)
	if after+d.foreign[folder] > d.capacity {
		return &os.PathError{Op: "write", Path: folder, Err: syscall.ENOSPC}
	}
	d.peak[folder] = max(d.peak[folder], after)
	return nil
}

func (d *limitedDisk) Write(f *os.File, data []byte) error {
	if err := d.take(filepath.Dir(f.Name()), len(data)); err != nil {
		return err
	}
	return d.RealDisk.Write(f, data)
}

func (*limitedDisk) Sync(*os.File) error { return nil }

// Replace needs space for the new file beside the old one.
func (d *limitedDisk) Replace(name string, data []byte) error {
	if err := d.take(filepath.Dir(name), len(data)); err != nil {
		return err
	}
	d.mu.Lock()
	d.snapshots++
	d.mu.Unlock()
	return d.RealDisk.Replace(name, data)
}

func (d *limitedDisk) FreeBytes(folder string) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(max(0, d.capacity-d.foreign[folder]-used(folder))), nil
}

// occupy sets what other programs store on the disk of a folder.
func (d *limitedDisk) occupy(folder string, size int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.foreign[folder] = size
}

// most returns the most that was stored in a folder.
func (d *limitedDisk) most(folder string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak[folder]
}

// lastEntry is a state machine whose state is the last entry, as a configuration replaces the one before it.
type lastEntry struct {
	mu   sync.Mutex
	data []byte
}

func (m *lastEntry) Apply(entry []byte) (manager.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = slices.Clone(entry)
	return manager.Result{}, nil
}

func (m *lastEntry) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.data), nil
}

func (m *lastEntry) Restore(data []byte) error {
	_, err := m.Apply(data)
	return err
}

const (
	diskBytes  = 12 << 20
	entryBytes = 64 << 10
)

// largeEntry returns an entry of about entryBytes.
func largeEntry(i int) []byte {
	data, _ := json.Marshal(string(bytes.Repeat([]byte{'a' + byte(i%26)}, entryBytes)))
	return data
}

// limits gives each replica a disk of diskBytes and the shares of it that a fleet node has.
func limits(disk *limitedDisk) func(*group) {
	return func(g *group) {
		g.disk, g.minFree, g.snapshotBytes = disk, diskBytes/8, diskBytes/8
		g.machine = func() storer.StateMachine { return &lastEntry{} }
	}
}

// proposeLarge commits large entries from first to before end at whichever replica leads.
func (g *group) proposeLarge(first, end int) {
	for i := first; i < end; i++ {
		require.Eventually(g.t, func() bool { return g.tryEntry(largeEntry(i)) }, wait, tick, "entry %d", i)
	}
}

func (g *group) tryEntry(data []byte) bool {
	for i := range g.members {
		s := g.store(i)
		if s == nil {
			continue
		}
		if _, leads := s.Leader(); !leads {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return s.ProposeEntry(ctx, data) == nil
	}
	return false
}

// The log was cut by its number of entries only: 140 changes of a large configuration filled a disk of 128 MB, and each
// replica refused every change from then on.
func TestLargeEntriesDoNotFillTheDisk(t *testing.T) {
	disk := newLimitedDisk(diskBytes)
	g := newGroup(t, 3, limits(disk))
	const changes = 200
	g.proposeLarge(0, changes)
	// The bytes between two snapshots, those kept before one and a segment are a quarter of the disk; two snapshots, and
	// entries that a change of leader writes again, come on top.
	const most = diskBytes / 2
	for i := range g.members {
		g.stop(i)
		require.Less(t, disk.most(g.path(i)), int64(most))
		c, err := journaler.ReadFolder(g.path(i))
		require.NoError(t, err)
		require.Less(t, c.Bytes, int64(most), "a start reads no more than that")
	}
}

// A log that an earlier version has written fills the disk; a snapshot has to free it.
func TestDiskFilledByTheLogIsFreed(t *testing.T) {
	disk := newLimitedDisk(1 << 40)
	g := newGroup(t, 3, limits(disk), func(g *group) { g.snapshotBytes = 1 << 40 })
	const changes = 172
	g.proposeLarge(0, changes)
	for i := range 3 {
		require.Eventually(t, func() bool { return g.store(i).Status().Commit > changes }, wait, tick)
	}
	for i := range 3 {
		g.stop(i)
	}
	disk.mu.Lock()
	disk.capacity = diskBytes
	disk.mu.Unlock()
	for i := range 3 {
		free, err := disk.FreeBytes(g.path(i))
		require.NoError(t, err)
		require.Less(t, free, g.minFree)
		g.start(i)
	}
	g.proposeLarge(changes, changes+5)
}

// Other programs fill the disks of all replicas for a moment, with less than a snapshot's worth of space left.
func TestChangesAreCommittedOnceThereIsSpaceAgain(t *testing.T) {
	disk := newLimitedDisk(diskBytes)
	g := newGroup(t, 3, limits(disk))
	const changes = 10
	g.proposeLarge(0, changes)
	occupy := func(share int64) {
		for i := range 3 {
			disk.occupy(g.path(i), diskBytes*share)
		}
	}
	occupy(1)
	require.False(t, g.tryEntry(largeEntry(changes)))
	time.Sleep(time.Second)
	occupy(0)
	g.proposeLarge(changes, changes+5)
}

// A follower that was away for longer than the log goes back needs the snapshot, while the leader takes new ones.
func TestLaggingFollowerGetsSnapshotOfLargeEntries(t *testing.T) {
	g := newGroup(t, 3, limits(newLimitedDisk(diskBytes)))
	g.proposeLarge(0, 1)
	at, _ := g.leader()
	away := (at + 1) % 3
	g.stop(away)
	const missed, changes = 60, 100
	g.proposeLarge(1, missed)
	g.start(away)
	g.proposeLarge(missed, changes)
	require.Eventually(t, func() bool {
		c, err := journaler.ReadFolder(g.path(away))
		return err == nil && c.Stored.Snapshot.Index > missed && g.store(away).Status().Commit > changes
	}, wait, tick)
}

// A snapshot costs processor time, so that the limit in bytes must take none where entries are small.
func TestSmallEntriesTakeNoSnapshotForTheirBytes(t *testing.T) {
	disk := newLimitedDisk(diskBytes)
	g := newGroup(t, 1, limits(disk), func(g *group) { g.snapshotBytes = 16 << 20 })
	_, s := g.leader()
	// A fleet node takes a snapshot each 800 entries in any case; 8 KiB is more than an ordinary one has.
	const entries, size = 800, 8 << 10
	data, err := json.Marshal(string(bytes.Repeat([]byte{'a'}, size)))
	require.NoError(t, err)
	for range entries {
		require.NoError(t, s.ProposeEntry(t.Context(), data))
	}
	g.stop(0)
	require.Zero(t, disk.snapshots)
}
