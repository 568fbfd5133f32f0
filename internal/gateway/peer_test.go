package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/lender"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

// answerHeader is what net/http writes before an answer's body.
const answerHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Fri, 04 Dec 2026 05:23:53 GMT\r\nContent-Length: 200\r\n\r\n"

type costNode struct {
	id     manager.GatewayID
	table  *registrar.Table
	keeper *lender.Keeper
}

// peerCost returns the bytes and messages a second that one gateway sends and receives to keep
// membership and leases, with nothing waiting.
func peerCost(tb testing.TB, gateways, upstreams int) (sent, received, messages float64) {
	tb.Helper()
	random := rand.New(rand.NewPCG(1, 5))
	var ids []manager.GatewayID
	for i := range gateways {
		ids = append(ids, manager.GatewayID(fmt.Sprintf("10.10.0.%d:8080", i+1)))
	}
	nodes := map[manager.GatewayID]*costNode{}
	for i, id := range ids {
		n := &costNode{id: id, table: &registrar.Table{Gateway: id, Start: manager.StartID(i + 1e9)}}
		n.keeper = &lender.Keeper{Self: id, Gateways: ids, Start: n.table.Start, Registrar: n.table, Deadline: 10_000}
		nodes[id] = n
	}
	out, in, count := map[manager.GatewayID]int{}, map[manager.GatewayID]int{}, 0
	move := func(from, to manager.GatewayID, n int) {
		out[from] += n
		in[to] += n
	}
	exchange := func(now manager.Time, from *costNode, e manager.SlotExchange) {
		to := nodes[e.Peer]
		m := manager.PeerMessage{Slots: &e.Request}
		if e.Gossip {
			g := from.table.Gossip(now, e.Peer)
			m.Membership = &g
		}
		for again := true; again; {
			again = false
			move(from.id, to.id, requestBytes(tb, to.id, m))
			count++
			var a manager.PeerAnswer
			if m.Slots != nil {
				answer := to.keeper.Handle(now, *m.Slots)
				a.Slots = &answer
			}
			if m.Membership != nil {
				answer := to.table.Answer(now, *m.Membership)
				a.Membership = &answer
			}
			move(to.id, from.id, len(answerHeader)+encoded(tb, a))
			if a.Slots != nil {
				from.keeper.Answered(now, now, e, *a.Slots)
			}
			if a.Membership != nil {
				next, differs := from.table.Merge(now, now, to.id, *a.Membership)
				again = differs && m.Slots != nil
				m = manager.PeerMessage{Membership: &next}
			}
		}
	}
	const warm, end = 20_000, 50_000
	for now := manager.Time(0); now < end; now += 10 {
		if now == warm {
			clear(out)
			clear(in)
			count = 0
		}
		for i := range upstreams {
			if int(now)/10%100 == i%100 {
				a := costAnnouncement(i)
				a.Sequence = manager.Sequence(now)
				require.NoError(tb, nodes[ids[random.IntN(gateways)]].table.Announce(now, a))
			}
		}
		for _, id := range ids {
			for _, e := range nodes[id].keeper.Outgoing(now) {
				exchange(now, nodes[id], e)
			}
		}
	}
	most := func(m map[manager.GatewayID]int) float64 {
		top := 0
		for _, n := range m {
			top = max(top, n)
		}
		return float64(top) * 1000 / (end - warm)
	}
	return most(out), most(in), float64(count) * 1000 / (end - warm) / float64(gateways)
}

func costAnnouncement(i int) manager.Announcement {
	return manager.Announcement{
		Upstream: manager.UpstreamID(fmt.Sprintf("reconciliation-%d", i)), Incarnation: 1733289833000, Service: "reconciliation",
		Pool: "reconciliation", VM: manager.VMID(fmt.Sprintf("reconciliation-%d", i)), State: manager.UpstreamReady,
		Address: manager.Address(fmt.Sprintf("10.20.%d.%d:9000", i/250, i%250)), AvailabilityZone: "zarqa-a", Rack: "zarqa-a-rack-1",
		Slots: 8, Connections: 64,
	}
}

func requestBytes(tb testing.TB, to manager.GatewayID, m manager.PeerMessage) int {
	tb.Helper()
	body, err := json.Marshal(m)
	require.NoError(tb, err)
	r, err := http.NewRequest(http.MethodPost, "http://"+string(to)+pathPeer, bytes.NewReader(body))
	require.NoError(tb, err)
	r.Header.Set("Authorization", "Bearer "+strings.Repeat("t", 32))
	r.Header.Set("User-Agent", "")
	var buffer bytes.Buffer
	require.NoError(tb, r.Write(&buffer))
	return buffer.Len()
}

func encoded(tb testing.TB, a manager.PeerAnswer) int {
	tb.Helper()
	body, err := json.Marshal(a)
	require.NoError(tb, err)
	return len(body)
}

// maxControlBytes is what a node may spend for control in a second.
const maxControlBytes = 3000

func TestPeersStayWithinTheControlCost(t *testing.T) {
	sent, received, messages := peerCost(t, 12, 60)
	t.Logf("12 gateways, 60 upstreams: %.0f B/s sent, %.0f B/s received, %.1f exchanges/s a gateway", sent, received, messages)
	require.LessOrEqual(t, sent, float64(maxControlBytes))
	require.LessOrEqual(t, received, float64(maxControlBytes))
}

// BenchmarkPeerCost shows how the cost grows with the upstreams and the gateways.
func BenchmarkPeerCost(b *testing.B) {
	for _, size := range [][2]int{{6, 60}, {12, 60}, {12, 300}, {12, 600}, {12, 1500}} {
		b.Run(fmt.Sprintf("gateways=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			for range b.N {
				sent, received, messages := peerCost(b, size[0], size[1])
				b.ReportMetric(sent, "sent-B/s")
				b.ReportMetric(received, "received-B/s")
				b.ReportMetric(messages, "exchanges/s")
			}
		})
	}
}

func FuzzPeerMessage(f *testing.F) {
	f.Add([]byte(`{"Slots":{"From":"g","Start":1,"Set":2,"Number":3,"Shards":["g"],"HoldMs":5,"Borrow":{"Service":"s","Count":1,"LeastMs":1,"HoldMs":2}}}`))
	f.Add([]byte(`{"Slots":{"From":"g","HoldMs":-9223372036854775808,"Promised":[{"Shard":"x","ForMs":-1}],"Returns":[1],"Offer":"s"},"Membership":{"Echo":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m manager.PeerMessage
		if configurer.Decode(bytes.NewReader(data), &m) != nil {
			return
		}
		table := &registrar.Table{}
		keeper := &lender.Keeper{Self: "h", Gateways: []manager.GatewayID{"g", "i"}, Start: 1, Registrar: table}
		keeper.Outgoing(1)
		if m.Slots != nil {
			m.Slots.From = "g"
			digest := keeper.Outgoing(1000)
			for _, e := range digest {
				m.Slots.Set = e.Request.Set
			}
			keeper.Handle(1001, *m.Slots)
		}
		if m.Membership != nil {
			table.Answer(1002, *m.Membership)
		}
		keeper.Outgoing(2000)
	})
}
