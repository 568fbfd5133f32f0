package storer_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// writeMember makes a folder that of a member with a snapshot and several segments.
func writeMember(t *testing.T, folder string) {
	t.Helper()
	require.NoError(t, journaler.WriteIdentity(folder, manager.ReplicaIdentity{
		Format: replicator.IdentityFormat, Replica: 2, Disk: "old", Group: "g",
	}))
	l := &journaler.Log{Folder: folder, SegmentBytes: 1}
	_, _, err := l.Open()
	require.NoError(t, err)
	const last = 6
	for i := manager.Index(1); i <= last; i++ {
		require.NoError(t, l.Save(nil, []manager.Entry{{Index: i, Term: 1, Kind: manager.EntryCommand, Data: []byte("{}")}}))
	}
	meta := manager.SnapshotMeta{Index: last - 1, Term: 1, Bytes: 2}
	require.NoError(t, l.SaveSnapshot(replicator.Snapshot{Meta: meta, Data: []byte("{}")}, 3))
	require.NoError(t, l.Close())
}

// A loss of power while a removed replica's folder was emptied left a snapshot under a new identity, or a log without its
// snapshot: the new replica began with an old state, or its process could not start any more.
func TestHalfDiscardedFolderStartsEmpty(t *testing.T) {
	t.Parallel()
	whole := t.TempDir()
	writeMember(t, whole)
	files, err := filepath.Glob(filepath.Join(whole, "s*"))
	require.NoError(t, err)
	require.Greater(t, len(files), 2)
	for lost := range 1 << len(files) {
		folder := t.TempDir()
		writeMember(t, folder)
		require.NoError(t, storer.Discard(folder))
		for i, file := range files {
			if lost&(1<<i) == 0 {
				data, err := os.ReadFile(file)
				require.NoError(t, err)
				require.NoError(t, os.WriteFile(filepath.Join(folder, filepath.Base(file)), data, 0o600))
			}
		}
		m := &slowMachine{}
		s := &storer.Replicated{Clock: timekeeper.New(), Folder: folder, Machine: m}
		require.NoError(t, s.Open(), "%b", lost)
		require.NotEqual(t, manager.DiskID("old"), s.Probe().Disk)
		c, err := journaler.ReadFolder(folder)
		require.NoError(t, err)
		require.Zero(t, c.Stored.Snapshot.Index)
		require.Empty(t, c.Stored.Entries)
		require.NoError(t, s.Close())
	}
}
