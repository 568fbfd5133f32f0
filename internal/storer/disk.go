package storer

import (
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// diskSpacePeriod is the interval between two checks of the free space on a leader's disk.
	diskSpacePeriod = 200 * manager.Millisecond
	// transferPause is the least time between two transfers, so that replicas whose disks all fail
	// don't keep passing the leadership around.
	transferPause = 5 * manager.Second
	// writeRetryPause is the pause before a failed write is tried again.
	writeRetryPause = 100 * manager.Millisecond
	// snapshotRetryPause is the pause before a snapshot that was not stored is taken again.
	snapshotRetryPause = manager.Second
	// diskReportPeriod is the least time between two log lines about a disk that takes no write.
	diskReportPeriod = manager.Second
)

// diskWatch is what the driver knows of its disk.
type diskWatch struct {
	// spaceCheckAt and transferAt are the times at which a leader next checks the free space and may next
	// transfer leadership.
	spaceCheckAt manager.Time
	transferAt   manager.Time
	// failure is the error of the latest write, or nil; failingSince is when writes began to fail.
	failure      error
	failingSince manager.Time
	retryAt      manager.Time
	reportedAt   manager.Time
	snapshotAt   manager.Time
	// lowSpaceAt is the time at which the replica next checks whether the log has to free space.
	lowSpaceAt manager.Time
}

// noteFailure records that a write was not stored and is to be repeated.
func (d *diskWatch) noteFailure(now manager.Time, id manager.ReplicaID, err error) {
	if d.failure == nil {
		d.failingSince, d.reportedAt = now, 0
	}
	d.failure, d.retryAt = err, now.Add(writeRetryPause)
	meter.DiskWritesFailed().Inc()
	if d.reportedAt == 0 || now.Sub(d.reportedAt) >= diskReportPeriod {
		d.reportedAt = now
		klog.ErrorS(err, manager.LogWriteNotStored, "Cause", errorCause(err), "Replica", id, "ForMs", now.Sub(d.failingSince))
	}
}

// noteSuccess records that a write was stored.
func (d *diskWatch) noteSuccess(now manager.Time, id manager.ReplicaID) {
	if d.failure == nil {
		return
	}
	d.failure = nil
	klog.InfoS(manager.LogWritesStoredAgain, "Replica", id, "ForMs", now.Sub(d.failingSince))
}

// waits reports whether a failed write is not due to be tried again yet.
func (d *diskWatch) waits(now manager.Time) bool { return d.failure != nil && now < d.retryAt }

// transferIfDiskFails transfers leadership to another replica while this one's disk takes no write or is too full for
// changes: the others may be sound.
func (r *Replicated) transferIfDiskFails(now manager.Time) {
	if r.replica.Status().Role != replicator.RoleLeader || now < r.disk.transferAt {
		return
	}
	// A disk that takes no write can't store this replica's vote for the next leader either.
	if r.disk.failure != nil && !r.replica.OthersFormQuorum(now) {
		return
	}
	if r.disk.failure == nil {
		if now < r.disk.spaceCheckAt {
			return
		}
		r.disk.spaceCheckAt = now.Add(diskSpacePeriod)
		if r.log.HasFreeSpace() {
			return
		}
	}
	r.disk.transferAt = now.Add(transferPause)
	klog.InfoS(manager.LogTransferringLeadership, "Replica", r.Replica, "TakesWrites", r.disk.failure == nil)
	r.replica.TransferLeadership(now)
}
