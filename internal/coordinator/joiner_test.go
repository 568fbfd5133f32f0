package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// A node empties its disk once it is told that its replica was removed; the next leader may still count on a disk whose
// removal was not committed.
func TestDiskIsKeptUntilRemovalIsCommitted(t *testing.T) {
	s := replicator.Status{Members: manager.Members{LastReplica: 3}, MembersPending: true}
	q := JoinRequest{Address: "a", Disk: "d", Replica: 2}
	err := checkRemoved(s, q)
	require.True(t, manager.IsErrUnavailable(err))
	require.False(t, isRemoved(err))

	s.MembersPending = false
	require.True(t, isRemoved(checkRemoved(s, q)))
}
