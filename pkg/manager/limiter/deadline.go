package limiter

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultMaxWaiting limits the number of requests that wait at one gateway, and thereby their memory.
	DefaultMaxWaiting = 4096
	// DefaultMaxWait limits the time of a request in the queue, in milliseconds.
	DefaultMaxWait = 5 * manager.Second
	// noSlotTimeout is how long a request waits while no request of its service runs at this gateway. It
	// covers the start of a gateway and the announcement of an upstream.
	noSlotTimeout = 1 * manager.Second
	// cleanupInterval is the interval between two searches for unused services. The queue of a service
	// name that a caller made up is kept for this long.
	cleanupInterval = 1 * manager.Second
	// admitQuantile is the quantile of the service time that must fit before the deadline of a request
	// after its expected wait, so that the request is admitted to the queue.
	admitQuantile = 0.99
	// startQuantile is the quantile of the service time that must fit before the deadline of a request
	// when it arrives and when it starts; the request is refused otherwise.
	startQuantile = 0.9
	// lingerTime is how long a slot stays occupied after an exchange without a complete answer, as the
	// upstream stops the work only when it notices that the connection was closed.
	lingerTime = 250 * manager.Millisecond
)

// Deadline is a Limiter that schedules the earliest deadline first. It immediately refuses requests
// that would wait too long to be answered by their deadline.
type Deadline struct {
	Registrar manager.Registrar
	Router    manager.Router
	Slots     manager.SlotSource
	// MaxWaiting limits the number of waiting requests of all services. At the limit, a request of the
	// longest queue is refused.
	MaxWaiting int
	// MaxWait limits the time of a request in the queue, in milliseconds.
	MaxWait manager.Duration

	services   map[manager.ServiceID]*service
	serviceIDs []manager.ServiceID
	entries    map[manager.RequestID]*entry
	running    map[manager.RequestID]manager.Member
	// lingering are the slots to release later, ordered by time.
	lingering    []lingeringSlot
	arrivals     uint64
	firstService int
	// nextCleanup is when unused services are removed next.
	nextCleanup manager.Time
}

// lingeringSlot is a slot whose request may still run at the upstream.
type lingeringSlot struct {
	request manager.RequestID
	until   manager.Time
}

// service is the state of one service at this gateway.
type service struct {
	id      manager.ServiceID
	queue   deadlineQueue
	times   estimator
	running int
	inUse   map[manager.UpstreamID]int
}

var _ manager.Limiter = (*Deadline)(nil)

func (l *Deadline) init() {
	if l.services != nil {
		return
	}
	l.services = map[manager.ServiceID]*service{}
	l.entries = map[manager.RequestID]*entry{}
	l.running = map[manager.RequestID]manager.Member{}
	if l.MaxWaiting == 0 {
		l.MaxWaiting = DefaultMaxWaiting
	}
	if l.MaxWait == 0 {
		l.MaxWait = DefaultMaxWait
	}
}

// serviceFor returns the state of a service and creates it if necessary. Callers choose the service
// names, so Tick removes services that have neither requests nor upstreams.
func (l *Deadline) serviceFor(id manager.ServiceID) *service {
	s := l.services[id]
	if s == nil {
		s = &service{id: id, inUse: map[manager.UpstreamID]int{}}
		l.services[id] = s
		i, _ := slices.BinarySearch(l.serviceIDs, id)
		l.serviceIDs = slices.Insert(l.serviceIDs, i, id)
	}
	return s
}

// Arrive queues a new request, dispatches it or refuses it.
func (l *Deadline) Arrive(now manager.Time, r manager.Request) []manager.Decision {
	l.init()
	s := l.serviceFor(r.Service)
	if r.Deadline.Sub(now) <= s.times.quantile(startQuantile) {
		return []manager.Decision{refuse(r.Request, manager.RefusalDeadline, "the service may need more time than is left until the deadline", 0)}
	}
	var decisions []manager.Decision
	if len(l.entries) >= l.MaxWaiting {
		refused, room := l.makeRoom(now, s)
		decisions = append(decisions, refused...)
		if !room {
			return append(decisions, l.refuseOverloaded(s, r.Request, 0))
		}
	}
	l.arrivals++
	e := s.queue.add(r, now, l.arrivals)
	l.entries[r.Request] = e
	decisions = append(decisions, l.dispatch(now, s)...)
	if l.entries[r.Request] == e && !l.meetsDeadline(now, s, e) {
		l.remove(s, e)
		decisions = append(decisions, l.refuseOverloaded(s, r.Request, 0))
	}
	return decisions
}

// makeRoom refuses the last request of the longest queue and reports whether it did so. It refuses none
// if the longest queue is that of s.
func (l *Deadline) makeRoom(now manager.Time, s *service) ([]manager.Decision, bool) {
	longest := s
	for _, id := range l.serviceIDs {
		if other := l.services[id]; len(other.queue) > len(longest.queue) {
			longest = other
		}
	}
	if longest == s {
		return nil, false
	}
	e := longest.queue.last()
	l.remove(longest, e)
	return []manager.Decision{l.refuseOverloaded(longest, e.request.Request, now.Sub(e.queuedAt))}, true
}

func (l *Deadline) refuseOverloaded(s *service, id manager.RequestID, waited manager.Duration) manager.Decision {
	d := refuse(id, manager.RefusalOverloaded, "the queue is too long to answer the request by its deadline", waited)
	d.Refusal.RetryAfterMs = max(s.expectedWait(len(s.queue)), d.Refusal.RetryAfterMs)
	return d
}

// expectedWait returns how long a request is expected to wait behind n others.
func (s *service) expectedWait(n int) manager.Duration {
	if s.running == 0 {
		return 0
	}
	return s.times.mean() * manager.Duration(n+1) / manager.Duration(s.running)
}

// meetsDeadline reports whether a waiting request is likely to be answered by its deadline.
func (l *Deadline) meetsDeadline(now manager.Time, s *service, e *entry) bool {
	wait := s.expectedWait(s.queue.position(e))
	return wait <= l.MaxWait && now.Add(wait+s.times.quantile(admitQuantile)) <= e.request.Deadline
}

func (l *Deadline) remove(s *service, e *entry) {
	s.queue.remove(e)
	delete(l.entries, e.request.Request)
}

// Finish processes the outcome of a dispatched request and releases its slot.
func (l *Deadline) Finish(now manager.Time, o manager.Outcome) []manager.Decision {
	l.init()
	m, ok := l.running[o.Request]
	if !ok {
		return nil
	}
	delete(l.running, o.Request)
	if o.RunState == manager.RunStateUnknown {
		l.lingering = append(l.lingering, lingeringSlot{request: o.Request, until: now.Add(lingerTime)})
	} else {
		l.Slots.Release(now, o.Request)
	}
	s := l.serviceFor(m.Service)
	s.running--
	s.inUse[m.Upstream]--
	if s.inUse[m.Upstream] == 0 {
		delete(s.inUse, m.Upstream)
	}
	if !o.Failed && o.RunState == manager.RunStateRan {
		s.times.add(o.DurationMs)
	}
	l.Router.Observe(now, o)
	return l.dispatch(now, s)
}

// Cancel removes a waiting request whose caller disconnected.
func (l *Deadline) Cancel(_ manager.Time, id manager.RequestID) []manager.Decision {
	if e, ok := l.entries[id]; ok {
		l.remove(l.services[e.request.Service], e)
	}
	return nil
}

// Tick refuses requests that have waited too long and dispatches others to new members and slots. It
// starts with another service each time, so that none always comes first.
func (l *Deadline) Tick(now manager.Time) []manager.Decision {
	l.init()
	for len(l.lingering) > 0 && l.lingering[0].until <= now {
		l.Slots.Release(now, l.lingering[0].request)
		l.lingering = l.lingering[1:]
	}
	var decisions []manager.Decision
	for _, id := range l.Slots.Revoked(now) {
		decisions = append(decisions, manager.Decision{Request: id, Kind: manager.DecisionAbort})
	}
	l.firstService++
	n := len(l.serviceIDs)
	for i := range n {
		s := l.services[l.serviceIDs[(l.firstService+i)%n]]
		decisions = append(decisions, l.dispatch(now, s)...)
	}
	l.removeUnusedServices(now)
	return decisions
}

// removeUnusedServices removes services that have neither upstreams nor requests. It runs only once per
// cleanupInterval, because it reads the membership of every service.
func (l *Deadline) removeUnusedServices(now manager.Time) {
	if now < l.nextCleanup {
		return
	}
	l.nextCleanup = now.Add(cleanupInterval)
	l.serviceIDs = slices.DeleteFunc(l.serviceIDs, func(id manager.ServiceID) bool {
		s := l.services[id]
		if len(s.queue) > 0 || s.running > 0 || len(l.Registrar.Ready(now, id)) > 0 {
			return false
		}
		delete(l.services, id)
		return true
	})
}

func (l *Deadline) dispatch(now manager.Time, s *service) []manager.Decision {
	var decisions []manager.Decision
	for len(s.queue) > 0 {
		head := s.queue[0]
		if code, message := l.refusalFor(now, s, head); code != "" {
			l.remove(s, head)
			decisions = append(decisions, refuse(head.request.Request, code, message, now.Sub(head.queuedAt)))
			continue
		}
		m, ok := l.pick(now, s, head.request)
		if !ok {
			l.Slots.SetDemand(now, manager.SlotDemand{
				Service: s.id, Count: len(s.queue), Until: head.request.Deadline.Add(lingerTime), WaitMs: s.expectedWait(len(s.queue)),
			})
			break
		}
		l.remove(s, head)
		decisions = append(decisions, manager.Decision{
			Request: head.request.Request, Kind: manager.DecisionDispatch, Member: m, WaitedMs: now.Sub(head.queuedAt),
		})
	}
	if len(s.queue) == 0 {
		l.Slots.SetDemand(now, manager.SlotDemand{Service: s.id})
	}
	return decisions
}

// refusalFor returns why a waiting request must be refused, or an empty code.
func (l *Deadline) refusalFor(now manager.Time, s *service, e *entry) (manager.RefusalCode, string) {
	waited := now.Sub(e.queuedAt)
	switch {
	case e.request.Deadline.Sub(now) <= s.times.quantile(startQuantile):
		return manager.RefusalDeadline, "too little time was left until the deadline after waiting"
	case waited > l.MaxWait:
		return manager.RefusalOverloaded, "no slot became free in time"
	case s.running == 0 && waited > noSlotTimeout && len(l.Registrar.Ready(now, s.id)) == 0:
		return manager.RefusalNoUpstream, "no upstream of the service is ready"
	case s.running == 0 && waited > noSlotTimeout:
		return manager.RefusalOverloaded, "this gateway has no slot of the service"
	}
	return "", ""
}

// pick takes a slot of the upstream that the router picks.
func (l *Deadline) pick(now manager.Time, s *service, r manager.Request) (manager.Member, bool) {
	var free []manager.Candidate
	for _, m := range l.Registrar.Ready(now, r.Service) {
		if n := l.Slots.Available(now, m, r.Deadline.Add(lingerTime)); n > 0 {
			inUse := s.inUse[m.Upstream]
			free = append(free, manager.Candidate{Member: m, InUse: inUse, Share: manager.Slots(inUse + n)})
		}
	}
	id, ok := l.Router.Pick(now, r, free)
	if !ok {
		return manager.Member{}, false
	}
	i := slices.IndexFunc(free, func(c manager.Candidate) bool { return c.Member.Upstream == id })
	m := free[i].Member
	if !l.Slots.Acquire(now, r.Request, m, r.Deadline.Add(lingerTime)) {
		return manager.Member{}, false
	}
	s.running++
	s.inUse[id]++
	l.running[r.Request] = m
	return m, true
}
