package storer

import (
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// DefaultSnapshotBytes is the default size of applied entries between two snapshots. A restart reads this much of
	// the log besides the snapshot; 10,000 entries of a few hundred bytes stay well below it.
	DefaultSnapshotBytes = 32 << 20
	// keptEntries is the number of entries before a snapshot that stay in the log, so that followers a
	// little behind need no snapshot. They take at most a keptShare of the bytes between two snapshots.
	keptEntries = 1_000
	keptShare   = 2
	// lowSpacePause is the least time between two snapshots that are taken to free disk space: a follower whose disk
	// something else fills receives entries all the same.
	lowSpacePause = 5 * manager.Second
)

// segmentBytes returns the size of a segment of the log: only whole segments are deleted, so that they are smaller than what
// is kept before a snapshot. With 16 MiB between two snapshots, or more, they have the default size.
func segmentBytes(snapshotBytes int64) int64 {
	return min(journaler.DefaultSegmentBytes, snapshotBytes/keptShare)
}

// storedBytes is about the size of an entry in the log on disk.
func storedBytes(e manager.Entry) int64 {
	const overhead = 64
	return int64(len(e.Data)) + overhead
}

// compact stores a snapshot when one is due and frees disk space when there is little left.
func (r *Replicated) compact() error {
	now := r.Clock.Now()
	if r.snapshotDue() && r.canSnapshot(now) {
		return r.takeSnapshot(now, keptEntries)
	}
	if now < r.disk.lowSpaceAt {
		return nil
	}
	r.disk.lowSpaceAt = now.Add(diskSpacePeriod)
	if !r.log.LacksSpace(r.snapshot.Bytes) {
		return nil
	}
	// What the latest snapshot covers needs no further write before it can go.
	r.log.Trim(r.snapshot.Index)
	// While a replica that has just started applies its log, a snapshot would free only a part of it.
	if r.uncovered == 0 || r.replica.HasUndelivered() || !r.canSnapshot(now) || !r.log.LacksSpace(r.snapshot.Bytes) {
		return nil
	}
	r.disk.lowSpaceAt = now.Add(lowSpacePause)
	klog.InfoS(manager.LogFreeingDiskSpace, "Replica", r.Replica, "LogBytes", r.log.Bytes(), "SnapshotBytes", r.snapshot.Bytes)
	return r.takeSnapshot(now, 0)
}

// snapshotDue reports whether enough entries, or enough bytes of them, were applied since the latest snapshot. A snapshot
// larger than SnapshotBytes is taken once the entries weigh as much as it does, so that writing snapshots costs no more
// than writing the log.
func (r *Replicated) snapshotDue() bool {
	return r.applied >= r.snapshot.Index+manager.Index(r.SnapshotEvery) || r.uncovered >= max(r.SnapshotBytes, r.snapshot.Bytes)
}

// canSnapshot reports whether the log on disk holds what was applied, which a snapshot must not run ahead of, and no failed
// snapshot is to be repeated later.
func (r *Replicated) canSnapshot(now manager.Time) bool {
	return len(r.unsaved) == 0 && now >= r.disk.snapshotAt
}

// takeSnapshot stores a snapshot of the state and deletes the log before it but for at most keep entries.
func (r *Replicated) takeSnapshot(now manager.Time, keep int) error {
	meta := r.replica.SnapshotMeta(r.applied)
	data, err := r.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	meta.Bytes = int64(len(data))
	keep = r.replica.CountBefore(meta.Index, keep, r.SnapshotBytes/keptShare)
	keepFrom := max(meta.Index, manager.Index(keep)) - manager.Index(keep)
	err = r.log.SaveSnapshot(replicator.Snapshot{Meta: meta, Data: data}, keepFrom)
	if errors.Is(err, journaler.ErrUnwritten) {
		r.disk.snapshotAt = now.Add(snapshotRetryPause)
		klog.ErrorS(err, manager.LogSnapshotNotStored, "Cause", errorCause(err), "Replica", r.Replica)
		return nil
	}
	if err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	r.snapshot, r.uncovered = meta, 0
	r.replica.Compact(meta, keep)
	if keep == 0 {
		r.log.Trim(meta.Index)
	}
	return nil
}
