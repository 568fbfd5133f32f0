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

// hold is a request that occupies a slot of an upstream.
type hold struct {
	address manager.Address
	until   manager.Time
}

// member is one gateway of a group; its clock runs ahead of the others' by offset.
type member struct {
	id     manager.GatewayID
	offset manager.Duration
	start  manager.StartID
	keeper *lender.Keeper
	table  *registrar.Table
	live   map[manager.RequestID]hold
	down   bool
	island int
}

func (m *member) now(at manager.Time) manager.Time { return at.Add(m.offset) }

type delivery struct {
	at  manager.Time
	run func()
}

// group runs keepers over a network that loses, delays and repeats messages.
type group struct {
	t       *rapid.T
	at      manager.Time
	members []*member
	ups     []manager.Announcement
	mail    []delivery
	// orphans are requests of lost gateways; upstreams work on them until they end.
	orphans []hold
	// starts are the times of the latest restarts.
	starts  []manager.Time
	counter int
	taken   int
}

const (
	groupStep    = 10 * manager.Millisecond
	testDeadline = 1 * manager.Second
)

func newGroup(t *rapid.T, n int) *group {
	g := &group{t: t}
	for i := range 3 {
		g.ups = append(g.ups, manager.Announcement{
			Upstream: manager.UpstreamID(fmt.Sprint("u", i)), Incarnation: 1, Service: "s", State: manager.UpstreamReady,
			Slots: manager.Slots(rapid.IntRange(1, 8).Draw(t, "slots")), Connections: 64,
			Address: manager.Address(fmt.Sprintf("10.0.0.%d:80", i)),
		})
	}
	for i := range n {
		g.members = append(g.members, &member{
			id: manager.GatewayID(fmt.Sprint("g", i)), live: map[manager.RequestID]hold{},
			offset: manager.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")),
		})
	}
	for _, m := range g.members {
		g.start(m)
	}
	return g
}

func (g *group) start(m *member) {
	var all []manager.GatewayID
	for _, other := range g.members {
		all = append(all, other.id)
	}
	m.start++
	m.down = false
	m.table = &registrar.Table{}
	m.keeper = &lender.Keeper{Self: m.id, Gateways: all, Start: m.start, Registrar: m.table, Deadline: testDeadline}
}

// restart starts a lost gateway again, unless so many forgot their promises within one lease that no
// voter of a majority may be left that remembers.
func (g *group) restart(m *member) {
	const lease = testDeadline + 4*manager.Second
	recent := 0
	for _, at := range g.starts {
		if g.at.Sub(at) <= lease {
			recent++
		}
	}
	if recent < len(g.members)/2 {
		g.starts = append(g.starts, g.at)
		g.start(m)
	}
}

func (g *group) kill(m *member) {
	m.down = true
	for _, h := range m.live {
		// Longer requests than a lease covers end with it: their connections count as closed then.
		h.until = min(h.until, g.at.Add(testDeadline+500))
		g.orphans = append(g.orphans, h)
	}
	m.live = map[manager.RequestID]hold{}
}

func (g *group) find(id manager.GatewayID) *member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (g *group) send(from *member, e manager.SlotExchange) {
	to, sent, start := g.find(e.Peer), g.at, from.start
	failed := func() {
		if from.start == start && !from.down {
			from.keeper.Failed(from.now(g.at), e)
		}
	}
	fate := rapid.IntRange(0, 19).Draw(g.t, "fate")
	if fate == 0 || to.island != from.island {
		g.mail = append(g.mail, delivery{sent.Add(manager.Second), failed})
		return
	}
	there := sent.Add(manager.Duration(rapid.IntRange(1, 30).Draw(g.t, "delay")))
	g.mail = append(g.mail, delivery{there, func() {
		if to.down {
			failed()
			return
		}
		a := to.keeper.Handle(to.now(g.at), e.Request)
		if fate == 1 {
			g.mail = append(g.mail, delivery{sent.Add(manager.Second), failed})
			return
		}
		back := g.at.Add(manager.Duration(rapid.IntRange(1, 900).Draw(g.t, "back")))
		g.mail = append(g.mail, delivery{back, func() {
			if from.start == start && !from.down {
				from.keeper.Answered(from.now(g.at), from.now(sent), e, a)
			}
		}})
	}})
	if fate == 2 {
		late := there.Add(manager.Duration(rapid.IntRange(1, 20_000).Draw(g.t, "late")))
		g.mail = append(g.mail, delivery{late, func() {
			if !to.down {
				to.keeper.Handle(to.now(g.at), e.Request)
			}
		}})
	}
}

func (g *group) deliver() {
	var later []delivery
	due := g.mail
	g.mail = nil
	for _, d := range due {
		if d.at <= g.at {
			d.run()
		} else {
			later = append(later, d)
		}
	}
	g.mail = append(g.mail, later...)
}

// step moves time on, lets requests end and counts what each upstream has to do.
func (g *group) step(busy []bool) {
	g.at = g.at.Add(groupStep)
	g.deliver()
	for i, m := range g.members {
		if m.down {
			continue
		}
		now := m.now(g.at)
		if g.at%500 == 0 {
			for _, a := range g.ups {
				a.Sequence = manager.Sequence(g.at)
				require.NoError(g.t, m.table.Announce(now, a))
			}
		}
		for _, e := range m.keeper.Outgoing(now) {
			g.send(m, e)
		}
		for _, id := range m.keeper.Revoked(now) {
			delete(m.live, id)
			m.keeper.Release(now, id)
		}
		g.end(m)
		if busy[i] {
			g.begin(m)
		}
	}
	g.check()
}

func (g *group) end(m *member) {
	for id, h := range m.live {
		if h.until <= g.at {
			delete(m.live, id)
			m.keeper.Release(m.now(g.at), id)
		}
	}
}

// begin starts as many requests as there are slots; some outlast every lease.
func (g *group) begin(m *member) {
	now := m.now(g.at)
	life := manager.Duration(rapid.SampledFrom([]int{100, 400, 1000, 1000, 8000}).Draw(g.t, "life"))
	for _, u := range m.table.Ready(now, "s") {
		for m.keeper.Available(now, u, now.Add(life)) > 0 {
			g.counter++
			id := manager.RequestID(fmt.Sprint(g.counter))
			if !m.keeper.Acquire(now, id, u, now.Add(life)) {
				g.t.Fatalf("a free slot could not be taken")
			}
			g.taken++
			m.live[id] = hold{u.Address, g.at.Add(life)}
		}
	}
	m.keeper.SetDemand(now, manager.SlotDemand{Service: "s", Count: 5, Until: now.Add(life), WaitMs: 300})
}

func (g *group) check() {
	used := map[manager.Address]int{}
	for _, h := range g.orphans {
		if h.until > g.at {
			used[h.address]++
		}
	}
	for _, m := range g.members {
		for _, h := range m.live {
			used[h.address]++
		}
	}
	for _, a := range g.ups {
		if used[a.Address] > int(a.Slots) {
			g.t.Fatalf("at %d upstream %s runs %d requests in %d slots", g.at, a.Upstream, used[a.Address], a.Slots)
		}
	}
}

func (g *group) act() {
	m := g.members[rapid.IntRange(0, len(g.members)-1).Draw(g.t, "who")]
	switch rapid.IntRange(0, 5).Draw(g.t, "act") {
	case 0:
		g.kill(m)
	case 1:
		g.kill(m)
		g.restart(m)
	case 2:
		m.island = 1 - m.island
	case 3:
		for _, other := range g.members {
			other.island = 0
			if other.down {
				g.restart(other)
			}
		}
	default:
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "gateways")
		g := newGroup(t, n)
		for range rapid.IntRange(3, 12).Draw(t, "rounds") {
			g.act()
			busy := make([]bool, n)
			for i := range busy {
				busy[i] = rapid.Bool().Draw(t, "busy")
			}
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				g.step(busy)
			}
		}
		total += g.taken
	})
	require.Positive(t, total, "the keepers never gave a slot")
}
