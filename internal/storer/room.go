package storer

import (
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

const (
	// roomPeriod is the pause between two looks at the room on a leader's disk.
	roomPeriod = 200 * manager.Millisecond
	// handOverPause keeps replicas whose disks are all full from passing the leadership round.
	handOverPause = 5 * manager.Second
)

// roomWatch is when a leader looks at its disk, and may hand over, next.
type roomWatch struct {
	lookAt     manager.Time
	handOverAt manager.Time
}

// leaveFullDisk hands leadership to another replica while this one's disk takes no change: the others may have room.
func (r *Replicated) leaveFullDisk(now manager.Time) {
	if r.replica.Status().Role != replicator.RoleLeader || now < r.room.lookAt || now < r.room.handOverAt {
		return
	}
	r.room.lookAt = now.Add(roomPeriod)
	if r.log.HasFreeSpace() {
		return
	}
	r.room.handOverAt = now.Add(handOverPause)
	klog.InfoS(manager.LogLeaderLeavesFullDisk, "Replica", r.Replica)
	r.replica.TransferLeadership(now)
}
