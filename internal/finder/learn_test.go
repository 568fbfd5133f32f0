package finder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// serveAnswer answers each call with a view and counts the announcements.
func serveAnswer(t *testing.T, v finder.View) (manager.Address, *atomic.Int64) {
	t.Helper()
	var announced atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			announced.Add(1)
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(s.Close)
	return manager.Address(strings.TrimPrefix(s.URL, "http://")), &announced
}

// The seeds must not learn of a new leader one after the other.
func TestNewLeaderIsAnnouncedToAllSeedsAtOnce(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	var seeds []manager.Address
	var counts []*atomic.Int64
	for range 3 {
		a, n := serveAnswer(t, finder.View{})
		seeds, counts = append(seeds, a), append(counts, n)
	}
	f := newFinder(clock, seeds...)
	f.Local = func() (finder.View, bool) { return finder.View{Term: 1, Leader: f.Own}, true }
	f.Update(context.Background())
	for i, n := range counts {
		require.Equal(t, int64(1), n.Load(), "seed %d", i)
	}
}

// A seed that knows a newer leader than the node that tells it of the old one must be heard.
func TestAnnouncementBringsNewerLeaderBack(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	old, _ := serveAnswer(t, finder.View{Term: 1, Leader: "127.0.0.1:8"})
	seed, _ := serveAnswer(t, finder.View{Term: 2, Leader: "127.0.0.1:9"})
	f := newFinder(clock, seed)
	f.Learn(finder.View{Term: 1, Leader: old})
	f.Update(context.Background())
	require.Equal(t, manager.Address("127.0.0.1:9"), f.View().Leader)
}

// An old view must not replace one that was confirmed recently, whatever its term.
func TestViewThatNobodyConfirmsIsNotLearned(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	f := newFinder(clock)
	f.Learn(finder.View{Term: 1, Leader: "127.0.0.1:8"})
	f.Learn(finder.View{Term: 9, Leader: "127.0.0.1:9", AgeMs: 5 * manager.Second})
	require.Equal(t, manager.Address("127.0.0.1:8"), f.View().Leader)
}

// A search must not end at a node that has not heard from the leader for a while.
func TestSearchGoesOnPastOldView(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	first, _ := serveAnswer(t, finder.View{Term: 1, Leader: "127.0.0.1:8", AgeMs: 2 * manager.Second})
	second, _ := serveAnswer(t, finder.View{Term: 2, Leader: "127.0.0.1:9"})
	f := newFinder(clock, first, second)
	for range 2 {
		// The search begins with another seed each time.
		f.Update(context.Background())
		require.Equal(t, manager.Address("127.0.0.1:9"), f.View().Leader)
	}
}

// Hundreds of nodes without a replica must not announce as often as replicas do.
func TestNodesWithoutReplicaAnnounceLessOften(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	seed, n := serveAnswer(t, finder.View{Term: 1, Leader: "127.0.0.1:8"})
	f := newFinder(clock, seed)
	for range 30 {
		f.Update(context.Background())
		clock.Advance(700 * manager.Millisecond)
	}
	require.Equal(t, int64(10), n.Load())
}

// Calls wait for a leader; they must be told of each one that is found, and not at each answer of the same one, which would
// end their attempts.
func TestFoundLeadersAreReportedOnce(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	f := newFinder(clock)
	var found []manager.Address
	f.OnLeader = func(leader manager.Address) {
		require.Equal(t, leader, f.View().Leader, "the view is not in force yet")
		found = append(found, leader)
	}
	for range 3 {
		f.Learn(finder.View{Term: 1, Leader: "127.0.0.1:8"})
	}
	require.Len(t, found, 1)
	f.Learn(finder.View{Term: 2, Leader: "127.0.0.1:9"})
	f.Learn(finder.View{Term: 1, Leader: "127.0.0.1:8"})
	require.Equal(t, []manager.Address{"127.0.0.1:8", "127.0.0.1:9"}, found)
	clock.Advance(4 * manager.Second)
	require.Empty(t, f.View().Leader)
	f.Learn(finder.View{Term: 2, Leader: "127.0.0.1:9"})
	require.Len(t, found, 3, "the same leader after a time without one")
}
