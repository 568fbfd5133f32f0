package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// busyLeader answers calls one after the other and refuses them when too many wait, as the leader's inbox does.
type busyLeader struct {
	// perCall is the time that one call takes, and commit what passes from then to its answer.
	perCall, commit time.Duration

	mu      sync.Mutex
	began   time.Time
	free    time.Time
	waiting int

	arrivedSoon int
	mostWaiting int
	refused     int
}

// take returns how long a call takes, or false if it is refused.
func (l *busyLeader) take() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.began) < 100*time.Millisecond {
		l.arrivedSoon++
	}
	if l.waiting >= maxEvents {
		l.refused++
		return 0, false
	}
	l.waiting++
	l.mostWaiting = max(l.mostWaiting, l.waiting)
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.perCall)
	return l.free.Add(l.commit).Sub(now), true
}

func (l *busyLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	takes, ok := l.take()
	status, body := http.StatusOK, any(manager.FleetReply{Pending: 1})
	if ok {
		done := sleep(r.Context(), takes)
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
		if !done {
			return nil, r.Context().Err()
		}
	} else {
		status, body = translator.FromError(manager.ErrUnavailable{Component: "dispatcher", Reason: "too many calls wait"})
	}
	data, err := json.Marshal(body)
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data)), Request: r}, err
}

// firstMoments are the figures of a new leader to which many nodes bring the calls that waited for it.
type firstMoments struct {
	arrivedSoon, mostWaiting, refused, unanswered int
	// allAnswered is from the time at which all nodes know the leader until the last answer.
	allAnswered time.Duration
}

// meetNewLeader lets calls come to all nodes for a second in which there is no leader. All nodes know the next one at the same
// moment, which is the worst case.
func meetNewLeader(tb testing.TB, nodes, calls int) firstMoments {
	tb.Helper()
	l := &busyLeader{perCall: 50 * time.Microsecond, commit: 14 * time.Millisecond}
	var list []*Node
	for i := range nodes {
		f := &finder.Finder{Clock: bubbleClock{}, Own: manager.Address(fmt.Sprintf("10.1.%d.%d:1", i/250, i%250+1))}
		f.Init()
		n := &Node{Clock: bubbleClock{}, Finder: f, Own: f.Own, HTTP: &http.Client{Transport: l}}
		f.OnLeader = n.LeaderFound
		n.servedAt.set(n.Clock.Now())
		list = append(list, n)
	}
	var mu sync.Mutex
	unanswered := 0
	var work sync.WaitGroup
	for _, n := range list {
		for i := range calls {
			work.Go(func() {
				time.Sleep(time.Second * time.Duration(i) / time.Duration(calls))
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				if _, err := n.Call(ctx, manager.FleetCall{Kind: manager.CallPending}); err != nil {
					mu.Lock()
					unanswered++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	l.began = time.Now()
	for _, n := range list {
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
	}
	work.Wait()
	return firstMoments{l.arrivedSoon, l.mostWaiting, l.refused, unanswered, time.Since(l.began)}
}

// The calls that waited on all nodes must not come to a new leader in one wave: it refuses those that find its inbox full.
func TestWaitingCallsDoNotFloodANewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, calls = 300, 50
		m := meetNewLeader(t, nodes, calls)
		t.Logf("%+v", m)
		require.Zero(t, m.refused)
		require.Zero(t, m.unanswered)
		require.Less(t, m.mostWaiting, maxEvents)
		require.Less(t, m.allAnswered, 1500*time.Millisecond, "15,000 calls of 50 µs take 0.75 s")
	})
}

// A leader that lost its quorum for a while leads again; no finder reports it as found, and the calls that waited must not
// reach it in one wave either.
func TestWaitingCallsDoNotFloodALeaderThatIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &fakeLeader{version: 4, follows: true}
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": leader}, latency: 5 * time.Millisecond}
		n := g.node()
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		time.Sleep(limitTime)
		n.Finder.Learn(finder.View{Term: 1, Leader: "10.0.0.1:1"})
		// The view had expired; the limits of the leader that is found again must have ended.
		time.Sleep(limitTime / 2)
		n.waiters.mu.Lock()
		n.waiters.limitedUntil = time.Time{}
		n.waiters.mu.Unlock()
		n.servedAt.set(n.Clock.Now())
		var work sync.WaitGroup
		for range 200 {
			work.Go(func() { callPath(t.Context(), n, "") })
		}
		time.Sleep(time.Second)
		g.set(func() { leader.follows = false })
		work.Wait()
		require.Len(t, g.arrived, 200)
		require.LessOrEqual(t, g.most, mostTries)
	})
}

// The answers of a leader take long because its disk is slow. The limits of its first moments must end, or the line would
// grow for as long as callers send more than the limits let through.
func TestLineOfASlowLeaderDoesNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leaders: map[string]*fakeLeader{"10.0.0.1:1": {version: 4}}, latency: 400 * time.Millisecond}
		n := g.node()
		var work sync.WaitGroup
		for i := range 1000 {
			// 100 calls a second; the limits let 30 through.
			work.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				callPath(t.Context(), n, "")
			})
		}
		time.Sleep(time.Second)
		view := finder.View{Term: 1, Leader: "10.0.0.1:1"}
		n.Finder.Learn(view)
		for range 7 {
			time.Sleep(time.Second)
			n.Finder.Learn(view)
			// As the finder's own queries of the leader do.
			n.servedAt.set(n.Clock.Now())
		}
		n.waiters.mu.Lock()
		waiting := 0
		for _, c := range n.waiters.line {
			if !c.trying {
				waiting++
			}
		}
		n.waiters.mu.Unlock()
		work.Wait()
		require.Zero(t, waiting)
	})
}

// BenchmarkNewLeaderMeetsWaitingCalls measures the first moments of a leader in virtual time. It answers 20,000 calls a second.
func BenchmarkNewLeaderMeetsWaitingCalls(b *testing.B) {
	for _, calls := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("nodes=300/calls=%d", calls), func(b *testing.B) {
			var m firstMoments
			for b.Loop() {
				done := make(chan struct{})
				go func() {
					defer close(done)
					synctest.Test(&testing.T{}, func(*testing.T) { m = meetNewLeader(b, 300, calls) })
				}()
				<-done
			}
			b.ReportMetric(float64(m.arrivedSoon), "in-100ms")
			b.ReportMetric(float64(m.mostWaiting), "most-waiting")
			b.ReportMetric(float64(m.refused), "refused")
			b.ReportMetric(float64(m.unanswered), "unanswered")
			b.ReportMetric(m.allAnswered.Seconds()*1000, "all-answered-ms")
		})
	}
}
