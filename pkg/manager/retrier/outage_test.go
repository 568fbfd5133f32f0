package retrier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
)

// All replicas are without power for 20 seconds and callers have five tries each. With a constant pause the tries are
// used up in the outage.
func TestTriesLastThroughLongOutage(t *testing.T) {
	const (
		outage = 20 * manager.Second
		tries  = 5
	)
	for i := range 200 {
		caller := fmt.Sprintf("/queue/%d", i)
		at := manager.Duration(i) * outage / 200
		first := at
		for range tries - 1 {
			if at < outage {
				at += retrier.OutagePause(at, manager.Minute, caller)
			}
		}
		if first >= 8*manager.Second {
			require.GreaterOrEqual(t, at, outage, "caller %d used up its tries", i)
		}
		require.Less(t, at-outage, maxReturn(outage), "caller %d returns too late", i)
	}
}

// maxReturn is the time after the end of an outage within which every caller has returned.
func maxReturn(outage manager.Duration) manager.Duration { return outage * 3 / 4 }

// Callers that were refused at the same moment must not return at the same moment.
func TestCallersReturnSpread(t *testing.T) {
	const buckets = 10
	counts := map[manager.Duration]int{}
	for i := range 1000 {
		pause := retrier.OutagePause(8*manager.Second, manager.Minute, fmt.Sprintf("/queue/%d", i))
		require.GreaterOrEqual(t, pause, 2*manager.Second)
		require.LessOrEqual(t, pause, 6*manager.Second)
		counts[(pause-2*manager.Second)*buckets/(4*manager.Second)]++
	}
	for b, n := range counts {
		require.Less(t, n, 200, "bucket %d", b)
	}
}

// A caller that has a second left is not sent away for longer than that.
func TestPauseLeavesTimeForAnotherTry(t *testing.T) {
	require.Equal(t, 1*manager.Second, retrier.OutagePause(20*manager.Second, 1500*manager.Millisecond, "a"))
	require.LessOrEqual(t, retrier.OutagePause(20*manager.Second, 4*manager.Second, "a"), 2*manager.Second)
	require.Equal(t, 1*manager.Second, retrier.OutagePause(0, manager.Minute, "a"))
}
