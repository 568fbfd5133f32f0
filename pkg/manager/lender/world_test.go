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

// deployment is one of the two fleets whose queues surge in turn.
type deployment struct {
	name                             string
	zones, gateways                  int
	instances                        []int
	service, deadline, surge, toPeer manager.Duration
}

var deployments = []deployment{
	{"cathode", 3, 10, []int{8, 9, 10, 11, 12}, 100, 2000, 6000, 2},
	{"qirsh", 4, 12, []int{12, 11, 10, 9, 8}, 150, 3000, 6000, 1},
}

// scenario is how the balancer divides the requests and what is lost.
type scenario struct {
	name string
	// hot gateways get hotShare of the surging service's requests.
	hot      int
	hotShare float64
	lose     bool
}

var scenarios = []scenario{{name: "even", lose: true}, {name: "skewed", hot: 2, hotShare: 0.6, lose: true}}

// tally is what became of the requests of a run.
type tally struct {
	offered, good, refused, late, lost, breaches, unfair, maximum int
	messages, undecided, borrows                                  int
	// busy and slots are the slot-milliseconds used and there in the surges.
	busy, slots int
}

type event struct {
	at    manager.Time
	order int
	run   func(manager.Time)
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

type node struct {
	address manager.GatewayID
	table   *registrar.Table
	limiter manager.Limiter
	keeper  *lender.Keeper
	dead    bool
}

type instance struct {
	announcement manager.Announcement
	inFlight     int
}

type call struct {
	request manager.Request
	work    manager.Duration
	tries   int
	waitsAt *node
}

// world runs one way of sharing slots in virtual time.
type world struct {
	d       deployment
	s       scenario
	random  *rand.Rand
	agenda  agenda
	order   int
	nodes   []*node
	ups     map[manager.UpstreamID]*instance
	list    []*instance
	calls   map[manager.RequestID]*call
	tally   tally
	counter int
}

func (w *world) at(t manager.Time, run func(manager.Time)) {
	w.order++
	heap.Push(&w.agenda, event{t, w.order, run})
}

func newWorld(d deployment, s scenario, way string, seed uint64) *world {
	w := &world{
		d: d, s: s, random: rand.New(rand.NewPCG(seed, 7)),
		ups: map[manager.UpstreamID]*instance{}, calls: map[manager.RequestID]*call{},
	}
	n := d.gateways
	if way == "ideal" {
		n = 1
	}
	var addresses []manager.GatewayID
	for i := range n {
		addresses = append(addresses, manager.GatewayID(fmt.Sprintf("10.0.0.%d:8080", i+1)))
	}
	for i, a := range addresses {
		w.nodes = append(w.nodes, w.newNode(a, addresses, i, way, seed))
	}
	for s, count := range d.instances {
		for i := range count {
			id := fmt.Sprintf("s%d-%d", s, i)
			u := &instance{announcement: manager.Announcement{
				Upstream: manager.UpstreamID(id), Incarnation: 1, Service: serviceID(s), Slots: 8, Connections: 64,
				Address:          manager.Address(fmt.Sprintf("10.1.%d.%d:80", s, i)),
				AvailabilityZone: zone(i % d.zones), State: manager.UpstreamReady,
			}}
			w.ups[u.announcement.Upstream] = u
			w.list = append(w.list, u)
		}
	}
	return w
}

func serviceID(s int) manager.ServiceID   { return manager.ServiceID(fmt.Sprintf("s%d", s)) }
func zone(i int) manager.AvailabilityZone { return manager.AvailabilityZone(fmt.Sprintf("z%d", i)) }

func (w *world) newNode(a manager.GatewayID, all []manager.GatewayID, i int, way string, seed uint64) *node {
	n := &node{address: a, table: &registrar.Table{}}
	random := &router.Random{Source: rand.New(rand.NewPCG(seed, uint64(i)))}
	balanced := &router.Balanced{Source: rand.New(rand.NewPCG(seed, uint64(i))), AvailabilityZone: zone(i % w.d.zones)}
	real := &limiter.Deadline{Registrar: n.table, Router: balanced}
	n.limiter = real
	switch way {
	case "naive":
		n.limiter = &limiter.Fixed{Registrar: n.table, Router: random}
	case "ideal", "two-choices":
		real.Slots = &lender.Unshared{}
	case "upstream-refuses":
		real.Slots = &lender.Unshared{}
		real.Router = random
	case "static":
		real.Slots = &lender.Static{Self: a, Gateways: all}
	default:
		n.keeper = &lender.Keeper{Self: a, Gateways: all, Start: manager.StartID(i + 1), Registrar: n.table, Deadline: w.d.deadline}
		if way == "lease-whole" {
			n.keeper.Assignment = lender.AssignWhole
		}
		real.Slots = n.keeper
	}
	return n
}

const (
	warmUpTime = 2 * manager.Second
	tickTime   = 10 * manager.Millisecond
)

func (w *world) run() tally {
	end := manager.Time(0).Add(warmUpTime + w.d.surge*manager.Duration(len(w.d.instances)))
	drained := end.Add(w.d.deadline + manager.Second)
	w.at(0, func(now manager.Time) { w.announce(now, drained) })
	w.at(0, func(now manager.Time) { w.tick(now, drained) })
	for s := range w.d.instances {
		w.at(manager.Time(warmUpTime), func(now manager.Time) { w.arrive(now, s, end) })
	}
	if w.s.lose && len(w.nodes) > 1 {
		w.at(manager.Time(warmUpTime+w.d.surge*5/2), func(manager.Time) { w.kill(w.nodes[0]) })
	}
	for len(w.agenda) > 0 {
		e, _ := heap.Pop(&w.agenda).(event)
		e.run(e.at)
	}
	w.tally.undecided = len(w.calls)
	return w.tally
}

// kill loses a gateway with its queue.
func (w *world) kill(n *node) {
	n.dead = true
	for id, c := range w.calls {
		if c.waitsAt == n {
			w.tally.lost++
			delete(w.calls, id)
		}
	}
}

func (w *world) announce(now, end manager.Time) {
	for i, u := range w.list {
		w.at(now.Add(manager.Duration(i*17%1000)), func(now manager.Time) {
			u.announcement.Sequence++
			u.announcement.InFlight = u.inFlight
			for _, n := range w.nodes {
				_ = n.table.Announce(now, u.announcement)
			}
		})
	}
	if now < end {
		w.at(now.Add(manager.Second), func(now manager.Time) { w.announce(now, end) })
	}
}

func (w *world) tick(now, end manager.Time) {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		if n.keeper != nil {
			for _, e := range n.keeper.Outgoing(now) {
				w.exchange(now, n, e)
			}
		}
		w.deliver(now, n, n.limiter.Tick(now))
	}
	if now < end {
		w.at(now.Add(tickTime), func(now manager.Time) { w.tick(now, end) })
	}
}

func (w *world) exchange(sent manager.Time, n *node, e manager.SlotExchange) {
	w.tally.messages++
	if e.Request.Borrow != nil {
		w.tally.borrows++
	}
	w.at(sent.Add(w.d.toPeer), func(now manager.Time) {
		var peer *node
		for _, other := range w.nodes {
			if other.address == e.Peer {
				peer = other
			}
		}
		if peer.dead {
			w.at(sent.Add(manager.Second), func(now manager.Time) { n.keeper.Failed(now, e) })
			return
		}
		a := peer.keeper.Handle(now, e.Request)
		w.at(now.Add(w.d.toPeer), func(now manager.Time) {
			n.keeper.Answered(now, sent, e, a)
			w.deliver(now, n, n.limiter.Tick(now))
		})
	})
}

// arrive brings one request and plans the next: a service in turn asks five times its mean, which is
// half as much again as its slots serve, and a twentieth of its mean in between.
func (w *world) arrive(now manager.Time, s int, end manager.Time) {
	if now >= end {
		return
	}
	mean := float64(w.d.instances[s]*8) / float64(w.d.service) * 0.3
	surging := int(now.Sub(manager.Time(warmUpTime))/w.d.surge) == s
	rate := mean / 20
	if surging {
		rate = mean * 5
	}
	if surging && now >= manager.Time(warmUpTime).Add(w.d.surge*manager.Duration(s)+manager.Second) {
		for _, u := range w.list {
			if u.announcement.Service == serviceID(s) {
				w.tally.busy += u.inFlight
				w.tally.slots += 8
			}
		}
	}
	for range w.poisson(rate) {
		w.counter++
		work := manager.Duration(math.Ceil(float64(w.d.service) * w.random.ExpFloat64()))
		c := &call{work: max(work, 1), request: manager.Request{
			Request: manager.RequestID(fmt.Sprint(w.counter)), Service: serviceID(s), Idempotent: true, Deadline: now.Add(w.d.deadline),
		}}
		w.calls[c.request.Request] = c
		w.tally.offered++
		n := w.balance(surging)
		c.waitsAt = n
		w.deliver(now, n, n.limiter.Arrive(now, c.request))
	}
	w.at(now.Add(1), func(now manager.Time) { w.arrive(now, s, end) })
}

func (w *world) poisson(rate float64) int {
	n, p, limit := 0, 1.0, math.Exp(-rate)
	for p *= w.random.Float64(); p > limit; p *= w.random.Float64() {
		n++
	}
	return n
}

// balance picks a live gateway; the random numbers drawn don't depend on the way that runs.
func (w *world) balance(surging bool) *node {
	pick, hot := w.random.Float64(), w.random.Float64()
	first := 0
	for w.nodes[first].dead {
		first++
	}
	live := w.nodes[first:]
	if surging && hot < w.s.hotShare && len(live) > w.s.hot {
		live = live[:w.s.hot]
	}
	return live[int(pick*float64(len(live)))]
}

func (w *world) deliver(now manager.Time, n *node, decisions []manager.Decision) {
	for _, d := range decisions {
		c := w.calls[d.Request]
		if c == nil {
			panic("a request was decided twice: " + string(d.Request))
		}
		if d.Kind == manager.DecisionRefuse {
			w.tally.refused++
			if d.Refusal.RunState != manager.RunStateNotRun {
				w.tally.unfair++
			}
			delete(w.calls, d.Request)
			continue
		}
		c.tries++
		c.waitsAt = nil
		w.at(now.Add(1), func(now manager.Time) { w.serve(now, n, c, d.Member.Upstream) })
	}
}

func (w *world) serve(now manager.Time, n *node, c *call, id manager.UpstreamID) {
	u := w.ups[id]
	u.inFlight++
	w.tally.maximum = max(w.tally.maximum, u.inFlight)
	o := manager.Outcome{Request: c.request.Request, Service: c.request.Service, Upstream: id, RunState: manager.RunStateRan, DurationMs: c.work + 2}
	if u.inFlight > int(u.announcement.Slots) {
		u.inFlight--
		w.tally.breaches++
		o.RunState, o.Failed, o.DurationMs = manager.RunStateNotRun, true, 2
		w.at(now.Add(1), func(now manager.Time) { w.finish(now, n, c, o) })
		return
	}
	// An upstream stops when it sees the connection close, but nobody closes a lost gateway's.
	stops := now.Add(c.work)
	if cut := c.request.Deadline.Add(2); cut < stops && !n.dead {
		stops = cut
	}
	w.at(stops, func(manager.Time) { u.inFlight-- })
	answer := now.Add(c.work + 1)
	if answer > c.request.Deadline {
		o.RunState, o.Failed = manager.RunStateUnknown, true
		answer = c.request.Deadline
	}
	w.at(answer, func(now manager.Time) { w.finish(now, n, c, o) })
}

func (w *world) finish(now manager.Time, n *node, c *call, o manager.Outcome) {
	if n.dead {
		w.tally.lost++
		delete(w.calls, c.request.Request)
		return
	}
	decisions := n.limiter.Finish(now, o)
	switch {
	case !o.Failed:
		w.tally.good++
		delete(w.calls, c.request.Request)
	case o.RunState == manager.RunStateUnknown:
		w.tally.late++
		delete(w.calls, c.request.Request)
	case c.tries < 3:
		c.waitsAt = n
		decisions = append(decisions, n.limiter.Arrive(now, c.request)...)
	default:
		w.tally.refused++
		delete(w.calls, c.request.Request)
	}
	w.deliver(now, n, decisions)
}
