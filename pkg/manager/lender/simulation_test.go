package lender_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/lender"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/limiter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

// deployment is one of two fleets whose services get a surge of requests one after another.
type deployment struct {
	name                                      string
	zones, gateways                           int
	upstreams                                 []int
	serviceTime, deadline, surge, peerLatency manager.Duration
}

var deployments = []deployment{
	{"cathode", 3, 10, []int{8, 9, 10, 11, 12}, 100, 2000, 6000, 2},
	{"qirsh", 4, 12, []int{12, 11, 10, 9, 8}, 150, 3000, 6000, 1},
}

// scenario defines how the load balancer distributes the requests and whether a gateway is lost.
type scenario struct {
	name string
	// hotGateways is the number of gateways that together get hotShare of the surging service's requests.
	hotGateways int
	hotShare    float64
	loseGateway bool
}

var scenarios = []scenario{{name: "even", loseGateway: true}, {name: "skewed", hotGateways: 2, hotShare: 0.6, loseGateway: true}}

// result counts the outcomes of the requests of a run.
type result struct {
	offered, good, refused, late, lost, breaches, wrongRunState, maximum int
	messages, undecided, borrows                                         int
	// busy and slots are the slot-milliseconds used and available in the surges, without the first
	// second of each.
	busy, slots int
}

type event struct {
	at       manager.Time
	sequence int
	run      func(manager.Time)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type node struct {
	address manager.GatewayID
	table   *registrar.Table
	limiter manager.Limiter
	leaser  *lender.Leaser
	dead    bool
}

type simulatedUpstream struct {
	announcement manager.Announcement
	inFlight     int
}

type call struct {
	request  manager.Request
	work     manager.Duration
	attempts int
	queuedAt *node
}

// simulation runs one strategy of sharing slots in virtual time.
type simulation struct {
	d            deployment
	s            scenario
	random       *rand.Rand
	events       eventQueue
	lastSequence int
	nodes        []*node
	byID         map[manager.UpstreamID]*simulatedUpstream
	upstreamList []*simulatedUpstream
	calls        map[manager.RequestID]*call
	result       result
	lastID       int
}

func (sim *simulation) at(t manager.Time, run func(manager.Time)) {
	sim.lastSequence++
	heap.Push(&sim.events, event{t, sim.lastSequence, run})
}

func newSimulation(d deployment, s scenario, strategy string, seed uint64) *simulation {
	sim := &simulation{
		d: d, s: s, random: rand.New(rand.NewPCG(seed, 7)),
		byID: map[manager.UpstreamID]*simulatedUpstream{}, calls: map[manager.RequestID]*call{},
	}
	n := d.gateways
	if strategy == "ideal" {
		n = 1
	}
	var addresses []manager.GatewayID
	for i := range n {
		addresses = append(addresses, manager.GatewayID(fmt.Sprintf("10.0.0.%d:8080", i+1)))
	}
	for i, a := range addresses {
		sim.nodes = append(sim.nodes, sim.newNode(a, addresses, i, strategy, seed))
	}
	for s, count := range d.upstreams {
		for i := range count {
			id := fmt.Sprintf("s%d-%d", s, i)
			u := &simulatedUpstream{announcement: manager.Announcement{
				Upstream: manager.UpstreamID(id), Incarnation: 1, Service: serviceID(s), Slots: 8, Connections: 64,
				Address:          manager.Address(fmt.Sprintf("10.1.%d.%d:80", s, i)),
				AvailabilityZone: zone(i % d.zones), State: manager.UpstreamReady,
			}}
			sim.byID[u.announcement.Upstream] = u
			sim.upstreamList = append(sim.upstreamList, u)
		}
	}
	return sim
}

func serviceID(s int) manager.ServiceID   { return manager.ServiceID(fmt.Sprintf("s%d", s)) }
func zone(i int) manager.AvailabilityZone { return manager.AvailabilityZone(fmt.Sprintf("z%d", i)) }

func (sim *simulation) newNode(a manager.GatewayID, all []manager.GatewayID, i int, strategy string, seed uint64) *node {
	n := &node{address: a, table: &registrar.Table{}}
	random := &router.Random{Source: rand.New(rand.NewPCG(seed, uint64(i)))}
	balanced := &router.Balanced{Source: rand.New(rand.NewPCG(seed, uint64(i))), AvailabilityZone: zone(i % sim.d.zones)}
	lim := &limiter.Deadline{Registrar: n.table, Router: balanced}
	n.limiter = lim
	switch strategy {
	case "naive":
		n.limiter = &limiter.Fixed{Registrar: n.table, Router: random}
	case "ideal", "two-choices":
		lim.Slots = &lender.Unshared{}
	case "upstream-refuses":
		lim.Slots = &lender.Unshared{}
		lim.Router = random
	case "static":
		lim.Slots = &lender.Static{Self: a, Gateways: all}
	default:
		n.leaser = &lender.Leaser{Self: a, Gateways: all, Start: manager.StartID(i + 1), Registrar: n.table, Deadline: sim.d.deadline}
		if strategy == "lease-whole" {
			n.leaser.Assignment = lender.AssignWhole
		}
		lim.Slots = n.leaser
	}
	return n
}

const (
	warmUp       = 2 * manager.Second
	tickInterval = 10 * manager.Millisecond
)

func (sim *simulation) run() result {
	end := manager.Time(0).Add(warmUp + sim.d.surge*manager.Duration(len(sim.d.upstreams)))
	drained := end.Add(sim.d.deadline + manager.Second)
	sim.at(0, func(now manager.Time) { sim.announce(now, drained) })
	sim.at(0, func(now manager.Time) { sim.tick(now, drained) })
	for s := range sim.d.upstreams {
		sim.at(manager.Time(warmUp), func(now manager.Time) { sim.arrive(now, s, end) })
	}
	if sim.s.loseGateway && len(sim.nodes) > 1 {
		sim.at(manager.Time(warmUp+sim.d.surge*5/2), func(manager.Time) { sim.crash(sim.nodes[0]) })
	}
	for len(sim.events) > 0 {
		e, _ := heap.Pop(&sim.events).(event)
		e.run(e.at)
	}
	sim.result.undecided = len(sim.calls)
	return sim.result
}

// crash stops a gateway and loses the requests in its queue.
func (sim *simulation) crash(n *node) {
	n.dead = true
	for id, c := range sim.calls {
		if c.queuedAt == n {
			sim.result.lost++
			delete(sim.calls, id)
		}
	}
}

func (sim *simulation) announce(now, end manager.Time) {
	for i, u := range sim.upstreamList {
		sim.at(now.Add(manager.Duration(i*17%1000)), func(now manager.Time) {
			u.announcement.Sequence++
			u.announcement.InFlight = u.inFlight
			for _, n := range sim.nodes {
				_ = n.table.Announce(now, u.announcement)
			}
		})
	}
	if now < end {
		sim.at(now.Add(manager.Second), func(now manager.Time) { sim.announce(now, end) })
	}
}

func (sim *simulation) tick(now, end manager.Time) {
	for _, n := range sim.nodes {
		if n.dead {
			continue
		}
		if n.leaser != nil {
			for _, e := range n.leaser.Outgoing(now) {
				sim.exchange(now, n, e)
			}
		}
		sim.apply(now, n, n.limiter.Tick(now))
	}
	if now < end {
		sim.at(now.Add(tickInterval), func(now manager.Time) { sim.tick(now, end) })
	}
}

func (sim *simulation) exchange(sent manager.Time, n *node, e manager.SlotExchange) {
	sim.result.messages++
	if e.Request.Borrow != nil {
		sim.result.borrows++
	}
	sim.at(sent.Add(sim.d.peerLatency), func(now manager.Time) {
		var peer *node
		for _, other := range sim.nodes {
			if other.address == e.Peer {
				peer = other
			}
		}
		if peer.dead {
			sim.at(sent.Add(manager.Second), func(now manager.Time) { n.leaser.Failed(now, e) })
			return
		}
		a := peer.leaser.Handle(now, e.Request)
		sim.at(now.Add(sim.d.peerLatency), func(now manager.Time) {
			n.leaser.Answered(now, sent, e, a)
			sim.apply(now, n, n.limiter.Tick(now))
		})
	})
}

// arrive adds the requests of one millisecond and schedules the next call. The services surge in turn:
// a surging service gets five times its mean rate, which is 1.5 times what its slots can serve, and the
// others get a twentieth of their mean rate.
func (sim *simulation) arrive(now manager.Time, s int, end manager.Time) {
	if now >= end {
		return
	}
	mean := float64(sim.d.upstreams[s]*8) / float64(sim.d.serviceTime) * 0.3
	surging := int(now.Sub(manager.Time(warmUp))/sim.d.surge) == s
	rate := mean / 20
	if surging {
		rate = mean * 5
	}
	if surging && now >= manager.Time(warmUp).Add(sim.d.surge*manager.Duration(s)+manager.Second) {
		for _, u := range sim.upstreamList {
			if u.announcement.Service == serviceID(s) {
				sim.result.busy += u.inFlight
				sim.result.slots += 8
			}
		}
	}
	for range sim.poisson(rate) {
		sim.lastID++
		work := manager.Duration(math.Ceil(float64(sim.d.serviceTime) * sim.random.ExpFloat64()))
		c := &call{work: max(work, 1), request: manager.Request{
			Request: manager.RequestID(fmt.Sprint(sim.lastID)), Service: serviceID(s), Idempotent: true, Deadline: now.Add(sim.d.deadline),
		}}
		sim.calls[c.request.Request] = c
		sim.result.offered++
		n := sim.pickNode(surging)
		c.queuedAt = n
		sim.apply(now, n, n.limiter.Arrive(now, c.request))
	}
	sim.at(now.Add(1), func(now manager.Time) { sim.arrive(now, s, end) })
}

func (sim *simulation) poisson(rate float64) int {
	n, p, limit := 0, 1.0, math.Exp(-rate)
	for p *= sim.random.Float64(); p > limit; p *= sim.random.Float64() {
		n++
	}
	return n
}

// pickNode picks a live gateway. The random numbers drawn don't depend on the strategy.
func (sim *simulation) pickNode(surging bool) *node {
	pick, hot := sim.random.Float64(), sim.random.Float64()
	first := 0
	for sim.nodes[first].dead {
		first++
	}
	live := sim.nodes[first:]
	if surging && hot < sim.s.hotShare && len(live) > sim.s.hotGateways {
		live = live[:sim.s.hotGateways]
	}
	return live[int(pick*float64(len(live)))]
}

func (sim *simulation) apply(now manager.Time, n *node, decisions []manager.Decision) {
	for _, d := range decisions {
		c := sim.calls[d.Request]
		if c == nil {
			panic("a request was decided twice: " + string(d.Request))
		}
		if d.Kind == manager.DecisionRefuse {
			sim.result.refused++
			if d.Refusal.RunState != manager.RunStateNotRun {
				sim.result.wrongRunState++
			}
			delete(sim.calls, d.Request)
			continue
		}
		c.attempts++
		c.queuedAt = nil
		sim.at(now.Add(1), func(now manager.Time) { sim.serve(now, n, c, d.Member.Upstream) })
	}
}

func (sim *simulation) serve(now manager.Time, n *node, c *call, id manager.UpstreamID) {
	u := sim.byID[id]
	u.inFlight++
	sim.result.maximum = max(sim.result.maximum, u.inFlight)
	o := manager.Outcome{Request: c.request.Request, Service: c.request.Service, Upstream: id, RunState: manager.RunStateRan, DurationMs: c.work + 2}
	if u.inFlight > int(u.announcement.Slots) {
		u.inFlight--
		sim.result.breaches++
		o.RunState, o.Failed, o.DurationMs = manager.RunStateNotRun, true, 2
		sim.at(now.Add(1), func(now manager.Time) { sim.finish(now, n, c, o) })
		return
	}
	// An upstream stops the work when its connection closes, but the connections of a crashed gateway stay
	// open.
	stops := now.Add(c.work)
	if cut := c.request.Deadline.Add(2); cut < stops && !n.dead {
		stops = cut
	}
	sim.at(stops, func(manager.Time) { u.inFlight-- })
	answer := now.Add(c.work + 1)
	if answer > c.request.Deadline {
		o.RunState, o.Failed = manager.RunStateUnknown, true
		answer = c.request.Deadline
	}
	sim.at(answer, func(now manager.Time) { sim.finish(now, n, c, o) })
}

func (sim *simulation) finish(now manager.Time, n *node, c *call, o manager.Outcome) {
	if n.dead {
		sim.result.lost++
		delete(sim.calls, c.request.Request)
		return
	}
	decisions := n.limiter.Finish(now, o)
	switch {
	case !o.Failed:
		sim.result.good++
		delete(sim.calls, c.request.Request)
	case o.RunState == manager.RunStateUnknown:
		sim.result.late++
		delete(sim.calls, c.request.Request)
	case c.attempts < 3:
		c.queuedAt = n
		decisions = append(decisions, n.limiter.Arrive(now, c.request)...)
	default:
		sim.result.refused++
		delete(sim.calls, c.request.Request)
	}
	sim.apply(now, n, decisions)
}
