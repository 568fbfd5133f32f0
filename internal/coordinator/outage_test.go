package coordinator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// newNodeOf returns a node whose finder names a leader that dial connects to.
func newNodeOf(dial func(ctx context.Context) (net.Conn, error)) *Node {
	view := finder.View{Term: 1, Leader: "10.0.0.1:1"}
	f := &finder.Finder{Clock: bubbleClock{}, Local: func() (finder.View, bool) { return view, true }}
	f.Init()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }}
	n := &Node{Clock: bubbleClock{}, Finder: f, Own: "10.0.0.2:1", HTTP: &http.Client{Transport: transport}}
	n.servedAt.set(n.Clock.Now())
	return n
}

// All replicas lose power: connections to the leader are never established. An answer that leaves open whether the call
// ran would make callers repeat it at once, until they have used up their tries.
func TestCallWithoutConnectionIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNodeOf(func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		_, err := submit(n)
		require.True(t, manager.IsErrUnavailable(err), "%v", err)
		refusal, _ := errors.AsType[manager.ErrUnavailable](err)
		require.GreaterOrEqual(t, refusal.RetryAfterMs, 1*manager.Second)
		n.HTTP.CloseIdleConnections()
	})
}

// A call that was written to a connection may have run, even if no answer comes.
func TestCallWithoutAnswerHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNodeOf(func(context.Context) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				for buffer := make([]byte, 1024); ; {
					if _, err := far.Read(buffer); err != nil {
						return
					}
				}
			}()
			return near, nil
		})
		_, err := submit(n)
		require.True(t, manager.IsErrOutcomeUnknown(err), "%v", err)
		n.HTTP.CloseIdleConnections()
	})
}

// The outage has lasted for a while: the pause grows with it, within the time that the caller has.
func TestPauseGrowsWithOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLonelyNode()
		_, _ = submit(n)
		time.Sleep(20 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := n.Call(ctx, manager.FleetCall{Kind: manager.CallSubmit, Path: "/queue/1"})
		refusal, ok := errors.AsType[manager.ErrUnavailable](err)
		require.True(t, ok, "%v", err)
		require.GreaterOrEqual(t, refusal.RetryAfterMs, 4*manager.Second)
		require.LessOrEqual(t, refusal.RetryAfterMs, 5*manager.Second)
	})
}

// The leader has lost power: a report that has waited for a connection is given up while its worker still waits, as the
// worker drops an answer that comes later than a second.
func TestOldReportIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int64
		n := newNodeOf(func(ctx context.Context) (net.Conn, error) {
			tries.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		began := time.Now()
		_, err := n.Call(context.Background(), manager.FleetCall{Kind: manager.CallReport, Report: &manager.WorkerReport{}})
		require.Error(t, err)
		require.Equal(t, int64(1), tries.Load())
		require.Less(t, time.Since(began), time.Second)
		n.HTTP.CloseIdleConnections()
	})
}
