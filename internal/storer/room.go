package storer

import (
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// diskSpacePeriod is the interval between two checks of the free space on a leader's disk.
	diskSpacePeriod = 200 * manager.Millisecond
	// transferPause is the least time between two transfers, so that replicas whose disks are all full
	// don't keep passing the leadership around.
	transferPause = 5 * manager.Second
)

// diskSpaceWatch holds the times at which a leader next checks its disk and may next transfer leadership.
type diskSpaceWatch struct {
	checkAt    manager.Time
	transferAt manager.Time
}

// transferIfDiskFull transfers leadership to another replica while this one's disk is too full for changes: the
// others may have free space.
func (r *Replicated) transferIfDiskFull(now manager.Time) {
	if r.replica.Status().Role != replicator.RoleLeader || now < r.diskSpace.checkAt || now < r.diskSpace.transferAt {
		return
	}
	r.diskSpace.checkAt = now.Add(diskSpacePeriod)
	if r.log.HasFreeSpace() {
		return
	}
	r.diskSpace.transferAt = now.Add(transferPause)
	klog.InfoS(manager.LogTransferringLeadership, "Replica", r.Replica)
	r.replica.TransferLeadership(now)
}
