package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// bubbleClock follows the virtual time of a test.
type bubbleClock struct{}

func (bubbleClock) Now() manager.Time { return manager.Time(time.Now().UnixMilli()) }

// newLonelyNode returns a node that knows no leader.
func newLonelyNode() *Node {
	f := &finder.Finder{Clock: bubbleClock{}, Local: func() (finder.View, bool) { return finder.View{Term: 1}, true }}
	f.Init()
	return &Node{Clock: bubbleClock{}, Finder: f, Own: "127.0.0.1:1"}
}

// submit returns how long a call took and its error.
func submit(n *Node) (time.Duration, error) {
	const deadline = 2850 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	_, err := n.Call(ctx, manager.FleetCall{Kind: manager.CallSubmit})
	return time.Since(began), err
}

// A third of the nodes is cut off from every replica. Their callers would wait for their deadlines, while the other
// nodes still reach the leader.
func TestNodeThatIsCutOffRefusesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLonelyNode()
		n.servedAt.set(n.Clock.Now())
		time.Sleep(100 * time.Millisecond)
		took, err := submit(n)
		require.True(t, manager.IsErrUnavailable(err), "%v", err)
		require.LessOrEqual(t, took, (isolatedAge + isolatedPatience).Std(), "the first calls wait for an election")
		require.GreaterOrEqual(t, took, time.Second)
		took, err = submit(n)
		require.True(t, manager.IsErrUnavailable(err), "%v", err)
		require.LessOrEqual(t, took, isolatedPatience.Std())
	})
}

func TestCallsWaitForAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const election = 1200 * time.Millisecond
		n := newLonelyNode()
		n.servedAt.set(n.Clock.Now())
		go func() {
			time.Sleep(election)
			n.servedAt.set(n.Clock.Now())
			n.waiters.found("10.0.0.1:1")
		}()
		took, err := submit(n)
		require.True(t, manager.IsErrUnavailable(err), "%v", err)
		require.Greater(t, took, election, "the node was not taken for cut off")
	})
}

func TestFirstCallsWaitForALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, err := submit(newLonelyNode())
		require.True(t, manager.IsErrUnavailable(err), "%v", err)
		require.GreaterOrEqual(t, took, time.Second)
	})
}
