package journaler_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// openWithEntries opens a log with a segment for each of the entries 1 to n.
func openWithEntries(t *testing.T, folder string, n manager.Index) *journaler.Log {
	t.Helper()
	l := &journaler.Log{Folder: folder, SegmentBytes: 100}
	open(t, l)
	for i := manager.Index(1); i <= n; i++ {
		require.NoError(t, l.Save(nil, []manager.Entry{entry(i, 1)}))
	}
	return l
}

func snapshotAt(i manager.Index) replicator.Snapshot {
	return replicator.Snapshot{Meta: manager.SnapshotMeta{Index: i, Term: 1, Bytes: 4}, Data: []byte("data")}
}

// Each of the removed segments may be back after a loss of power, independently of the others.
func TestStartAfterRemovedSegmentsCameBack(t *testing.T) {
	const removed = 4
	for back := range 1 << removed {
		folder := t.TempDir()
		l := openWithEntries(t, folder, 8)
		names := segments(t, folder)
		var content [removed][]byte
		for i := range content {
			var err error
			content[i], err = os.ReadFile(names[i])
			require.NoError(t, err)
		}
		require.NoError(t, l.SaveSnapshot(snapshotAt(6), removed))
		require.Equal(t, names[removed:], segments(t, folder))
		require.NoError(t, l.Close())
		for i, b := range content {
			if back&(1<<i) != 0 {
				require.NoError(t, os.WriteFile(names[i], b, 0o600))
			}
		}
		again := &journaler.Log{Folder: folder}
		got := indexes(open(t, again))
		require.Equal(t, []manager.Index{5, 6, 7, 8}, got[len(got)-4:])
		require.NoError(t, again.Close())
	}
}

// The missing segment had replaced entry 2, so that the older one must not be read in its place.
func TestEntriesBeforeAMissingSegmentAreDropped(t *testing.T) {
	folder := t.TempDir()
	l := openWithEntries(t, folder, 2)
	require.NoError(t, l.Save(nil, []manager.Entry{entry(2, 2)}))
	require.NoError(t, l.Save(nil, []manager.Entry{entry(3, 2)}))
	snapshot := snapshotAt(3)
	snapshot.Meta.Term = 2
	require.NoError(t, l.SaveSnapshot(snapshot, 0))
	require.NoError(t, l.Close())
	require.NoError(t, os.Remove(segments(t, folder)[2]))
	require.Equal(t, []manager.Index{3}, indexes(open(t, &journaler.Log{Folder: folder})))
}

func TestMissingSegmentWithNeededEntriesIsDamage(t *testing.T) {
	for _, s := range []struct {
		name     string
		snapshot manager.Index
		entries  manager.Index
		missing  int
	}{
		{"between needed ones", 2, 6, 3},
		{"before all needed ones", 0, 6, 0},
		{"with the last entry", 2, 6, 5},
		{"with the only needed entry", 5, 6, 5},
	} {
		t.Run(s.name, func(t *testing.T) {
			folder := t.TempDir()
			l := openWithEntries(t, folder, s.entries)
			require.NoError(t, l.SaveSnapshot(snapshotAt(s.snapshot), 0))
			require.NoError(t, l.Close())
			names := segments(t, folder)
			require.NoError(t, os.Remove(names[s.missing]))
			_, _, err := (&journaler.Log{Folder: folder}).Open()
			require.ErrorIs(t, err, journaler.ErrDamaged)
		})
	}
}

func TestSegmentThatCannotBeRemovedIsRemovedLater(t *testing.T) {
	folder := t.TempDir()
	l := openWithEntries(t, folder, 6)
	first := segments(t, folder)[0]
	content, err := os.ReadFile(first)
	require.NoError(t, err)
	// A folder that holds a file can't be removed.
	require.NoError(t, os.Remove(first))
	require.NoError(t, os.MkdirAll(filepath.Join(first, "file"), 0o700))
	require.NoError(t, l.SaveSnapshot(snapshotAt(4), 2))
	require.NoError(t, os.RemoveAll(first))
	require.NoError(t, os.WriteFile(first, content, 0o600))
	require.NoError(t, l.SaveSnapshot(snapshotAt(5), 2))
	require.NoFileExists(t, first)
	require.NoError(t, l.Close())
	got := indexes(open(t, &journaler.Log{Folder: folder}))
	require.Equal(t, []manager.Index{3, 4, 5, 6}, got)
}

// A process that is killed while it installs a snapshot starts with the snapshot and without the log that it replaced;
// that log must not count against the entries that follow.
func TestReplacedLogStaysReplacedAfterAKilledInstall(t *testing.T) {
	for _, s := range []struct {
		name     string
		snapshot manager.Index
	}{{"the log conflicts with the snapshot", 4}, {"the log ends before the snapshot", 9}} {
		t.Run(s.name, func(t *testing.T) {
			folder := t.TempDir()
			d := &refusingDisk{}
			killed := &journaler.Log{Folder: folder, Disk: d}
			open(t, killed)
			require.NoError(t, killed.Save(nil, []manager.Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1), entry(5, 1)}))
			d.refuse = refuseOnly("write", firstSegment, errDisk)
			snapshot := snapshotAt(s.snapshot)
			snapshot.Meta.Term = 2
			require.ErrorIs(t, killed.Install(snapshot), journaler.ErrUnwritten)
			require.NoError(t, killed.Close())

			second := &journaler.Log{Folder: folder}
			require.Empty(t, open(t, second).Entries)
			next := s.snapshot + 1
			require.NoError(t, second.Save(nil, []manager.Entry{entry(next, 2), entry(next+1, 2)}))
			require.NoError(t, second.Save(nil, []manager.Entry{entry(next+1, 3)}))
			require.NoError(t, second.Close())
			require.Equal(t, []manager.Index{next, next + 1}, indexes(open(t, &journaler.Log{Folder: folder})))
		})
	}
}

// A process that is killed while it replaces the snapshot left a temporary file of the snapshot's size at each time.
func TestStartRemovesWhatAKilledReplaceLeft(t *testing.T) {
	folder := t.TempDir()
	left := filepath.Join(folder, ".snapshot4711")
	require.NoError(t, os.WriteFile(left, []byte("half"), 0o600))
	l := &journaler.Log{Folder: folder}
	open(t, l)
	require.NoFileExists(t, left)
	require.NoError(t, l.Close())
}
