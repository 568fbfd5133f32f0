package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

// upstreamSet sends requests to ten upstreams in three zones.
type upstreamSet struct {
	router   manager.Router
	now      manager.Time
	received [10]int
}

func newUpstreamSet() *upstreamSet {
	return &upstreamSet{router: &router.Balanced{Source: rand.New(rand.NewPCG(1, 1)), AvailabilityZone: "z0"}}
}

func zone(i int) manager.AvailabilityZone { return manager.AvailabilityZone(fmt.Sprintf("z%d", i%3)) }

// send sends n requests, one every 10 ms, and counts the requests of each upstream. behave returns the
// duration and success of a request at upstream i.
func (set *upstreamSet) send(n int, behave func(i int) (manager.Duration, bool)) {
	set.received = [10]int{}
	var candidates []manager.Candidate
	for i := range 10 {
		candidates = append(candidates, manager.Candidate{Share: 8, Member: manager.Member{Announcement: manager.Announcement{
			Upstream: manager.UpstreamID(fmt.Sprint(i)), Service: "s", Slots: 8, AvailabilityZone: zone(i),
		}}})
	}
	for range n {
		set.now += 10
		id, ok := set.router.Pick(set.now, manager.Request{Service: "s", Idempotent: true}, candidates)
		if !ok {
			continue
		}
		var i int
		_, _ = fmt.Sscan(string(id), &i)
		set.received[i]++
		took, success := behave(i)
		state := manager.RunStateRan
		if !success {
			state = manager.RunStateUnknown
		}
		set.router.Observe(set.now, manager.Outcome{Service: "s", Upstream: id, RunState: state, DurationMs: took, Failed: !success})
	}
}

func good(int) (manager.Duration, bool) { return 50, true }

func (set *upstreamSet) sum(include func(i int) bool) int {
	n := 0
	for i, got := range set.received {
		if include(i) {
			n += got
		}
	}
	return n
}

func TestOutliersAreEjectedAndProbed(t *testing.T) {
	for name, behave := range map[string]func(int) (manager.Duration, bool){
		"fails at once": func(i int) (manager.Duration, bool) { return 1, i != 4 },
		"slow": func(i int) (manager.Duration, bool) {
			if i == 4 {
				return 500, true
			}
			return 50, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := newUpstreamSet()
			set.send(300, good)
			set.send(3000, behave)
			require.LessOrEqual(t, set.received[4], 30, "an outlier got more than a few probes in 30 s")
			set.send(6000, good)
			set.send(1000, good)
			require.GreaterOrEqual(t, set.received[4], 20, "a recovered upstream is not used again within 60 s")
		})
	}
}

func TestLostZoneIsEjectedButNeverMostOfThePool(t *testing.T) {
	set := newUpstreamSet()
	set.send(300, good)
	inZone := func(i int) bool { return zone(i) == "z0" }
	set.send(1000, func(i int) (manager.Duration, bool) { return 1, !inZone(i) })
	set.send(1000, func(i int) (manager.Duration, bool) { return 1, !inZone(i) })
	require.LessOrEqual(t, set.sum(inZone), 100, "an unavailable zone still got requests")
	require.Equal(t, 1000, set.sum(func(int) bool { return true }))
}

func TestSharedFailureEjectsNobody(t *testing.T) {
	set := newUpstreamSet()
	set.send(300, good)
	set.send(2000, func(i int) (manager.Duration, bool) { return 1, i < 3 })
	set.send(1000, func(i int) (manager.Duration, bool) { return 1, i < 3 })
	require.Equal(t, 1000, set.sum(func(int) bool { return true }))
	require.LessOrEqual(t, set.sum(func(i int) bool { return i < 3 }), 700, "the healthy upstreams got the load of the failed ones")
}

func TestOwnZoneIsPreferredUntilItIsBusier(t *testing.T) {
	set := newUpstreamSet()
	set.send(1000, good)
	own := set.sum(func(i int) bool { return zone(i) == "z0" })
	require.Greater(t, own, 500)
}

func TestCancelledCallersBlameNoUpstream(t *testing.T) {
	set := newUpstreamSet()
	set.send(300, good)
	for i := range 10 {
		for range 20 {
			set.router.Observe(set.now, manager.Outcome{
				Service: "s", Upstream: manager.UpstreamID(fmt.Sprint(i)), RunState: manager.RunStateUnknown, Failed: true, Cancelled: true,
			})
		}
	}
	set.send(500, good)
	for i, n := range set.received {
		require.Positive(t, n, "upstream %d was ejected", i)
	}
}
