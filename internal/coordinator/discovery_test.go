package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// discovery is a set of nodes that know each other only by their seeds.
type discovery struct {
	clock *manager.ManualClock
	seeds []manager.Address
	nodes []*finder.Finder
}

// add adds a node that serves its view to others. Its seeds are those of the set unless some are given.
func (d *discovery) add(t *testing.T, seeds ...manager.Address) *finder.Finder {
	t.Helper()
	e := listener.NewEcho()
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	f := &finder.Finder{
		Clock: d.clock, HTTP: &http.Client{Transport: &http.Transport{}}, Own: manager.Address(strings.TrimPrefix(s.URL, "http://")),
		Seeds: func() []manager.Address {
			if seeds != nil {
				return seeds
			}
			return d.seeds
		},
	}
	f.Init()
	(&Node{Clock: d.clock, Finder: f, Own: f.Own}).AddRoutes(e)
	d.nodes = append(d.nodes, f)
	return f
}

// run updates every node some times.
func (d *discovery) run(t *testing.T, updates int) {
	t.Helper()
	for range updates {
		for _, f := range d.nodes {
			f.Update(t.Context())
		}
		d.clock.Advance(700 * manager.Millisecond)
	}
}

// After a restart of all nodes those without a disk know only their seeds, which may have no disk either.
func TestLeaderIsFoundThroughSeedsWithoutReplica(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	var plain []*finder.Finder
	for range 4 {
		plain = append(plain, d.add(t))
	}
	leader, follower := d.add(t), d.add(t)
	d.seeds = []manager.Address{plain[0].Own, plain[1].Own}
	view := finder.View{Term: 4, Leader: leader.Own, Members: []manager.ReplicaMember{{Replica: 1, Address: leader.Own}, {Replica: 2, Address: follower.Own}}}
	for _, f := range []*finder.Finder{leader, follower} {
		f.Local = func() (finder.View, bool) { return view, true }
	}
	d.run(t, 6)
	for i, f := range plain {
		require.Equal(t, leader.Own, f.View().Leader, "node %d finds no leader", i)
	}

	// A seed that restarts later finds the leader again.
	restarted := d.add(t)
	d.seeds = []manager.Address{restarted.Own}
	d.run(t, 6)
	require.Equal(t, leader.Own, restarted.View().Leader)
}

// Seeds may differ between nodes, so that the seeds of some are asked by no replica.
func TestLeaderIsFoundThroughSeedsOfOtherNodes(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	far := d.add(t)
	near := d.add(t, far.Own)
	asking := d.add(t, far.Own)
	leader := d.add(t, near.Own)
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own}, true }
	d.run(t, 12)
	for i, f := range []*finder.Finder{near, far, asking} {
		require.Equal(t, leader.Own, f.View().Leader, "node %d finds no leader", i)
	}
}

// Nodes that have lost the leader must not go on naming it to each other.
func TestLostLeaderIsForgottenByNodesThatAskEachOther(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	one, two := d.add(t), d.add(t)
	leader := d.add(t)
	d.seeds = []manager.Address{one.Own, two.Own, leader.Own}
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own}, true }
	d.run(t, 6)
	require.Equal(t, leader.Own, one.View().Leader)
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4}, true }
	d.run(t, 12)
	require.Empty(t, one.View().Leader)
	require.Empty(t, two.View().Leader)
}
