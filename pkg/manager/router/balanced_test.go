package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

// pool is ten upstreams in three zones; behave returns what becomes of a request at upstream i.
type pool struct {
	router manager.Router
	now    manager.Time
	got    [10]int
}

func newPool() *pool {
	return &pool{router: &router.Balanced{Source: rand.New(rand.NewPCG(1, 1)), AvailabilityZone: "z0"}}
}

func zone(i int) manager.AvailabilityZone { return manager.AvailabilityZone(fmt.Sprintf("z%d", i%3)) }

// send sends n requests, one each 10 ms, and counts what each upstream got.
func (p *pool) send(n int, behave func(i int) (manager.Duration, bool)) {
	p.got = [10]int{}
	var candidates []manager.Candidate
	for i := range 10 {
		candidates = append(candidates, manager.Candidate{Share: 8, Member: manager.Member{Announcement: manager.Announcement{
			Upstream: manager.UpstreamID(fmt.Sprint(i)), Service: "s", Slots: 8, AvailabilityZone: zone(i),
		}}})
	}
	for range n {
		p.now += 10
		id, ok := p.router.Pick(p.now, manager.Request{Service: "s", Idempotent: true}, candidates)
		if !ok {
			continue
		}
		var i int
		_, _ = fmt.Sscan(string(id), &i)
		p.got[i]++
		took, good := behave(i)
		state := manager.RunStateRan
		if !good {
			state = manager.RunStateUnknown
		}
		p.router.Observe(p.now, manager.Outcome{Service: "s", Upstream: id, RunState: state, DurationMs: took, Failed: !good})
	}
}

func good(int) (manager.Duration, bool) { return 50, true }

func (p *pool) sum(pick func(i int) bool) int {
	n := 0
	for i, got := range p.got {
		if pick(i) {
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
			p := newPool()
			p.send(300, good)
			p.send(3000, behave)
			require.LessOrEqual(t, p.got[4], 30, "an outlier gets more than a few probes in 30 s")
			p.send(6000, good)
			p.send(1000, good)
			require.GreaterOrEqual(t, p.got[4], 20, "a mended upstream is not back within 60 s")
		})
	}
}

func TestLostZoneIsEjectedButNeverMostOfThePool(t *testing.T) {
	p := newPool()
	p.send(300, good)
	inZone := func(i int) bool { return zone(i) == "z0" }
	p.send(1000, func(i int) (manager.Duration, bool) { return 1, !inZone(i) })
	p.send(1000, func(i int) (manager.Duration, bool) { return 1, !inZone(i) })
	require.LessOrEqual(t, p.sum(inZone), 100, "a lost zone still gets requests")
	require.Equal(t, 1000, p.sum(func(int) bool { return true }))
}

func TestSharedFailureEjectsNobody(t *testing.T) {
	p := newPool()
	p.send(300, good)
	p.send(2000, func(i int) (manager.Duration, bool) { return 1, i < 3 })
	p.send(1000, func(i int) (manager.Duration, bool) { return 1, i < 3 })
	require.Equal(t, 1000, p.sum(func(int) bool { return true }))
	require.LessOrEqual(t, p.sum(func(i int) bool { return i < 3 }), 700, "the rest gets the load of the failed ones")
}

func TestOwnZoneIsPreferredUntilItIsBusier(t *testing.T) {
	p := newPool()
	p.send(1000, good)
	own := p.sum(func(i int) bool { return zone(i) == "z0" })
	require.Greater(t, own, 500)
}

func TestCancelledCallersBlameNoUpstream(t *testing.T) {
	p := newPool()
	p.send(300, good)
	for i := range 10 {
		for range 20 {
			p.router.Observe(p.now, manager.Outcome{
				Service: "s", Upstream: manager.UpstreamID(fmt.Sprint(i)), RunState: manager.RunStateUnknown, Failed: true, Cancelled: true,
			})
		}
	}
	p.send(500, good)
	for i, n := range p.got {
		require.Positive(t, n, "upstream %d was ejected", i)
	}
}
