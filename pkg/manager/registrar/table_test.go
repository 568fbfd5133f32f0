package registrar_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

func announcement(i int) manager.Announcement {
	return manager.Announcement{
		Upstream: manager.UpstreamID(fmt.Sprintf("u%d", i)), Incarnation: 1, Service: "s", State: manager.UpstreamReady,
		Slots: 8, Connections: 64, Address: manager.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)),
	}
}

// upstreamModel is the actual state of one upstream, which the gateways' tables are checked against.
type upstreamModel struct {
	manager.Announcement
	// readyAt is the time, by incarnation, at which the upstream last announced that it is ready.
	readyAt map[manager.Incarnation]manager.Time
}

type peer struct {
	id     manager.GatewayID
	offset manager.Duration
	start  manager.StartID
	table  *registrar.Table
	// leftIncarnations holds the incarnations that this gateway has seen as leaving.
	leftIncarnations map[string]bool
}

func (p *peer) now(at manager.Time) manager.Time { return at.Add(p.offset) }

func (p *peer) restart() {
	p.start++
	p.leftIncarnations = map[string]bool{}
	p.table = &registrar.Table{Gateway: p.id, Start: p.start}
}

type delivery struct {
	at  manager.Time
	run func()
}

// network simulates gossip between tables. delay returns the transit time of a message, or false if the message is
// lost.
type network struct {
	at         manager.Time
	peers      []*peer
	deliveries []delivery
	delay      func() (manager.Duration, bool)
}

func newNetwork(n int, offset func() manager.Duration, delay func() (manager.Duration, bool)) *network {
	w := &network{delay: delay}
	for i := range n {
		p := &peer{id: manager.GatewayID(fmt.Sprint("g", i)), offset: offset()}
		p.restart()
		w.peers = append(w.peers, p)
	}
	return w
}

func (w *network) send(run func()) {
	if d, ok := w.delay(); ok {
		w.deliveries = append(w.deliveries, delivery{w.at.Add(d), run})
	}
}

// exchange runs one exchange as gateways do, with a second message if again is set and one is needed.
func (w *network) exchange(from, to *peer, m manager.GossipMessage, again bool) {
	sent, start, toStart := from.now(w.at), from.start, to.start
	w.send(func() {
		if to.start != toStart {
			return
		}
		a := to.table.Answer(to.now(w.at), m)
		w.send(func() {
			if from.start != start {
				return
			}
			next, differs := from.table.Merge(from.now(w.at), sent, to.id, a)
			if differs && again {
				w.exchange(from, to, next, false)
			}
		})
	})
}

func (w *network) gossip(from, to *peer) {
	w.exchange(from, to, from.table.Gossip(from.now(w.at), to.id), true)
}

func (w *network) advance(d manager.Duration) {
	end := w.at.Add(d)
	for w.at < end {
		w.at += 10
		due := w.deliveries
		w.deliveries = nil
		for _, m := range due {
			if m.at <= w.at {
				m.run()
			} else {
				w.deliveries = append(w.deliveries, m)
			}
		}
	}
}

func TestNoGatewayUsesAnUpstreamPastItsTimeToLive(t *testing.T) {
	seen := 0
	rapid.Check(t, func(t *rapid.T) {
		delay := func() (manager.Duration, bool) {
			kind := rapid.IntRange(0, 9).Draw(t, "delay")
			switch kind {
			case 0:
				return 0, false
			case 1:
				return manager.Duration(rapid.IntRange(0, 90_000).Draw(t, "late")), true
			default:
				return manager.Duration(kind), true
			}
		}
		offset := func() manager.Duration { return manager.Duration(rapid.IntRange(1, 1_000_000).Draw(t, "offset")) }
		w := newNetwork(rapid.IntRange(2, 5).Draw(t, "gateways"), offset, delay)
		var origins []*upstreamModel
		for i := range 4 {
			origins = append(origins, &upstreamModel{announcement(i), map[manager.Incarnation]manager.Time{}})
		}
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			p := rapid.SampledFrom(w.peers).Draw(t, "gateway")
			o := rapid.SampledFrom(origins).Draw(t, "upstream")
			w.event(t, p, o)
			w.advance(manager.Duration(rapid.SampledFrom([]int{10, 100, 400, 1500, 70_000}).Draw(t, "pause")))
			for _, p := range w.peers {
				seen += p.check(t, w.at, origins)
			}
		}
	})
	require.Positive(t, seen, "no gateway ever had a ready upstream")
}

// event runs one event: an upstream announces itself, leaves or restarts, or a gateway gossips or restarts.
func (w *network) event(t *rapid.T, p *peer, o *upstreamModel) {
	kind := rapid.IntRange(0, 9).Draw(t, "event")
	switch kind {
	case 0:
		p.restart()
		return
	case 1:
		o.State = manager.UpstreamLeaving
	case 2:
		o.Incarnation++
		o.Sequence = 0
		o.State = manager.UpstreamReady
		o.Address = announcement(rapid.IntRange(0, 3).Draw(t, "address")).Address
	case 3, 4, 5, 6:
		w.gossip(p, rapid.SampledFrom(w.peers).Draw(t, "peer"))
		return
	}
	o.Sequence++
	if o.State == manager.UpstreamReady {
		o.readyAt[o.Incarnation] = w.at
	}
	require.NoError(t, p.table.Announce(p.now(w.at), o.Announcement))
}

func (p *peer) check(t *rapid.T, at manager.Time, origins []*upstreamModel) int {
	for _, m := range p.table.All(p.now(at)) {
		if m.State == manager.UpstreamLeaving {
			p.leftIncarnations[fmt.Sprint(m.Upstream, m.Incarnation)] = true
		}
	}
	ready := p.table.Ready(p.now(at), "s")
	byAddress := map[manager.Address]bool{}
	for _, m := range ready {
		for _, o := range origins {
			if o.Upstream != m.Upstream {
				continue
			}
			if age := at.Sub(o.readyAt[m.Incarnation]); age >= registrar.DefaultTimeToLive {
				t.Fatalf("%s uses %s %d ms after its last ready announcement", p.id, m.Upstream, age)
			}
		}
		if p.leftIncarnations[fmt.Sprint(m.Upstream, m.Incarnation)] {
			t.Fatalf("%s uses %s again after it was seen leaving", p.id, m.Upstream)
		}
		if byAddress[m.Address] {
			t.Fatalf("%s uses two upstreams at %s", p.id, m.Address)
		}
		byAddress[m.Address] = true
	}
	return len(ready)
}

// fleet returns a network of gateways and a function that runs it. Each upstream announces itself once a second to a
// random gateway; each gateway starts two exchanges per second.
func fleet(gateways, upstreams int, seed uint64) (*network, func(manager.Duration, func(i int) bool)) {
	random := rand.New(rand.NewPCG(seed, 3))
	offset := func() manager.Duration { return manager.Duration(1 + random.IntN(1000)) }
	w := newNetwork(gateways, offset, func() (manager.Duration, bool) { return 2, true })
	turns := make([][]int, gateways)
	next := func(i int) *peer {
		if len(turns[i]) == 0 {
			turns[i] = random.Perm(gateways - 1)
		}
		j := turns[i][0]
		turns[i] = append(turns[i][1:], j)
		return w.peers[(i+1+j)%gateways]
	}
	list := make([]manager.Announcement, upstreams)
	for i := range list {
		list[i] = announcement(i)
	}
	run := func(d manager.Duration, ready func(i int) bool) {
		for end := w.at.Add(d); w.at < end; {
			for i := range list {
				if int(w.at)/10%100 != i%100 {
					continue
				}
				list[i].Sequence++
				if !ready(i) {
					list[i].State = manager.UpstreamLeaving
				}
				p := w.peers[random.IntN(gateways)]
				_ = p.table.Announce(p.now(w.at), list[i])
			}
			for i, p := range w.peers {
				if int(w.at)/10%50 == i*50/gateways {
					w.gossip(p, next(i))
				}
			}
			w.advance(10)
		}
	}
	return w, run
}

func TestMembershipSpreadsWithinTwoSeconds(t *testing.T) {
	w, run := fleet(12, 60, 1)
	all := func(int) bool { return true }
	// Until each pair of gateways has had one exchange, an exchange carries changes in one direction only.
	run(15*manager.Second, all)
	missing := 0
	for range 100 {
		run(100, all)
		for _, p := range w.peers {
			missing += 60 - len(p.table.Ready(p.now(w.at), "s"))
		}
	}
	// One in a thousand may expire for a moment; then just one gateway does not use the upstream.
	require.LessOrEqual(t, missing, 100*12*60/1000)
	w.peers[3].restart()
	run(2*manager.Second, all)
	require.Len(t, w.peers[3].table.All(w.peers[3].now(w.at)), 60)
	// The upstream announces that it is leaving within a second.
	run(3*manager.Second, func(i int) bool { return i != 7 })
	for _, p := range w.peers {
		for _, m := range p.table.Ready(p.now(w.at), "s") {
			require.NotEqual(t, announcement(7).Upstream, m.Upstream)
		}
	}
}

func TestMembersAreBounded(t *testing.T) {
	table := &registrar.Table{MaxMembers: 3}
	for i := range 3 {
		require.NoError(t, table.Announce(1, announcement(i)))
	}
	require.True(t, manager.IsErrUnavailable(table.Announce(1, announcement(3))))
	require.NoError(t, table.Announce(1, announcement(2)), "the announcement of a known upstream was refused")
	require.NoError(t, table.Announce(70_000, announcement(3)), "an upstream without announcements did not expire")
}

func TestExpiredIncarnationIsNotAcceptedAgain(t *testing.T) {
	table := &registrar.Table{}
	a := announcement(0)
	a.Incarnation, a.State = 2, manager.UpstreamLeaving
	require.NoError(t, table.Announce(1000, a))
	table.Gossip(100_000, "g")
	require.Empty(t, table.All(100_000))
	old := announcement(0)
	require.NoError(t, table.Announce(100_001, old))
	require.Empty(t, table.Ready(100_002, "s"))
}

func FuzzGossip(f *testing.F) {
	table := &registrar.Table{}
	require.NoError(f, table.Announce(1, announcement(0)))
	seed, err := json.Marshal(table.Gossip(2, "g"))
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"Echo":1,"Ages":"AA==","Entries":[{"AgeMs":-1}],"Want":[1],"Summary":[2]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m manager.GossipMessage
		if json.Unmarshal(data, &m) != nil {
			return
		}
		table := &registrar.Table{}
		require.NoError(t, table.Announce(1, announcement(0)))
		table.Answer(10, m)
		table.Merge(20, 10, "g", m)
		for _, member := range table.All(20) {
			require.NoError(t, registrar.Validate(member.Announcement))
			require.LessOrEqual(t, member.AnnouncedAt, manager.Time(20))
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	seed, err := json.Marshal(announcement(0))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var a manager.Announcement
		if json.Unmarshal(data, &a) != nil {
			return
		}
		table := &registrar.Table{}
		if table.Announce(1, a) == nil {
			require.Len(t, table.All(1), 1)
		}
	})
}
