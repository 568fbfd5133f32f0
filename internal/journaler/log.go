package journaler

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

var (
	// ErrUnwritten reports a failed disk operation: nothing of the call counts as stored, and the same call
	// may be repeated.
	ErrUnwritten = eris.New("the write is not stored")
	// ErrFull reports that the disk is full; it comes with ErrUnwritten.
	ErrFull = eris.New("the disk is full")
)

const (
	// DefaultSegmentBytes is the default size at which the log starts a new segment; only whole segments are
	// deleted.
	DefaultSegmentBytes = 8 << 20
	// snapshotFrameBytes is the size of a snapshot's frames; it must stay under maxFrameBytes.
	snapshotFrameBytes = 16 << 20
	// MinFreeBytes is the default free space below which no change is accepted, so that terms, votes and
	// a snapshot still fit on the disk.
	MinFreeBytes = 64 << 20
	// trimShare is the share of the least free space below which the log is not what fills the disk.
	trimShare = 8
)

// record is one batch in a segment; it is written and synced as a unit.
type record struct {
	HardState *manager.HardState `json:",omitempty"`
	// Reset discards all earlier entries, as a snapshot from the leader replaced the log.
	Reset bool `json:",omitempty"`
	// Last is the last index in the log or the snapshot when the segment was started.
	Last manager.Index `json:",omitempty"`
	// Entries replace all earlier entries from the first one's index on.
	Entries []manager.Entry `json:",omitempty"`
}

// Log stores a replica's hard state, log entries and snapshot in a folder.
type Log struct {
	Folder string
	// Disk is RealDisk unless a test replaces it.
	Disk Disk
	// SegmentBytes is the size at which a new segment starts; 0 means 8 MiB.
	SegmentBytes int64
	// MinFree is the free space below which no change is accepted; 0 means MinFreeBytes.
	MinFree uint64

	mu        sync.Mutex
	hardState manager.HardState
	// last is the last index in the log or the snapshot.
	last     manager.Index
	segments []segment
	file     *os.File
	// size is the number of synced bytes in the file.
	size int64
	// tornTail means that the file may hold bytes of a failed write after size.
	tornTail bool
	// unstarted is the number of a segment that could not be started and may still exist.
	unstarted uint64
}

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the highest entry index in the segment.
	last manager.Index
	// bytes is the size of a segment that is no longer written to.
	bytes int64
}

func (l *Log) disk() Disk {
	if l.Disk == nil {
		return RealDisk{}
	}
	return l.Disk
}

// Open reads the folder, truncates a torn last record and opens the log for appending. It returns the
// stored state and the snapshot's data.
func (l *Log) Open() (replicator.PersistentState, []byte, error) {
	if err := os.MkdirAll(l.Folder, folderMode); err != nil {
		return replicator.PersistentState{}, nil, fmt.Errorf("create data folder: %w", err)
	}
	c, err := ReadFolder(l.Folder)
	if err != nil {
		return c.Stored, nil, err
	}
	removeTemporaryFiles(l.disk(), l.Folder)
	l.tornTail, l.unstarted = false, 0
	l.hardState, l.last, l.segments = c.Stored.HardState, c.lastIndex(), c.segments
	if err := l.completeNewest(c); err != nil {
		return c.Stored, nil, err
	}
	if err := l.openSegment(c.nextSegment(), c.replaced); err != nil {
		return c.Stored, nil, err
	}
	return c.Stored, c.SnapshotData, nil
}

// completeNewest truncates a torn record in the newest segment and makes the last complete one durable. A
// process killed before the record's sync, or after a failed one, leaves a record that this start has read
// but that a power loss could still erase; it is written again, as a sync alone does not store what a
// failed sync has dropped.
func (l *Log) completeNewest(c Content) error {
	if len(c.segments) == 0 {
		return nil
	}
	f, err := os.OpenFile(segmentName(l.Folder, c.segments[len(c.segments)-1].number), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open newest segment: %w", err)
	}
	defer f.Close()
	if c.Torn != nil {
		if err := l.disk().Truncate(f, c.Torn.Offset); err != nil {
			return err
		}
	}
	if _, err := f.Seek(c.lastOffset, io.SeekStart); err != nil {
		return fmt.Errorf("seek to last record: %w", err)
	}
	if err := l.disk().Write(f, c.lastRecord); err != nil {
		return err
	}
	return l.disk().Sync(f)
}

// openSegment creates a new segment; its first record repeats the hard state, so that older segments
// can be deleted. With reset it discards the entries in older segments.
func (l *Log) openSegment(number uint64, reset bool) error {
	h := l.hardState
	data, err := encode(record{HardState: &h, Last: l.last, Reset: reset})
	if err != nil {
		return err
	}
	f, err := l.disk().Create(segmentName(l.Folder, number))
	if err != nil {
		return err
	}
	for _, step := range []func() error{
		func() error { return l.disk().Write(f, data) },
		func() error { return l.disk().Sync(f) },
		func() error { return l.disk().SyncFolder(l.Folder) },
	} {
		if err := step(); err != nil {
			l.unstarted = number
			return errors.Join(err, f.Close())
		}
	}
	if l.file != nil {
		l.file.Close()
		l.segments[len(l.segments)-1].bytes = l.size
	}
	l.file, l.size = f, int64(len(data))
	l.segments = append(l.segments, segment{number: number})
	return nil
}

func encode(r record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(data) > maxFrameBytes {
		return nil, manager.ErrInvalid{Field: "record", Reason: "is too large for the log"}
	}
	return appendFrame(nil, data), nil
}

// Save writes and syncs one batch.
func (l *Log) Save(h *manager.HardState, entries []manager.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.write(record{HardState: h, Entries: entries}); err != nil {
		return err
	}
	if h != nil {
		l.hardState = *h
	}
	if n := len(entries); n > 0 {
		l.last = entries[n-1].Index
		l.segments[len(l.segments)-1].last = max(l.segments[len(l.segments)-1].last, l.last)
	}
	l.rotate()
	return nil
}

func (l *Log) write(r record) error {
	if l.file == nil {
		return os.ErrClosed
	}
	data, err := encode(r)
	if err != nil {
		return err
	}
	if err := l.repair(); err != nil {
		return unwritten(err)
	}
	// After a failed sync the system may have dropped the data, so that it must be written again.
	l.tornTail = true
	if err := l.disk().Write(l.file, data); err != nil {
		return unwritten(err)
	}
	if err := l.disk().Sync(l.file); err != nil {
		return unwritten(err)
	}
	l.tornTail = false
	l.size += int64(len(data))
	return nil
}

// repair undoes what a failed operation may have left: it would be read as the newest segment, with a
// hard state that is old by then, or as damage.
func (l *Log) repair() error {
	if l.unstarted != 0 {
		if err := l.disk().Remove(segmentName(l.Folder, l.unstarted)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		if err := l.disk().SyncFolder(l.Folder); err != nil {
			return err
		}
		l.unstarted = 0
	}
	if l.tornTail {
		if err := l.disk().Truncate(l.file, l.size); err != nil {
			return err
		}
		l.tornTail = false
	}
	return nil
}

// rotate starts a new segment once the current one is large enough; after a failure, the next Save tries
// again.
func (l *Log) rotate() {
	limit := l.SegmentBytes
	if limit == 0 {
		limit = DefaultSegmentBytes
	}
	if l.size >= limit {
		_ = l.openSegment(l.segments[len(l.segments)-1].number+1, false)
	}
}

// SaveSnapshot stores a snapshot and deletes the oldest segments without entries after keepAfter.
func (l *Log) SaveSnapshot(s replicator.Snapshot, keepAfter manager.Index) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.saveSnapshot(s, keepAfter)
}

func (l *Log) saveSnapshot(s replicator.Snapshot, keepAfter manager.Index) error {
	if l.file == nil {
		return os.ErrClosed
	}
	meta, err := json.Marshal(s.Meta)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	data := appendFrame(nil, meta)
	for piece := range slices.Chunk(s.Data, snapshotFrameBytes) {
		data = appendFrame(data, piece)
	}
	if err := l.disk().Replace(filepath.Join(l.Folder, snapshotName), data); err != nil {
		return unwritten(err)
	}
	l.deleteSegments(keepAfter)
	return nil
}

// Install stores a snapshot from the leader and discards the log that it replaces.
func (l *Log) Install(s replicator.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.saveSnapshot(s, 0); err != nil {
		return err
	}
	if err := l.write(record{Reset: true}); err != nil {
		return err
	}
	l.last = s.Meta.Index
	return nil
}

// deleteSegments deletes the oldest segments that hold no entry after keepAfter. A failure only leaves
// segments that the snapshot covers; they are deleted with a later snapshot.
func (l *Log) deleteSegments(keepAfter manager.Index) {
	before := len(l.segments)
	for len(l.segments) > 1 && l.segments[0].last <= keepAfter {
		err := l.disk().Remove(segmentName(l.Folder, l.segments[0].number))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			break
		}
		l.segments = l.segments[1:]
	}
	if len(l.segments) < before {
		_ = l.disk().SyncFolder(l.Folder)
	}
}

// Trim deletes the segments without entries after keepAfter, which a stored snapshot has to cover. If that includes the
// segment that is written to, it starts a new one.
func (l *Log) Trim(keepAfter manager.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return
	}
	// The older segments go first, as the disk may have no space for a new one yet.
	l.deleteSegments(keepAfter)
	current := l.segments[len(l.segments)-1]
	if len(l.segments) > 1 || current.last == 0 || current.last > keepAfter || l.repair() != nil {
		return
	}
	if l.openSegment(current.number+1, false) == nil {
		l.deleteSegments(keepAfter)
	}
}

// Bytes returns the size of the log without the snapshot.
func (l *Log) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.size
	for _, s := range l.segments {
		total += s.bytes
	}
	return total
}

// HasFreeSpace reports whether the disk has enough free space to accept changes.
func (l *Log) HasFreeSpace() bool { return l.hasFree(0) }

// LacksSpace reports whether the disk has too little free space to accept changes beside a new snapshot of the given size,
// and the log is large enough to be a cause of it.
func (l *Log) LacksSpace(snapshot int64) bool {
	return uint64(l.Bytes()) >= l.minFree()/trimShare && !l.hasFree(uint64(snapshot))
}

func (l *Log) minFree() uint64 {
	if l.MinFree == 0 {
		return MinFreeBytes
	}
	return l.MinFree
}

func (l *Log) hasFree(more uint64) bool {
	free, err := l.disk().FreeBytes(l.Folder)
	return err == nil && free >= l.minFree()+more
}

// Close closes the log; later writes return os.ErrClosed.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
