package journaler_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// faultyDisk fails writes on demand; a write to a full disk leaves half of the data in the file.
type faultyDisk struct {
	journaler.RealDisk
	full bool
}

func (d *faultyDisk) Write(f *os.File, data []byte) error {
	if d.full {
		_ = d.RealDisk.Write(f, data[:len(data)/2])
		return syscall.ENOSPC
	}
	return d.RealDisk.Write(f, data)
}

func entry(i manager.Index, t manager.Term) manager.Entry {
	return manager.Entry{Index: i, Term: t, Kind: manager.EntryCommand, Data: json.RawMessage(`{"N":1}`)}
}

func open(t *testing.T, l *journaler.Log) replicator.PersistentState {
	t.Helper()
	stored, _, err := l.Open()
	require.NoError(t, err)
	return stored
}

func indexes(s replicator.PersistentState) []manager.Index {
	var list []manager.Index
	for _, e := range s.Entries {
		list = append(list, e.Index)
	}
	return list
}

func segments(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "segment-*"))
	require.NoError(t, err)
	return names
}

func TestLogKeepsLatestTailAndHardState(t *testing.T) {
	folder := t.TempDir()
	l := &journaler.Log{Folder: folder, SegmentBytes: 200}
	open(t, l)
	require.NoError(t, l.Save(&manager.HardState{Term: 1, Vote: 2}, []manager.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}))
	require.NoError(t, l.Save(&manager.HardState{Term: 2}, []manager.Entry{entry(2, 2)}))
	require.NoError(t, l.Close())
	stored := open(t, &journaler.Log{Folder: folder})
	require.Equal(t, manager.HardState{Term: 2}, stored.HardState)
	require.Equal(t, []manager.Index{1, 2}, indexes(stored))
	require.Equal(t, manager.Term(2), stored.Entries[1].Term)
}

func TestTornTailIsTruncatedAndEarlierDamageRejected(t *testing.T) {
	folder := t.TempDir()
	l := &journaler.Log{Folder: folder}
	open(t, l)
	for i := manager.Index(1); i <= 3; i++ {
		require.NoError(t, l.Save(nil, []manager.Entry{entry(i, 1)}))
	}
	require.NoError(t, l.Close())
	name := segments(t, folder)[0]
	whole, err := os.ReadFile(name)
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(name, whole[:len(whole)-5], 0o600))
	again := &journaler.Log{Folder: folder}
	require.Equal(t, []manager.Index{1, 2}, indexes(open(t, again)))
	require.NoError(t, again.Close())

	damaged := append([]byte(nil), whole...)
	damaged[len(whole)/2] ^= 1
	require.NoError(t, os.WriteFile(name, damaged, 0o600))
	_, _, err = (&journaler.Log{Folder: folder}).Open()
	require.ErrorIs(t, err, journaler.ErrDamaged)
	require.ErrorContains(t, err, name)
	require.ErrorContains(t, err, "offset")
}

func TestBatchCanBeRetriedAfterDiskWasFull(t *testing.T) {
	folder := t.TempDir()
	d := &faultyDisk{}
	l := &journaler.Log{Folder: folder, Disk: d}
	open(t, l)
	require.NoError(t, l.Save(nil, []manager.Entry{entry(1, 1)}))
	d.full = true
	require.ErrorIs(t, l.Save(nil, []manager.Entry{entry(2, 1)}), journaler.ErrFull)
	d.full = false
	require.NoError(t, l.Save(nil, []manager.Entry{entry(2, 1)}))
	require.NoError(t, l.Close())
	require.Equal(t, []manager.Index{1, 2}, indexes(open(t, &journaler.Log{Folder: folder})))
}

func TestSnapshotReplacesSegmentsAndConflictingLog(t *testing.T) {
	folder := t.TempDir()
	l := &journaler.Log{Folder: folder, SegmentBytes: 300}
	open(t, l)
	for i := manager.Index(1); i <= 20; i++ {
		require.NoError(t, l.Save(nil, []manager.Entry{entry(i, 1)}))
	}
	before := len(segments(t, folder))
	meta := manager.SnapshotMeta{Index: 15, Term: 1, Bytes: 4}
	require.NoError(t, l.SaveSnapshot(replicator.Snapshot{Meta: meta, Data: []byte("data")}, 10))
	require.Less(t, len(segments(t, folder)), before)
	meta = manager.SnapshotMeta{Index: 18, Term: 3, Bytes: 4}
	require.NoError(t, l.Install(replicator.Snapshot{Meta: meta, Data: []byte("more")}))
	require.NoError(t, l.Save(nil, []manager.Entry{entry(19, 3)}))
	require.NoError(t, l.Close())
	again := &journaler.Log{Folder: folder}
	stored, data, err := again.Open()
	require.NoError(t, err)
	require.Equal(t, "more", string(data))
	require.Equal(t, meta, stored.Snapshot)
	require.Equal(t, []manager.Index{19}, indexes(stored))
}

// FuzzReadFolder checks that no input makes the reader panic, and that the entries it accepts from a
// torn or damaged segment are a prefix of those that were written.
func FuzzReadFolder(f *testing.F) {
	folder := f.TempDir()
	l := &journaler.Log{Folder: folder}
	_, _, err := l.Open()
	require.NoError(f, err)
	for i := manager.Index(1); i <= 4; i++ {
		require.NoError(f, l.Save(nil, []manager.Entry{entry(i, 1)}))
	}
	require.NoError(f, l.Close())
	names, err := filepath.Glob(filepath.Join(folder, "segment-*"))
	require.NoError(f, err)
	whole, err := os.ReadFile(names[0])
	require.NoError(f, err)
	f.Add(uint16(10), byte(1), uint16(0))
	f.Add(uint16(100), byte(0x80), uint16(7))
	f.Add(uint16(len(whole)-1), byte(0), uint16(90))
	f.Fuzz(func(t *testing.T, at uint16, flip byte, cut uint16) {
		b := append([]byte(nil), whole[:len(whole)-int(cut)%len(whole)]...)
		b[int(at)%len(b)] ^= flip
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, filepath.Base(names[0])), b, 0o600))
		c, err := journaler.ReadFolder(dir)
		if err != nil {
			require.ErrorIs(t, err, journaler.ErrDamaged)
			return
		}
		for i, e := range c.Stored.Entries {
			require.Equal(t, entry(manager.Index(i+1), 1), e)
		}
	})
}

// recordingDisk records which files were synced.
type recordingDisk struct {
	journaler.RealDisk
	names map[string]bool
}

func (d *recordingDisk) Sync(f *os.File) error {
	d.names[f.Name()] = true
	return d.RealDisk.Sync(f)
}

// A process killed between a write and its sync leaves records that the next start reads but that a
// later power loss would erase, so Open must sync the newest segment.
func TestOpenSyncsUnsyncedRecords(t *testing.T) {
	folder := t.TempDir()
	first := &journaler.Log{Folder: folder, Disk: &faultyDisk{}}
	open(t, first)
	require.NoError(t, first.Save(nil, []manager.Entry{entry(1, 1)}))
	disk := &recordingDisk{names: map[string]bool{}}
	second := &journaler.Log{Folder: folder, Disk: disk}
	require.Equal(t, []manager.Index{1}, indexes(open(t, second)))
	require.True(t, disk.names[filepath.Join(folder, "segment-0000000000000001")])
	require.NoError(t, second.Close())
}
