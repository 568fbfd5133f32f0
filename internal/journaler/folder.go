package journaler

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	snapshotName  = "snapshot"
	identityName  = "identity.json"
	segmentPrefix = "segment-"
)

// TornRecord is an incomplete last record; opening the log truncates it.
type TornRecord struct {
	File   string
	Offset int64
}

// Content is the decoded content of a data folder.
type Content struct {
	Stored       replicator.PersistentState
	SnapshotData []byte
	Torn         *TornRecord
	// Files is the number of segments, Bytes their total size.
	Files int
	Bytes int64

	segments []segment
	// lastRecord is the last complete record of the newest segment, at lastOffset.
	lastRecord []byte
	lastOffset int64
	// replaced means that the snapshot has replaced the log in the segments.
	replaced bool
}

func (c *Content) nextSegment() uint64 {
	if len(c.segments) == 0 {
		return 1
	}
	return c.segments[len(c.segments)-1].number + 1
}

func segmentName(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%016d", segmentPrefix, number))
}

// ReadFolder reads a data folder without changing it; an error for damaged content names the file and
// the offset.
func ReadFolder(folder string) (Content, error) {
	var c Content
	if err := c.readSnapshot(filepath.Join(folder, snapshotName)); err != nil {
		return c, err
	}
	numbers, err := listSegments(folder)
	if err != nil {
		return c, err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			if err := c.skipMissing(); err != nil {
				return c, fmt.Errorf("%s is missing: %w", segmentName(folder, numbers[i-1]+1), err)
			}
		}
		if err := c.readSegment(folder, number, i == len(numbers)-1); err != nil {
			return c, err
		}
	}
	return c, c.checkContinuity(folder)
}

// skipMissing drops the entries before a missing segment. A loss of power brings back any of the removed
// segments whose removal was not synced; the snapshot covers all of them, and the missing one may have
// replaced a part of these entries.
func (c *Content) skipMissing() error {
	if n := len(c.Stored.Entries); n > 0 && c.Stored.Entries[n-1].Index > c.Stored.Snapshot.Index {
		return ErrDamaged
	}
	c.Stored.Entries = nil
	return nil
}

// lastIndex returns the index of the last entry in the log or the snapshot.
func (c *Content) lastIndex() manager.Index {
	if n := len(c.Stored.Entries); n > 0 {
		return max(c.Stored.Entries[n-1].Index, c.Stored.Snapshot.Index)
	}
	return c.Stored.Snapshot.Index
}

func listSegments(folder string) ([]uint64, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var numbers []uint64
	for _, f := range files {
		name, ok := strings.CutPrefix(f.Name(), segmentPrefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("segment %q: %w", f.Name(), err)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (c *Content) readSnapshot(name string) error {
	b, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	meta, n, ok := readFrame(b)
	if !ok {
		return fmt.Errorf("%s: offset 0: %w", name, ErrDamaged)
	}
	for n < len(b) {
		data, size, ok := readFrame(b[n:])
		if !ok {
			return fmt.Errorf("%s: offset %d: %w", name, n, ErrDamaged)
		}
		c.SnapshotData = append(c.SnapshotData, data...)
		n += size
	}
	if err := json.Unmarshal(meta, &c.Stored.Snapshot); err != nil {
		return fmt.Errorf("%s: offset 0: %w", name, errors.Join(ErrDamaged, err))
	}
	if c.Stored.Snapshot.Bytes != int64(len(c.SnapshotData)) {
		return fmt.Errorf("%s: offset %d: the snapshot is truncated: %w", name, n, ErrDamaged)
	}
	return nil
}

func (c *Content) readSegment(folder string, number uint64, last bool) error {
	name := segmentName(folder, number)
	b, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	s := segment{number: number}
	start := 0
	end, err := readFrames(b, func(offset int, data []byte) error {
		start = offset
		return c.addRecord(&s, data)
	})
	switch {
	case errors.Is(err, ErrTorn) && last:
		c.Torn = &TornRecord{File: name, Offset: int64(end)}
	case errors.Is(err, ErrTorn):
		return fmt.Errorf("%s: %w", name, errors.Join(ErrDamaged, err))
	case err != nil:
		return fmt.Errorf("%s: %w", name, err)
	}
	s.bytes = int64(len(b))
	c.segments = append(c.segments, s)
	c.lastRecord, c.lastOffset = b[start:end], int64(start)
	c.Files++
	c.Bytes += int64(len(b))
	return nil
}

func (c *Content) addRecord(s *segment, data []byte) error {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode: %w", errors.Join(ErrDamaged, err))
	}
	if r.HardState != nil {
		c.Stored.HardState = *r.HardState
	}
	if r.Reset {
		c.Stored.Entries = nil
	}
	if last := c.lastIndex(); r.Last > last {
		return fmt.Errorf("entries %d to %d are missing: %w", last+1, r.Last, ErrDamaged)
	}
	if len(r.Entries) == 0 {
		return nil
	}
	s.last = max(s.last, r.Entries[len(r.Entries)-1].Index)
	c.Stored.Entries = replaceTail(c.Stored.Entries, r.Entries)
	return nil
}

// replaceTail drops the entries from the first new entry's index on and appends the new ones.
func replaceTail(list, add []manager.Entry) []manager.Entry {
	keep, _ := slices.BinarySearchFunc(list, add[0].Index, func(e manager.Entry, i manager.Index) int {
		return cmp.Compare(e.Index, i)
	})
	return append(list[:keep], add...)
}

// checkContinuity returns ErrDamaged if entries are missing between the snapshot and the log. It drops
// entries that a snapshot has replaced: those before a gap, a log that ends before the snapshot, and a
// log that conflicts with it.
func (c *Content) checkContinuity(folder string) error {
	s := c.Stored.Snapshot
	list := c.Stored.Entries
	for i := len(list) - 1; i > 0; i-- {
		if list[i].Index != list[i-1].Index+1 {
			list = list[i:]
			break
		}
	}
	if len(list) > 0 && (list[len(list)-1].Index < s.Index || conflicts(list, s)) {
		c.replaced, list = true, nil
	}
	if len(list) > 0 && list[0].Index > s.Index+1 {
		return fmt.Errorf("%s: entries %d to %d are missing: %w", folder, s.Index+1, list[0].Index-1, ErrDamaged)
	}
	c.Stored.Entries = list
	return nil
}

// conflicts reports whether the entry at the snapshot's index has another term, as the snapshot came
// from a leader whose log differs from this one.
func conflicts(list []manager.Entry, s manager.SnapshotMeta) bool {
	if list[0].Index > s.Index {
		return false
	}
	return list[s.Index-list[0].Index].Term != s.Term
}

// ReadIdentity returns the identity in a data folder, or false if there is none.
func ReadIdentity(folder string) (manager.ReplicaIdentity, bool, error) {
	var id manager.ReplicaIdentity
	name := filepath.Join(folder, identityName)
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, fmt.Errorf("read identity: %w", err)
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return id, false, fmt.Errorf("%s: %w", name, errors.Join(ErrDamaged, err))
	}
	return id, true, nil
}

// WriteIdentity stores the identity in a data folder, which it creates if needed.
func WriteIdentity(folder string, id manager.ReplicaIdentity) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	data, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	if err := (RealDisk{}).Replace(filepath.Join(folder, identityName), append(data, '\n')); err != nil {
		return unwritten(err)
	}
	return nil
}

// Clear durably removes the log and the snapshot from a data folder; the identity stays.
func Clear(folder string) error {
	for _, pattern := range []string{snapshotName, segmentPrefix + "*"} {
		names, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil {
			return fmt.Errorf("list data folder: %w", err)
		}
		for _, name := range names {
			if err := (RealDisk{}).Remove(name); err != nil {
				return unwritten(err)
			}
		}
	}
	if err := (RealDisk{}).SyncFolder(folder); err != nil {
		return unwritten(err)
	}
	return nil
}

// ReadSnapshot returns the latest snapshot.
func (l *Log) ReadSnapshot() (manager.SnapshotMeta, []byte, error) {
	var c Content
	if err := c.readSnapshot(filepath.Join(l.Folder, snapshotName)); err != nil {
		return manager.SnapshotMeta{}, nil, err
	}
	return c.Stored.Snapshot, c.SnapshotData, nil
}
