package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/lender"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/limiter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

func newTable(t require.TestingT, now manager.Time, services, upstreams int) *registrar.Table {
	table := &registrar.Table{}
	for s := range services {
		for u := range upstreams {
			require.NoError(t, table.Announce(now, manager.Announcement{
				Upstream: manager.UpstreamID(fmt.Sprintf("s%d-u%d", s, u)), Incarnation: 1, Service: service(s), Slots: 2,
				Connections: 64, Address: manager.Address(fmt.Sprintf("10.0.%d.%d:80", s, u)), State: manager.UpstreamReady,
			}))
		}
	}
	return table
}

func service(s int) manager.ServiceID { return manager.ServiceID(fmt.Sprintf("s%d", s)) }

func newLimiter(table *registrar.Table) *limiter.Deadline {
	return &limiter.Deadline{
		Registrar: table, Slots: &lender.Unshared{},
		Router: &router.Balanced{Source: rand.New(rand.NewPCG(1, 1))},
	}
}

func request(id int, s int, deadline manager.Time) manager.Request {
	return manager.Request{Request: manager.RequestID(fmt.Sprint(id)), Service: service(s), Idempotent: true, Deadline: deadline}
}

func succeeded(d manager.Decision, took manager.Duration) manager.Outcome {
	return manager.Outcome{
		Request: d.Request, Service: d.Member.Service, Upstream: d.Member.Upstream, RunState: manager.RunStateRan, DurationMs: took,
	}
}

// decisionChecker checks that each request is decided once and that no upstream gets more requests than
// it has slots.
type decisionChecker struct {
	t          *rapid.T
	open       map[manager.RequestID]manager.Request
	running    map[manager.RequestID]manager.Decision
	inUse      map[manager.UpstreamID]int
	dispatched int
}

func (l *decisionChecker) check(now manager.Time, decisions []manager.Decision) {
	for _, d := range decisions {
		r, ok := l.open[d.Request]
		if !ok {
			l.t.Fatalf("request %s was decided twice or after its cancellation", d.Request)
		}
		delete(l.open, d.Request)
		if d.Kind == manager.DecisionRefuse {
			require.Equal(l.t, manager.RunStateNotRun, d.Refusal.RunState)
			require.Positive(l.t, d.Refusal.RetryAfterMs)
			continue
		}
		require.Greater(l.t, r.Deadline, now, "a request was dispatched after its deadline")
		require.Equal(l.t, r.Service, d.Member.Service)
		l.running[d.Request] = d
		l.dispatched++
		l.inUse[d.Member.Upstream]++
		require.LessOrEqual(l.t, l.inUse[d.Member.Upstream], 2)
	}
}

// runRandomEvents feeds a limiter with random arrivals, completions, cancellations and ticks, and returns
// how many requests were dispatched.
func runRandomEvents(t *rapid.T, l manager.Limiter, table *registrar.Table) int {
	now := manager.Time(1)
	checker := &decisionChecker{
		t: t, open: map[manager.RequestID]manager.Request{}, running: map[manager.RequestID]manager.Decision{},
		inUse: map[manager.UpstreamID]int{},
	}
	var ids []manager.RequestID
	for i := range rapid.IntRange(1, 200).Draw(t, "events") {
		now += manager.Time(rapid.IntRange(0, 40).Draw(t, "pause"))
		for _, m := range table.All(now) {
			m.Sequence++
			require.NoError(t, table.Announce(now, m.Announcement))
		}
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0, 1, 2:
			r := request(i, rapid.IntRange(0, 2).Draw(t, "service"), now.Add(manager.Duration(rapid.IntRange(1, 500).Draw(t, "deadline"))))
			checker.open[r.Request] = r
			ids = append(ids, r.Request)
			checker.check(now, l.Arrive(now, r))
		case 3:
			for _, id := range ids {
				if d, ok := checker.running[id]; ok {
					delete(checker.running, id)
					checker.inUse[d.Member.Upstream]--
					checker.check(now, l.Finish(now, succeeded(d, 50)))
					break
				}
			}
		case 4:
			for _, id := range ids {
				if _, ok := checker.open[id]; ok {
					delete(checker.open, id)
					checker.check(now, l.Cancel(now, id))
					break
				}
			}
		default:
			checker.check(now, l.Tick(now))
		}
	}
	for _, id := range ids {
		if d, ok := checker.running[id]; ok {
			delete(checker.running, id)
			checker.inUse[d.Member.Upstream]--
			checker.check(now, l.Finish(now, succeeded(d, 50)))
		}
	}
	checker.check(now.Add(1000), l.Tick(now.Add(1000)))
	require.Empty(t, checker.open, "requests were never decided")
	return checker.dispatched
}

func TestEachRequestIsDecidedOnce(t *testing.T) {
	dispatched, naive := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(t, 1, 2, 2)
		dispatched += runRandomEvents(t, newLimiter(table), table)
	})
	// With a single gateway, the baseline limiter must follow the same rules.
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(t, 1, 2, 2)
		naive += runRandomEvents(t, &limiter.Fixed{Registrar: table, Router: &router.Random{Source: rand.New(rand.NewPCG(1, 1))}}, table)
	})
	require.Positive(t, dispatched)
	require.Positive(t, naive)
}

// fillSlots trains a limiter with requests of a service that take took, and leaves all slots of the
// service in use.
func fillSlots(t *testing.T, l manager.Limiter, s int, took manager.Duration) []manager.Decision {
	t.Helper()
	var running []manager.Decision
	for i := range 200 {
		running = append(running, l.Arrive(1, request(1000*s+i, s, 1_000))...)
		if len(running) == 4 {
			l.Finish(1, succeeded(running[0], took))
			running = running[1:]
		}
	}
	return append(running, l.Arrive(1, request(1000*s+999, s, 1_000))...)
}

func TestRefusesAtOnceWhatCannotFinish(t *testing.T) {
	table := newTable(t, 1, 1, 2)
	l := newLimiter(table)
	require.Len(t, fillSlots(t, l, 0, 100), 4)
	got := l.Arrive(1, request(1, 0, 80))
	require.Len(t, got, 1)
	require.Equal(t, manager.RefusalDeadline, got[0].Refusal.Code)
	require.Empty(t, l.Arrive(1, request(2, 0, 400)), "a request with time left was refused")
	waiting := 1
	for i := range 100 {
		if len(l.Arrive(1, request(100+i, 0, 400))) == 0 {
			waiting++
		}
	}
	// Four slots of 100 ms serve 40 requests a second, so about ten of them within 400 ms.
	require.LessOrEqual(t, waiting, 16)
	require.GreaterOrEqual(t, waiting, 8)
}

func TestSurgeOfOneServiceLeavesRoomForOthers(t *testing.T) {
	table := newTable(t, 1, 2, 2)
	l := newLimiter(table)
	l.MaxWaiting = 10
	fillSlots(t, l, 0, 1)
	fillSlots(t, l, 1, 1)
	for i := range 50 {
		l.Arrive(1, request(i, 0, 1_000))
	}
	for i := range 5 {
		got := l.Arrive(1, request(200+i, 1, 1_000))
		require.Len(t, got, 1)
		require.NotEqual(t, manager.RequestID(fmt.Sprint(200+i)), got[0].Request, "the surging service did not make room")
		require.Equal(t, manager.RunStateNotRun, got[0].Refusal.RunState)
	}
}

func TestSlotLingersAfterUnknownOutcome(t *testing.T) {
	table := newTable(t, 1, 1, 1)
	l := newLimiter(table)
	first := l.Arrive(1, request(1, 0, 1_000))
	require.Len(t, l.Arrive(1, request(2, 0, 1_000)), 1)
	require.Empty(t, l.Arrive(1, request(3, 0, 1_000)))
	o := succeeded(first[0], 10)
	o.RunState, o.Failed = manager.RunStateUnknown, true
	require.Empty(t, l.Finish(2, o), "the slot was used while the upstream may still run")
	require.Empty(t, l.Tick(200))
	require.Len(t, l.Tick(300), 1)
}

// BenchmarkDecision measures the decisions for one request with 10 upstreams per service.
func BenchmarkDecision(b *testing.B) {
	for _, services := range []int{6, 30, 150} {
		b.Run(fmt.Sprintf("upstreams=%d", 10*services), func(b *testing.B) {
			table := newTable(b, 1, services, 10)
			l := newLimiter(table)
			for i := range b.N {
				now := manager.Time(1 + i/100%2000)
				for _, d := range l.Arrive(now, request(i, i%services, now.Add(1_000))) {
					l.Finish(now, succeeded(d, 10))
				}
			}
		})
	}
}
