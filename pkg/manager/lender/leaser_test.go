package lender_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/lender"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

// runningRequest is a request that occupies a slot of an upstream.
type runningRequest struct {
	address manager.Address
	until   manager.Time
}

// testGateway is one gateway of a cluster. Its clock is ahead of the simulated time by offset.
type testGateway struct {
	id        manager.GatewayID
	offset    manager.Duration
	start     manager.StartID
	leaser    *lender.Leaser
	table     *registrar.Table
	running   map[manager.RequestID]runningRequest
	down      bool
	partition int
}

func (g *testGateway) now(at manager.Time) manager.Time { return at.Add(g.offset) }

type delivery struct {
	at  manager.Time
	run func()
}

// cluster simulates gateways over a network that drops, delays and duplicates messages.
type cluster struct {
	t         *rapid.T
	at        manager.Time
	gateways  []*testGateway
	upstreams []manager.Announcement
	inTransit []delivery
	// orphans are requests of crashed gateways that upstreams process until they end.
	orphans []runningRequest
	// restarts are the times of the restarts.
	restarts []manager.Time
	lastID   int
	started  int
}

const (
	stepInterval = 10 * manager.Millisecond
	testDeadline = 1 * manager.Second
)

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{t: t}
	for i := range 3 {
		c.upstreams = append(c.upstreams, manager.Announcement{
			Upstream: manager.UpstreamID(fmt.Sprint("u", i)), Incarnation: 1, Service: "s", State: manager.UpstreamReady,
			Slots: manager.Slots(rapid.IntRange(1, 8).Draw(t, "slots")), Connections: 64,
			Address: manager.Address(fmt.Sprintf("10.0.0.%d:80", i)),
		})
	}
	for i := range n {
		c.gateways = append(c.gateways, &testGateway{
			id: manager.GatewayID(fmt.Sprint("g", i)), running: map[manager.RequestID]runningRequest{},
			offset: manager.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")),
		})
	}
	for _, g := range c.gateways {
		c.start(g)
	}
	return c
}

func (c *cluster) start(g *testGateway) {
	var all []manager.GatewayID
	for _, other := range c.gateways {
		all = append(all, other.id)
	}
	g.start++
	g.down = false
	g.table = &registrar.Table{}
	g.leaser = &lender.Leaser{Self: g.id, Gateways: all, Start: g.start, Registrar: g.table, Deadline: testDeadline}
}

// restart restarts a crashed gateway, unless so many gateways have lost their promises within one lease
// that a majority might contain no voter that still knows them.
func (c *cluster) restart(g *testGateway) {
	const lease = testDeadline + 4*manager.Second
	recent := 0
	for _, at := range c.restarts {
		if c.at.Sub(at) <= lease {
			recent++
		}
	}
	if recent < len(c.gateways)/2 {
		c.restarts = append(c.restarts, c.at)
		c.start(g)
	}
}

func (c *cluster) crash(g *testGateway) {
	g.down = true
	for _, r := range g.running {
		// A request that outlasts the lease counts until the lease ends, as if its connection were closed
		// then.
		r.until = min(r.until, c.at.Add(testDeadline+500))
		c.orphans = append(c.orphans, r)
	}
	g.running = map[manager.RequestID]runningRequest{}
}

func (c *cluster) find(id manager.GatewayID) *testGateway {
	for _, g := range c.gateways {
		if g.id == id {
			return g
		}
	}
	return nil
}

func (c *cluster) send(from *testGateway, e manager.SlotExchange) {
	to, sent, start := c.find(e.Peer), c.at, from.start
	failed := func() {
		if from.start == start && !from.down {
			from.leaser.Failed(from.now(c.at), e)
		}
	}
	fault := rapid.IntRange(0, 19).Draw(c.t, "network fault")
	if fault == 0 || to.partition != from.partition {
		c.inTransit = append(c.inTransit, delivery{sent.Add(manager.Second), failed})
		return
	}
	arrival := sent.Add(manager.Duration(rapid.IntRange(1, 30).Draw(c.t, "delay")))
	c.inTransit = append(c.inTransit, delivery{arrival, func() {
		if to.down {
			failed()
			return
		}
		a := to.leaser.Handle(to.now(c.at), e.Request)
		if fault == 1 {
			c.inTransit = append(c.inTransit, delivery{sent.Add(manager.Second), failed})
			return
		}
		answered := c.at.Add(manager.Duration(rapid.IntRange(1, 900).Draw(c.t, "answer delay")))
		c.inTransit = append(c.inTransit, delivery{answered, func() {
			if from.start == start && !from.down {
				from.leaser.Answered(from.now(c.at), from.now(sent), e, a)
			}
		}})
	}})
	if fault == 2 {
		repeated := arrival.Add(manager.Duration(rapid.IntRange(1, 20_000).Draw(c.t, "duplicate delay")))
		c.inTransit = append(c.inTransit, delivery{repeated, func() {
			if !to.down {
				to.leaser.Handle(to.now(c.at), e.Request)
			}
		}})
	}
}

func (c *cluster) deliver() {
	var later []delivery
	due := c.inTransit
	c.inTransit = nil
	for _, d := range due {
		if d.at <= c.at {
			d.run()
		} else {
			later = append(later, d)
		}
	}
	c.inTransit = append(c.inTransit, later...)
}

// step advances the time, ends and starts requests and checks the load of each upstream.
func (c *cluster) step(busy []bool) {
	c.at = c.at.Add(stepInterval)
	c.deliver()
	for i, g := range c.gateways {
		if g.down {
			continue
		}
		now := g.now(c.at)
		if c.at%500 == 0 {
			for _, a := range c.upstreams {
				a.Sequence = manager.Sequence(c.at)
				require.NoError(c.t, g.table.Announce(now, a))
			}
		}
		for _, e := range g.leaser.Outgoing(now) {
			c.send(g, e)
		}
		for _, id := range g.leaser.Revoked(now) {
			delete(g.running, id)
			g.leaser.Release(now, id)
		}
		c.endRequests(g)
		if busy[i] {
			c.startRequests(g)
		}
	}
	c.checkSlots()
}

func (c *cluster) endRequests(g *testGateway) {
	for id, r := range g.running {
		if r.until <= c.at {
			delete(g.running, id)
			g.leaser.Release(g.now(c.at), id)
		}
	}
}

// startRequests starts a request on every free slot. Some requests outlast any lease.
func (c *cluster) startRequests(g *testGateway) {
	now := g.now(c.at)
	duration := manager.Duration(rapid.SampledFrom([]int{100, 400, 1000, 1000, 8000}).Draw(c.t, "request duration"))
	for _, u := range g.table.Ready(now, "s") {
		for g.leaser.Available(now, u, now.Add(duration)) > 0 {
			c.lastID++
			id := manager.RequestID(fmt.Sprint(c.lastID))
			if !g.leaser.Acquire(now, id, u, now.Add(duration)) {
				c.t.Fatalf("Acquire failed although Available reported a free slot")
			}
			c.started++
			g.running[id] = runningRequest{u.Address, c.at.Add(duration)}
		}
	}
	g.leaser.SetDemand(now, manager.SlotDemand{Service: "s", Count: 5, Until: now.Add(duration), WaitMs: 300})
}

func (c *cluster) checkSlots() {
	used := map[manager.Address]int{}
	for _, r := range c.orphans {
		if r.until > c.at {
			used[r.address]++
		}
	}
	for _, g := range c.gateways {
		for _, r := range g.running {
			used[r.address]++
		}
	}
	for _, a := range c.upstreams {
		if used[a.Address] > int(a.Slots) {
			c.t.Fatalf("at %d upstream %s runs %d requests in %d slots", c.at, a.Upstream, used[a.Address], a.Slots)
		}
	}
}

func (c *cluster) injectFault() {
	g := c.gateways[rapid.IntRange(0, len(c.gateways)-1).Draw(c.t, "faulty gateway")]
	switch rapid.IntRange(0, 5).Draw(c.t, "cluster fault") {
	case 0:
		c.crash(g)
	case 1:
		c.crash(g)
		c.restart(g)
	case 2:
		g.partition = 1 - g.partition
	case 3:
		for _, other := range c.gateways {
			other.partition = 0
			if other.down {
				c.restart(other)
			}
		}
	default:
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "gateways")
		c := newCluster(t, n)
		for range rapid.IntRange(3, 12).Draw(t, "rounds") {
			c.injectFault()
			busy := make([]bool, n)
			for i := range busy {
				busy[i] = rapid.Bool().Draw(t, "busy")
			}
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				c.step(busy)
			}
		}
		total += c.started
	})
	require.Positive(t, total, "no leaser ever granted a slot")
}
