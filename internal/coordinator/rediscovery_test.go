package coordinator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// down is the address of a node that is down.
const down manager.Address = "127.0.0.1:1"

// A member that has lost its disk asks only its seeds; the leader must tell it where no other seed answers.
func TestSeedThatLostItsDiskFindsLeaderWhileOtherSeedsAreDown(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	wiped, leader, follower := d.add(t), d.add(t), d.add(t)
	d.seeds = []manager.Address{wiped.Own, down}
	view := finder.View{Term: 4, Leader: leader.Own, Members: []manager.ReplicaMember{
		{Replica: 1, Address: wiped.Own}, {Replica: 2, Address: leader.Own}, {Replica: 3, Address: follower.Own},
	}}
	for _, f := range []*finder.Finder{leader, follower} {
		f.Local = func() (finder.View, bool) { return view, true }
	}
	wiped.Local = func() (finder.View, bool) { return finder.View{}, false }
	d.run(t, 12)
	require.Equal(t, leader.Own, wiped.View().Leader)
}

// A member that has lost its disk and is no seed must be told the leader too, where all seeds are down.
func TestMemberThatLostItsDiskFindsLeaderWhileSeedsAreDown(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	wiped, leader, follower := d.add(t), d.add(t), d.add(t)
	d.seeds = []manager.Address{down}
	view := finder.View{Term: 4, Leader: leader.Own, Members: []manager.ReplicaMember{
		{Replica: 1, Address: wiped.Own}, {Replica: 2, Address: leader.Own}, {Replica: 3, Address: follower.Own},
	}}
	for _, f := range []*finder.Finder{leader, follower} {
		f.Local = func() (finder.View, bool) { return view, true }
	}
	wiped.Local = func() (finder.View, bool) { return finder.View{}, false }
	d.run(t, 12)
	require.Equal(t, leader.Own, wiped.View().Leader)
}

// A replica that was removed while it was down hears from no leader; it must ask the members that its log names.
func TestRemovedReplicaAsksMembersOfItsLogWhileSeedsAreDown(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}, seeds: []manager.Address{down}}
	removed, leader := d.add(t), d.add(t)
	members := []manager.ReplicaMember{{Replica: 2, Address: leader.Own}}
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own, Members: members}, true }
	removed.Local = func() (finder.View, bool) {
		return finder.View{Term: 3, Members: append([]manager.ReplicaMember{{Replica: 1, Address: removed.Own}}, members...)}, true
	}
	d.run(t, 3)
	require.Equal(t, leader.Own, removed.View().Leader)
}

// A node that restarts while all its seeds are down must be told the leader by a node that it asked before.
func TestRestartedNodeFindsLeaderWhileSeedsAreDown(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	leader := d.add(t)
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own}, true }
	d.seeds = []manager.Address{leader.Own}
	node := d.add(t)
	d.run(t, 6)
	require.Equal(t, leader.Own, node.View().Leader)

	d.seeds = []manager.Address{down}
	d.restart(node)
	d.run(t, 12)
	require.Equal(t, leader.Own, node.View().Leader)
}

// restart makes a node forget all that it has learned.
func (d *discovery) restart(f *finder.Finder) {
	//nolint:govet // No other goroutine uses the finder meanwhile.
	*f = finder.Finder{Clock: f.Clock, HTTP: f.HTTP, Own: f.Own, Seeds: f.Seeds, Local: f.Local}
	f.Init()
}

// One wrong view must not stop the search of the nodes that heard it, nor go round among them.
func TestWrongViewOfOneNodeIsForgotten(t *testing.T) {
	for name, wrong := range map[string]finder.View{
		"term":           {Term: 1 << 60, Leader: down},
		"address":        {Term: 5, Leader: "no address"},
		"future":         {Term: 1 << 60, Leader: down, AgeMs: -1 << 62},
		"without leader": {Term: 1 << 60},
	} {
		t.Run(name, func(t *testing.T) {
			d := &discovery{clock: &manager.ManualClock{At: 100_000}}
			one, two, leader := d.add(t), d.add(t), d.add(t)
			d.seeds = []manager.Address{one.Own, two.Own, leader.Own}
			leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own}, true }
			d.run(t, 3)
			require.Equal(t, leader.Own, one.View().Leader)

			data, err := json.Marshal(wrong)
			require.NoError(t, err)
			response, err := http.Post("http://"+string(one.Own)+finder.PathView, "application/json", bytes.NewReader(data))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			d.run(t, 24)
			require.Equal(t, leader.Own, one.View().Leader)
			require.Equal(t, leader.Own, two.View().Leader)
		})
	}
}

// Many nodes that restart at once while their seeds are down must all be told within the time to recover.
func TestManyRestartedNodesFindLeaderWhileSeedsAreDown(t *testing.T) {
	const nodes, timeToRecover = 60, 17 // updates, 12 s
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	leader := d.add(t)
	leader.Local = func() (finder.View, bool) { return finder.View{Term: 4, Leader: leader.Own}, true }
	d.seeds = []manager.Address{leader.Own}
	for range nodes {
		d.add(t)
	}
	d.run(t, 3)

	d.seeds = []manager.Address{down}
	for _, f := range d.nodes[1:] {
		d.restart(f)
	}
	d.run(t, timeToRecover)
	var without int
	for _, f := range d.nodes[1:] {
		if f.View().Leader == "" {
			without++
		}
	}
	require.Zero(t, without, "nodes without a leader")
}

// A leader that changes while a node is down must not lose the knowledge of that node.
func TestRestartedNodeIsToldLeaderThatChangedMeanwhile(t *testing.T) {
	d := &discovery{clock: &manager.ManualClock{At: 100_000}}
	first, second := d.add(t), d.add(t)
	members := []manager.ReplicaMember{{Replica: 1, Address: first.Own}, {Replica: 2, Address: second.Own}}
	leads := func(term manager.Term, leader *finder.Finder) {
		for _, f := range []*finder.Finder{first, second} {
			f.Local = func() (finder.View, bool) { return finder.View{Term: term, Leader: leader.Own, Members: members}, true }
		}
	}
	leads(4, first)
	d.seeds = []manager.Address{first.Own}
	node := d.add(t)
	d.run(t, 6)
	require.Equal(t, first.Own, node.View().Leader)

	d.seeds = []manager.Address{down}
	leads(5, second)
	d.restart(node)
	d.run(t, 17)
	require.Equal(t, second.Own, node.View().Leader)
}
