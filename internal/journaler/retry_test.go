package journaler_test

import (
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var errDisk = eris.New("input/output error")

// refusingDisk refuses operations. A refused sync drops the unsynced bytes, as the kernel does, which takes their
// pages for clean: the process still reads them, but a later sync does not store them.
type refusingDisk struct {
	journaler.RealDisk
	// refuse returns the error of an operation.
	refuse   func(operation, name string) error
	done     []string
	unsynced []fileRange
	dropped  []fileRange
}

type fileRange struct {
	name     string
	from, to int64
}

func (d *refusingDisk) start(operation, name string) error {
	name = filepath.Base(name)
	if d.refuse != nil {
		if err := d.refuse(operation, name); err != nil {
			return err
		}
	}
	d.done = append(d.done, operation+" "+name)
	return nil
}

func (d *refusingDisk) Create(name string) (*os.File, error) {
	if err := d.start("create", name); err != nil {
		return nil, err
	}
	return d.RealDisk.Create(name)
}

func (d *refusingDisk) Write(f *os.File, data []byte) error {
	at, err := f.Seek(0, io.SeekCurrent)
	if err != nil {
		return err
	}
	refused := d.start("write", f.Name())
	if refused != nil {
		data = data[:len(data)/2]
	}
	d.forgetDropped(f, at, at+int64(len(data)))
	d.unsynced = append(d.unsynced, fileRange{f.Name(), at, at + int64(len(data))})
	if err := d.RealDisk.Write(f, data); err != nil {
		return err
	}
	return refused
}

func (d *refusingDisk) Sync(f *os.File) error {
	err := d.start("sync", f.Name())
	if err != nil {
		d.dropped = append(d.dropped, d.unsynced...)
	}
	d.unsynced = nil
	return err
}

func (d *refusingDisk) Truncate(f *os.File, size int64) error {
	if err := d.start("truncate", f.Name()); err != nil {
		return err
	}
	d.forgetDropped(f, size, math.MaxInt64)
	return d.RealDisk.Truncate(f, size)
}

// forgetDropped forgets the dropped bytes within a range that is written again or cut off.
func (d *refusingDisk) forgetDropped(f *os.File, from, to int64) {
	d.dropped = slices.DeleteFunc(d.dropped, func(r fileRange) bool {
		return r.name == f.Name() && r.from >= from && r.to <= to
	})
}

func (d *refusingDisk) Replace(name string, data []byte) error {
	if err := d.start("replace", name); err != nil {
		return err
	}
	return d.RealDisk.Replace(name, data)
}

func (d *refusingDisk) Remove(name string) error {
	if err := d.start("remove", name); err != nil {
		return err
	}
	return d.RealDisk.Remove(name)
}

func (d *refusingDisk) SyncFolder(folder string) error { return d.start("syncFolder", folder) }

// losePower zeroes the dropped bytes.
func (d *refusingDisk) losePower(t *testing.T) {
	t.Helper()
	for _, r := range d.dropped {
		f, err := os.OpenFile(r.name, os.O_RDWR, 0)
		require.NoError(t, err)
		_, err = f.WriteAt(make([]byte, r.to-r.from), r.from)
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
}

// refuseOnly returns a function that refuses one operation on one name.
func refuseOnly(operation, name string, err error) func(string, string) error {
	return func(o, n string) error {
		if o == operation && n == name {
			return err
		}
		return nil
	}
}

const firstSegment, secondSegment = "segment-0000000000000001", "segment-0000000000000002"

func TestUnsyncedBatchIsWrittenAgain(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		for _, repeated := range []bool{true, false} {
			folder := t.TempDir()
			d := &refusingDisk{}
			l := &journaler.Log{Folder: folder, Disk: d}
			open(t, l)
			require.NoError(t, l.Save(nil, []manager.Entry{entry(1, 1)}))
			d.refuse = refuseOnly(operation, firstSegment, errDisk)
			for range 3 {
				err := l.Save(nil, []manager.Entry{entry(2, 1)})
				require.ErrorIs(t, err, journaler.ErrUnwritten)
				require.ErrorIs(t, err, errDisk)
				require.NotErrorIs(t, err, journaler.ErrFull)
			}
			want := []manager.Index{1}
			if repeated {
				d.refuse = nil
				require.NoError(t, l.Save(nil, []manager.Entry{entry(2, 1)}))
				require.NoError(t, l.Save(nil, []manager.Entry{entry(3, 1)}))
				want = []manager.Index{1, 2, 3}
			}
			require.NoError(t, l.Close())
			d.losePower(t)
			require.Equal(t, want, indexes(open(t, &journaler.Log{Folder: folder})))
		}
	}
}

// A sync at the start would not store the bytes that a failed one has dropped.
func TestOpenWritesUnsyncedRecordsAgain(t *testing.T) {
	folder := t.TempDir()
	d := &refusingDisk{}
	killed := &journaler.Log{Folder: folder, Disk: d}
	open(t, killed)
	require.NoError(t, killed.Save(nil, []manager.Entry{entry(1, 1)}))
	d.refuse = refuseOnly("sync", firstSegment, errDisk)
	require.ErrorIs(t, killed.Save(nil, []manager.Entry{entry(2, 1)}), journaler.ErrUnwritten)
	require.NoError(t, killed.Close())
	d.refuse = nil
	second := &journaler.Log{Folder: folder, Disk: d}
	require.Equal(t, []manager.Index{1, 2}, indexes(open(t, second)))
	require.NoError(t, second.Close())
	d.losePower(t)
	require.Equal(t, []manager.Index{1, 2}, indexes(open(t, &journaler.Log{Folder: folder})))
}

func TestNothingIsWrittenBehindATornTail(t *testing.T) {
	folder := t.TempDir()
	d := &refusingDisk{refuse: refuseOnly("sync", firstSegment, syscall.EIO)}
	l := &journaler.Log{Folder: folder, Disk: d}
	require.Error(t, func() error { _, _, err := l.Open(); return err }())
	d.refuse = nil
	open(t, l)
	d.refuse = refuseOnly("sync", secondSegment, syscall.EIO)
	require.ErrorIs(t, l.Save(nil, []manager.Entry{entry(1, 1)}), journaler.ErrUnwritten)
	d.refuse = refuseOnly("truncate", secondSegment, syscall.EIO)
	d.done = nil
	require.ErrorIs(t, l.Save(nil, []manager.Entry{entry(1, 1)}), journaler.ErrUnwritten)
	require.Empty(t, d.done)
	d.refuse = nil
	require.NoError(t, l.Save(nil, []manager.Entry{entry(1, 1)}))
	require.Equal(t, []string{"truncate " + secondSegment, "write " + secondSegment, "sync " + secondSegment}, d.done)
}

func TestSegmentThatWasNotStartedIsRemovedBeforeTheNextWrite(t *testing.T) {
	for _, operation := range []string{"write " + secondSegment, "sync " + secondSegment, "syncFolder"} {
		folder := t.TempDir()
		d := &refusingDisk{}
		l := &journaler.Log{Folder: folder, Disk: d, SegmentBytes: 100}
		open(t, l)
		d.refuse = func(o, n string) error {
			if o+" "+n == operation || o == operation {
				return errDisk
			}
			return nil
		}
		require.NoError(t, l.Save(&manager.HardState{Term: 1}, []manager.Entry{entry(1, 1)}))
		for _, o := range []string{"remove", "syncFolder"} {
			d.done = nil
			d.refuse = func(operation, _ string) error {
				if operation == o {
					return errDisk
				}
				return nil
			}
			require.ErrorIs(t, l.Save(&manager.HardState{Term: 2}, nil), journaler.ErrUnwritten)
			require.NotContains(t, d.done, "write "+firstSegment)
		}
		d.refuse, d.done = nil, nil
		require.NoError(t, l.Save(&manager.HardState{Term: 2}, []manager.Entry{entry(2, 2)}))
		require.Equal(t, []string{"remove " + secondSegment, "syncFolder " + filepath.Base(folder), "write " + firstSegment}, d.done[:3])
		require.FileExists(t, filepath.Join(folder, secondSegment), "the rotation is tried again")
		require.NoError(t, l.Close())
		stored := open(t, &journaler.Log{Folder: folder})
		require.Equal(t, manager.HardState{Term: 2}, stored.HardState)
		require.Equal(t, []manager.Index{1, 2}, indexes(stored))
	}
}

func TestSnapshotCanBeStoredAgain(t *testing.T) {
	for _, at := range [][2]string{{"replace", "snapshot"}, {"write", firstSegment}, {"sync", firstSegment}} {
		folder := t.TempDir()
		d := &refusingDisk{}
		l := &journaler.Log{Folder: folder, Disk: d}
		open(t, l)
		require.NoError(t, l.Save(nil, []manager.Entry{entry(1, 1), entry(2, 1)}))
		d.refuse = refuseOnly(at[0], at[1], errDisk)
		if at[0] == "replace" {
			require.ErrorIs(t, l.SaveSnapshot(snapshotAt(1), 0), journaler.ErrUnwritten)
		}
		require.ErrorIs(t, l.Install(snapshotAt(9)), journaler.ErrUnwritten)
		d.refuse = nil
		require.NoError(t, l.Install(snapshotAt(9)))
		require.NoError(t, l.Save(nil, []manager.Entry{entry(10, 1)}))
		require.NoError(t, l.Close())
		d.losePower(t)
		stored := open(t, &journaler.Log{Folder: folder})
		require.Equal(t, manager.Index(9), stored.Snapshot.Index)
		require.Equal(t, []manager.Index{10}, indexes(stored))
	}
}

func TestFullDiskCountsAsUnwritten(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		d := &refusingDisk{}
		l := &journaler.Log{Folder: t.TempDir(), Disk: d}
		open(t, l)
		d.refuse = refuseOnly(operation, firstSegment, syscall.ENOSPC)
		err := l.Save(nil, []manager.Entry{entry(1, 1)})
		require.ErrorIs(t, err, journaler.ErrFull)
		require.ErrorIs(t, err, journaler.ErrUnwritten)
		d.refuse = nil
		require.NoError(t, l.Save(nil, []manager.Entry{entry(1, 1)}))
	}
}

func TestClosedLogRejectsWrites(t *testing.T) {
	d := &refusingDisk{}
	l := &journaler.Log{Folder: t.TempDir(), Disk: d}
	open(t, l)
	d.refuse = refuseOnly("sync", firstSegment, errDisk)
	require.ErrorIs(t, l.Save(nil, []manager.Entry{entry(1, 1)}), journaler.ErrUnwritten)
	require.NoError(t, l.Close())
	require.NoError(t, l.Close())
	for _, err := range []error{
		l.Save(nil, []manager.Entry{entry(1, 1)}), l.SaveSnapshot(snapshotAt(1), 0), l.Install(snapshotAt(1)),
	} {
		require.ErrorIs(t, err, os.ErrClosed)
		require.NotErrorIs(t, err, journaler.ErrUnwritten)
	}
}
