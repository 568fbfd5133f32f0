package finder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Nodes that start together must not all announce to the same seed at the same moment.
func TestAnnouncementsAreSpreadOverSeeds(t *testing.T) {
	const nodes, seeds = 60, 3
	clock := &manager.ManualClock{At: 100_000}
	var counts [seeds]atomic.Int64
	var addresses []manager.Address
	for i := range seeds {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				counts[i].Add(1)
			}
			_ = json.NewEncoder(w).Encode(finder.View{})
		}))
		t.Cleanup(s.Close)
		addresses = append(addresses, manager.Address(strings.TrimPrefix(s.URL, "http://")))
	}
	for i := range nodes {
		f := newFinder(clock, addresses...)
		f.Own = manager.Address(fmt.Sprintf("10.1.0.%d:7060", i+10))
		f.Learn(finder.View{Term: 1, Leader: "127.0.0.1:1"})
		f.Update(context.Background())
	}
	for i := range counts {
		require.Less(t, counts[i].Load(), int64(nodes*2/3), "seed %d", i)
	}
}

// Calls that fail on a replica refresh its view many times a second; that must not send as many announcements.
func TestRefreshesDoNotMultiplyAnnouncements(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	var posts atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		posts.Add(1)
		_ = json.NewEncoder(w).Encode(finder.View{})
	}))
	t.Cleanup(s.Close)
	f := newFinder(clock, manager.Address(strings.TrimPrefix(s.URL, "http://")))
	f.Local = func() (finder.View, bool) { return finder.View{Term: 1, Leader: "127.0.0.1:2"}, true }
	for range 50 {
		f.Update(context.Background())
		clock.Advance(10)
	}
	require.LessOrEqual(t, posts.Load(), int64(2))
}

// A seed that hangs must not delay the search for the next leader.
func TestHungSeedDoesNotDelaySearch(t *testing.T) {
	clock := timekeeper.New()
	announced := make(chan struct{}, 10)
	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		announced <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(hung.Close)
	next := newFinder(clock)
	next.Own = serveView(t, next)
	next.Local = func() (finder.View, bool) { return finder.View{Term: 2, Leader: next.Own}, true }
	leader := newFinder(clock)
	leader.Own = serveView(t, leader)
	var term atomic.Int64
	leader.Local = func() (finder.View, bool) {
		v := finder.View{Term: 1, Leader: leader.Own, Members: []manager.ReplicaMember{{Address: next.Own}}}
		if term.Load() > 1 {
			v.Term, v.Leader = 2, next.Own
		}
		return v, true
	}
	f := newFinder(clock, manager.Address(strings.TrimPrefix(hung.URL, "http://")))
	f.Learn(finder.View{Term: 1, Leader: leader.Own})
	go f.Run(t.Context())
	<-announced
	term.Store(2)
	begin := time.Now()
	f.Refresh()
	require.Eventually(t, func() bool { return f.View().Leader == next.Own }, 3*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(begin), 250*time.Millisecond)
}
