package limiter

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// DefaultQueueLength limits the number of waiting requests of one service at one gateway.
const DefaultQueueLength = 100

// Fixed is a baseline Limiter: it has a queue of fixed length for each service, and uses all slots of an
// upstream as if there were no other gateway.
type Fixed struct {
	Registrar manager.Registrar
	Router    manager.Router
	// QueueLength limits the number of waiting requests of one service.
	QueueLength int

	queues  map[manager.ServiceID][]queuedRequest
	inUse   map[manager.UpstreamID]int
	running map[manager.RequestID]manager.Member
}

type queuedRequest struct {
	request  manager.Request
	queuedAt manager.Time
}

var _ manager.Limiter = (*Fixed)(nil)

func (l *Fixed) init() {
	if l.queues != nil {
		return
	}
	l.queues = map[manager.ServiceID][]queuedRequest{}
	l.inUse = map[manager.UpstreamID]int{}
	l.running = map[manager.RequestID]manager.Member{}
	if l.QueueLength == 0 {
		l.QueueLength = DefaultQueueLength
	}
}

// Arrive queues a new request, dispatches it or refuses it.
func (l *Fixed) Arrive(now manager.Time, r manager.Request) []manager.Decision {
	l.init()
	if len(l.queues[r.Service]) >= l.QueueLength {
		return []manager.Decision{refuse(r.Request, manager.RefusalOverloaded, "the queue is full", 0)}
	}
	l.queues[r.Service] = append(l.queues[r.Service], queuedRequest{request: r, queuedAt: now})
	return l.dispatch(now, r.Service)
}

// Finish processes the outcome of a dispatched request and releases its slot.
func (l *Fixed) Finish(now manager.Time, o manager.Outcome) []manager.Decision {
	l.init()
	m, ok := l.running[o.Request]
	if !ok {
		return nil
	}
	delete(l.running, o.Request)
	l.inUse[m.Upstream]--
	if l.inUse[m.Upstream] == 0 {
		delete(l.inUse, m.Upstream)
	}
	l.Router.Observe(now, o)
	return l.dispatch(now, m.Service)
}

// Cancel removes a waiting request whose caller disconnected.
func (l *Fixed) Cancel(_ manager.Time, id manager.RequestID) []manager.Decision {
	for s, queue := range l.queues {
		l.queues[s] = slices.DeleteFunc(queue, func(w queuedRequest) bool { return w.request.Request == id })
	}
	return nil
}

// Tick refuses requests whose deadline has passed and dispatches others to new members.
func (l *Fixed) Tick(now manager.Time) []manager.Decision {
	l.init()
	services := make([]manager.ServiceID, 0, len(l.queues))
	for s := range l.queues {
		services = append(services, s)
	}
	slices.Sort(services)
	var decisions []manager.Decision
	for _, s := range services {
		decisions = append(decisions, l.dispatch(now, s)...)
	}
	return decisions
}

func (l *Fixed) dispatch(now manager.Time, s manager.ServiceID) []manager.Decision {
	var decisions []manager.Decision
	queue := l.queues[s]
	for len(queue) > 0 {
		head := queue[0]
		if head.request.Deadline <= now {
			decisions = append(decisions, refuse(head.request.Request, manager.RefusalDeadline, "the deadline passed while waiting", now.Sub(head.queuedAt)))
			queue = queue[1:]
			continue
		}
		m, ok := l.pick(now, head.request)
		if !ok {
			break
		}
		decisions = append(decisions, manager.Decision{
			Request: head.request.Request, Kind: manager.DecisionDispatch, Member: m, WaitedMs: now.Sub(head.queuedAt),
		})
		queue = queue[1:]
	}
	l.queues[s] = queue
	return decisions
}

func (l *Fixed) pick(now manager.Time, r manager.Request) (manager.Member, bool) {
	var free []manager.Candidate
	for _, m := range l.Registrar.Ready(now, r.Service) {
		if l.inUse[m.Upstream] < int(m.Slots) {
			free = append(free, manager.Candidate{Member: m, InUse: l.inUse[m.Upstream], Share: m.Slots})
		}
	}
	id, ok := l.Router.Pick(now, r, free)
	if !ok {
		return manager.Member{}, false
	}
	i := slices.IndexFunc(free, func(c manager.Candidate) bool { return c.Member.Upstream == id })
	l.inUse[id]++
	l.running[r.Request] = free[i].Member
	return free[i].Member, true
}

func refuse(id manager.RequestID, code manager.RefusalCode, message string, waited manager.Duration) manager.Decision {
	const retryAfter = 1 * manager.Second
	return manager.Decision{
		Request: id,
		Kind:    manager.DecisionRefuse,
		Refusal: manager.Refusal{
			Code: code, Message: message, RunState: manager.RunStateNotRun, RetryAfterMs: retryAfter,
		},
		WaitedMs: waited,
	}
}
