package coordinator_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/coordinator"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// pausingClock is the clock of a process that is paused for a minute after the next reading, once it is armed.
type pausingClock struct {
	manager.Clock
	armed  atomic.Bool
	paused atomic.Bool
}

func (c *pausingClock) Now() manager.Time {
	now := c.Clock.Now()
	if c.paused.Load() {
		return now.Add(manager.Minute)
	}
	if c.armed.Load() {
		c.paused.Store(true)
	}
	return now
}

// A leader that was paused while it answered may have been replaced: by then another version may be in force that has the key, so that
// the answer must not be 401.
func TestReplacedLeaderDoesNotRefuseKeys(t *testing.T) {
	state := recorder.New()
	clock := &pausingClock{Clock: timekeeper.New()}
	store := &storer.Replicated{
		Clock: clock.Clock, Replica: 1, Initial: []manager.ReplicaMember{{Replica: 1, Address: "127.0.0.1:1"}}, Folder: t.TempDir(),
		HTTP: &http.Client{}, Options: replicator.Options{HeartbeatPeriod: 100, ElectionTimeout: 600},
		Machine: coordinator.Machine{State: state},
	}
	require.NoError(t, store.Open())
	defer func() { require.NoError(t, store.Close()) }()
	l := &coordinator.Leader{Clock: clock, Store: store, State: state}
	l.Init()
	const patience = 20 * time.Second
	require.Eventually(t, l.Serving, patience, time.Millisecond)
	configuration := manager.FleetConfiguration{
		Version: 1, RequiresKeys: true, Queues: []manager.QueueSettings{{Queue: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 3000}},
		Pools: []manager.PoolSettings{{Pool: "p"}},
	}
	data, err := recorder.Encode(recorder.Changes{Configure: &configuration})
	require.NoError(t, err)
	require.NoError(t, store.ProposeEntry(context.Background(), data))
	call := manager.FleetCall{Kind: manager.CallState, Host: "h", Path: "/q/a", Key: manager.DigestKey("key")}
	require.Eventually(t, func() bool {
		_, err := l.Call(context.Background(), call)
		return manager.IsErrUnauthorized(err)
	}, patience, time.Millisecond)
	require.Eventually(t, l.Serving, patience, time.Millisecond)
	clock.armed.Store(true)
	_, err = l.Call(context.Background(), call)
	require.True(t, manager.IsErrNotLeader(err), "%v", err)
}
