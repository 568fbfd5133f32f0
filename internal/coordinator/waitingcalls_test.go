package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// fakeGroup is a replica group as nodes reach it. Its answers to calls carry the configuration version as Pending.
type fakeGroup struct {
	mu      sync.Mutex
	leaders map[string]*fakeLeader
	// arrived are the paths of the calls that reached any of the leaders, in their order.
	arrived []string
	// latency is the time from a call's arrival to its answer.
	latency time.Duration
	// now and most are how many calls wait for an answer.
	now, most int
}

// fakeLeader is one replica of the group.
type fakeLeader struct {
	version int
	term    manager.Term
	// stopped says that it takes calls but does not answer.
	stopped bool
	// follows says that it knows that it is not the leader.
	follows bool
}

func (g *fakeGroup) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// RoundTrip answers a call as the leader at the request's address does.
func (g *fakeGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	var c manager.FleetCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		return nil, err
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	g.mu.Lock()
	l := g.leaders[r.URL.Host]
	if l == nil {
		g.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	at, latency := *l, g.latency
	if !at.stopped && !at.follows {
		g.arrived = append(g.arrived, c.Path)
		g.now++
		g.most = max(g.most, g.now)
		defer g.set(func() { g.now-- })
	}
	g.mu.Unlock()
	if at.stopped {
		latency = time.Hour
	}
	t := time.NewTimer(latency)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-t.C:
	}
	status, body := http.StatusOK, any(manager.FleetReply{Pending: at.version})
	if at.follows {
		status, body = translator.FromError(manager.ErrNotLeader{})
	}
	data, err := json.Marshal(body)
	header := http.Header{}
	writeTerm(header, at.term)
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(bytes.NewReader(data)), Request: r}, err
}

// node returns a node that reaches the group and has heard from a leader.
func (g *fakeGroup) node() *Node {
	f := &finder.Finder{Clock: bubbleClock{}, Own: "10.0.1.1:1", Seeds: func() []manager.Address { return nil }}
	f.Init()
	n := &Node{Clock: bubbleClock{}, Finder: f, Own: f.Own, HTTP: &http.Client{Transport: g}}
	f.OnLeader = n.LeaderFound
	n.servedAt.set(n.Clock.Now())
	return n
}

// callPath makes a call and returns the version that its answer shows, or 0 if it has none.
func callPath(ctx context.Context, n *Node, path string) int {
	ctx, cancel := context.WithTimeout(ctx, 2850*time.Millisecond)
	defer cancel()
	reply, err := n.Call(ctx, manager.FleetCall{Kind: manager.CallPending, Path: path})
	if err != nil {
		return 0
	}
	return reply.Pending
}

// Calls wait for a leader when the finder learns of one; a call that comes now must not be sent before them. Those that
// came at nearly the same time may be sent together.
func TestLaterCallDoesNotOvertakeCallsThatWaitForALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}, latency: 5 * time.Millisecond}
		n := g.node()
		var work sync.WaitGroup
		for _, path := range []string{"a", "b", "c", "d"} {
			work.Go(func() { callPath(t.Context(), n, path) })
			time.Sleep(maxOvertaking.Std() + 10*time.Millisecond)
		}
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		work.Go(func() { callPath(t.Context(), n, "later") })
		work.Wait()
		require.Equal(t, []string{"a", "b", "c", "d", "later"}, g.arrived)
	})
}

// The incident of docs/incidents/held-calls.md: a call has been sent to a leader that stands still. Once the node knows the
// next leader, a later call is answered there by configuration 4, and the first one must not be answered by a newer one.
func TestCallAtAStoppedLeaderIsAnsweredBeforeLaterCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped, next := &fakeLeader{version: 4, stopped: true}, &fakeLeader{version: 4}
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": stopped, "10.0.0.2:1": next}, latency: 11 * time.Millisecond}
		n := g.node()
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		var work sync.WaitGroup
		var first int
		work.Go(func() { first = callPath(t.Context(), n, "first") })
		time.Sleep(260 * time.Millisecond)
		n.Finder.Learn(finder.View{Term: 2, Leader: "10.0.0.2:1"})
		later := callPath(t.Context(), n, "later")
		g.set(func() { next.version = 8 })
		work.Wait()
		require.Equal(t, 4, later)
		require.LessOrEqual(t, first, later, "a call that was sent 260 ms earlier shows a newer configuration")
		require.Equal(t, []string{"first", "later"}, g.arrived)
	})
}

// A replica's own view changes without a message to the finder, so that the later call itself finds the next leader.
func TestLaterCallThatFindsTheLeaderDoesNotOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4, stopped: true}, "10.0.0.2:1": {version: 4}}}
		n := g.node()
		var view atomic.Pointer[finder.View]
		view.Store(&finder.View{Term: 1, Leader: "10.0.0.1:1"})
		n.Finder.Local = func() (finder.View, bool) { return *view.Load(), true }
		var work sync.WaitGroup
		work.Go(func() { callPath(t.Context(), n, "first") })
		time.Sleep(maxOvertaking.Std() + 10*time.Millisecond)
		view.Store(&finder.View{Term: 2, Leader: "10.0.0.2:1"})
		work.Go(func() { callPath(t.Context(), n, "later") })
		work.Wait()
		require.Equal(t, []string{"first", "later"}, g.arrived)
	})
}

// The first waiting call must go on when the finder has a leader, not when its own pause ends.
func TestWaitingCallGoesOnWhenALeaderIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}, latency: 5 * time.Millisecond}
		n := g.node()
		var work sync.WaitGroup
		for range 40 {
			work.Go(func() { callPath(t.Context(), n, "") })
		}
		// Just after a retry of the calls that wait.
		time.Sleep(2*retryPause + time.Millisecond)
		found := time.Now()
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		synctest.Wait()
		g.set(func() { require.Len(t, g.arrived, firstTries, "calls sent at once") })
		work.Wait()
		require.Len(t, g.arrived, 40)
		require.Less(t, time.Since(found), 60*time.Millisecond)
	})
}

// A worker drops an answer that comes too late, so a report must not wait in the line for longer than it is sent.
func TestReportInTheLineIsDroppedWhenItIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		n := g.node()
		go func() { callPath(t.Context(), n, "") }()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		_, err := n.Call(t.Context(), manager.FleetCall{Kind: manager.CallReport, Report: &manager.WorkerReport{}})
		require.Error(t, err)
		require.Equal(t, reportPatience.Std(), time.Since(began))
		time.Sleep(3 * time.Second)
	})
}

// A caller that has disconnected must not hold back the calls behind its own.
func TestCallWhoseCallerHasGoneLeavesTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}}
		n := g.node()
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { callPath(ctx, n, "gone") })
		time.Sleep(10 * time.Millisecond)
		work.Go(func() { callPath(t.Context(), n, "next") })
		time.Sleep(10 * time.Millisecond)
		cancel()
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		work.Wait()
		require.Equal(t, "next", g.arrived[len(g.arrived)-1])
		require.Empty(t, n.waiters.line)
		require.Empty(t, n.waiters.direct)
	})
}

// The leader holds reports until it has an order for them; they must not hold back callers meanwhile.
func TestHeldReportsDoNotHoldBackTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}, latency: 600 * time.Millisecond}
		n := g.node()
		for range 8 {
			go func() {
				n.Call(t.Context(), manager.FleetCall{Kind: manager.CallReport, Report: &manager.WorkerReport{}, Path: "report"})
			}()
		}
		time.Sleep(10 * time.Millisecond)
		go callPath(t.Context(), n, "caller")
		time.Sleep(10 * time.Millisecond)
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		time.Sleep(4*holdTime + time.Millisecond)
		g.set(func() { require.Contains(t, g.arrived, "caller") })
		time.Sleep(3 * time.Second)
	})
}

// Workers whose reports waited behind the callers of a new leader were not known to it, so that a pool's capacity came back late.
func TestReportsDoNotWaitBehindCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}, latency: 400 * time.Millisecond}
		n := g.node()
		for range 60 {
			go callPath(t.Context(), n, "caller")
		}
		time.Sleep(10 * time.Millisecond)
		for range 10 {
			go func() {
				n.Call(t.Context(), manager.FleetCall{Kind: manager.CallReport, Report: &manager.WorkerReport{}, Path: "report"})
			}()
		}
		time.Sleep(10 * time.Millisecond)
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		time.Sleep(50 * time.Millisecond)
		g.set(func() {
			reports := 0
			for _, path := range g.arrived {
				if path == "report" {
					reports++
				}
			}
			require.Equal(t, 10, reports)
		})
		time.Sleep(10 * time.Second)
	})
}
