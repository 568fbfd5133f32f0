package finder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// serveView serves the view of a node's finder and returns the server's address.
func serveView(t *testing.T, f *finder.Finder) manager.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.View())
	}))
	t.Cleanup(s.Close)
	return manager.Address(strings.TrimPrefix(s.URL, "http://"))
}

func newFinder(clock manager.Clock, seeds ...manager.Address) *finder.Finder {
	f := &finder.Finder{Clock: clock, HTTP: http.DefaultClient, Own: "127.0.0.1:1", Seeds: func() []manager.Address { return seeds }}
	f.Init()
	return f
}

// A leader that loses its followers but still reaches other nodes must not keep naming itself to them: another
// replica has become the leader by then.
func TestDeposedLeaderDoesNotNameItself(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	deposed, elected := newFinder(clock), newFinder(clock)
	deposed.Own = serveView(t, deposed)
	elected.Own = serveView(t, elected)
	leads := finder.View{Term: 2, Leader: deposed.Own}
	deposed.Local = func() (finder.View, bool) { return leads, true }
	elected.Local = func() (finder.View, bool) { return leads, true }

	require.Equal(t, deposed.Own, deposed.View().Leader)
	node := newFinder(clock, deposed.Own, elected.Own)
	node.Update(context.Background())
	require.Equal(t, deposed.Own, node.View().Leader)

	deposed.Local = func() (finder.View, bool) { return finder.View{Term: 2}, true }
	elected.Local = func() (finder.View, bool) { return finder.View{Term: 3, Leader: elected.Own}, true }
	require.Empty(t, deposed.View().Leader)
	node.Update(context.Background())
	require.Equal(t, elected.Own, node.View().Leader)
}

// A replica that hears from no leader queries the other nodes and uses the leader that they name.
func TestReplicaWithoutLeaderQueriesOthers(t *testing.T) {
	clock := &manager.ManualClock{At: 100_000}
	other := newFinder(clock)
	other.Own = serveView(t, other)
	other.Local = func() (finder.View, bool) { return finder.View{Term: 3, Leader: other.Own}, true }
	f := newFinder(clock, other.Own)
	f.Local = func() (finder.View, bool) { return finder.View{Term: 2}, true }
	f.Update(context.Background())
	require.Equal(t, other.Own, f.View().Leader)
}
