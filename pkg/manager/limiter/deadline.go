package limiter

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// DefaultMaxWaiting bounds the requests that wait at one gateway, and so their memory.
	DefaultMaxWaiting = 4096
	// DefaultMaxWait bounds a request's time in the queue, in milliseconds.
	DefaultMaxWait = 5 * manager.Second
	// emptyWait is how long a request waits for a first slot of its service; it covers the start of a
	// gateway and an upstream's announcement.
	emptyWait = 1 * manager.Second
	// forgetPeriod is the pause between two looks for services without upstreams; the queues of names
	// that callers invent are kept for this long.
	forgetPeriod = 1 * manager.Second
	// tailShare is the share of service times that a request admitted to the queue leaves room for.
	tailShare = 0.99
	// typicalShare is the share of service times for which a request must still have time when it
	// starts; it is refused otherwise.
	typicalShare = 0.9
	// lingerTime is how long a slot stays taken after an exchange that got no whole answer: the
	// upstream stops the work when it sees the connection close.
	lingerTime = 250 * manager.Millisecond
)

// Deadline is a Limiter whose queues are bounded in time: it refuses at once what would wait too
// long to be answered by its deadline, and serves the earliest deadline first.
type Deadline struct {
	Registrar manager.Registrar
	Router    manager.Router
	Slots     manager.SlotSource
	// MaxWaiting bounds the waiting requests of all services together; the longest queue yields.
	MaxWaiting int
	// MaxWait bounds a request's time in the queue, in milliseconds.
	MaxWait manager.Duration

	services map[manager.ServiceID]*service
	order    []manager.ServiceID
	entries  map[manager.RequestID]*entry
	running  map[manager.RequestID]manager.Member
	// lingering are the slots to give back later, in the order of their times.
	lingering []lingerer
	arrived   uint64
	turn      int
	// forgetAt is when the queues of services without upstreams are dropped next.
	forgetAt manager.Time
}

// lingerer is a slot whose request may still run.
type lingerer struct {
	request manager.RequestID
	until   manager.Time
}

// service is the queue of one service at this gateway.
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

// of returns the queue of a service. Callers choose the names, so a queue that is empty and whose
// service has no upstream is forgotten by Tick.
func (l *Deadline) of(id manager.ServiceID) *service {
	s := l.services[id]
	if s == nil {
		s = &service{id: id, inUse: map[manager.UpstreamID]int{}}
		l.services[id] = s
		i, _ := slices.BinarySearch(l.order, id)
		l.order = slices.Insert(l.order, i, id)
	}
	return s
}

// Arrive takes a new request.
func (l *Deadline) Arrive(now manager.Time, r manager.Request) []manager.Decision {
	l.init()
	s := l.of(r.Service)
	if r.Deadline.Sub(now) <= s.times.quantile(typicalShare) {
		return []manager.Decision{refuse(r.Request, manager.RefusalDeadline, "the service takes longer than the deadline leaves", 0)}
	}
	var decisions []manager.Decision
	if len(l.entries) >= l.MaxWaiting {
		refused, room := l.makeRoom(now, s)
		decisions = append(decisions, refused...)
		if !room {
			return append(decisions, l.refuseFull(s, r.Request, 0))
		}
	}
	l.arrived++
	e := s.queue.add(r, now, l.arrived)
	l.entries[r.Request] = e
	decisions = append(decisions, l.dispatch(now, s)...)
	if l.entries[r.Request] == e && !l.inTime(now, s, e) {
		l.drop(s, e)
		decisions = append(decisions, l.refuseFull(s, r.Request, 0))
	}
	return decisions
}

// makeRoom refuses the last request of the longest queue, unless that is the queue of s.
func (l *Deadline) makeRoom(now manager.Time, s *service) ([]manager.Decision, bool) {
	longest := s
	for _, id := range l.order {
		if other := l.services[id]; len(other.queue) > len(longest.queue) {
			longest = other
		}
	}
	if longest == s {
		return nil, false
	}
	e := longest.queue.last()
	l.drop(longest, e)
	return []manager.Decision{l.refuseFull(longest, e.request.Request, now.Sub(e.since))}, true
}

func (l *Deadline) refuseFull(s *service, id manager.RequestID, waited manager.Duration) manager.Decision {
	d := refuse(id, manager.RefusalOverloaded, "the queue is longer than the deadline leaves time for", waited)
	d.Refusal.RetryAfterMs = max(s.wait(len(s.queue)), d.Refusal.RetryAfterMs)
	return d
}

// wait returns how long a request waits behind n others.
func (s *service) wait(n int) manager.Duration {
	if s.running == 0 {
		return 0
	}
	return s.times.mean() * manager.Duration(n+1) / manager.Duration(s.running)
}

// inTime tells whether a request that has to wait is likely answered by its deadline.
func (l *Deadline) inTime(now manager.Time, s *service, e *entry) bool {
	wait := s.wait(s.queue.ahead(e))
	return wait <= l.MaxWait && now.Add(wait+s.times.quantile(tailShare)) <= e.request.Deadline
}

func (l *Deadline) drop(s *service, e *entry) {
	s.queue.remove(e)
	delete(l.entries, e.request.Request)
}

// Finish gives the slot of a dispatched request back.
func (l *Deadline) Finish(now manager.Time, o manager.Outcome) []manager.Decision {
	l.init()
	m, ok := l.running[o.Request]
	if !ok {
		return nil
	}
	delete(l.running, o.Request)
	if o.RunState == manager.RunStateUnknown {
		l.lingering = append(l.lingering, lingerer{request: o.Request, until: now.Add(lingerTime)})
	} else {
		l.Slots.Release(now, o.Request)
	}
	s := l.of(m.Service)
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

// Cancel forgets a waiting request whose caller went away.
func (l *Deadline) Cancel(_ manager.Time, id manager.RequestID) []manager.Decision {
	if e, ok := l.entries[id]; ok {
		l.drop(l.services[e.request.Service], e)
	}
	return nil
}

// Tick refuses what waited too long and dispatches to new members and slots; it starts with another
// service each time, so that none is always first.
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
	l.turn++
	n := len(l.order)
	for i := range n {
		s := l.services[l.order[(l.turn+i)%n]]
		decisions = append(decisions, l.dispatch(now, s)...)
	}
	l.forget(now)
	return decisions
}

// forget drops the queues of services that have no upstream and no request, once in a while, as it
// reads the membership of every service.
func (l *Deadline) forget(now manager.Time) {
	if now < l.forgetAt {
		return
	}
	l.forgetAt = now.Add(forgetPeriod)
	l.order = slices.DeleteFunc(l.order, func(id manager.ServiceID) bool {
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
		if code, message := l.overdue(now, s, head); code != "" {
			l.drop(s, head)
			decisions = append(decisions, refuse(head.request.Request, code, message, now.Sub(head.since)))
			continue
		}
		m, ok := l.pick(now, s, head.request)
		if !ok {
			l.Slots.SetDemand(now, manager.SlotDemand{
				Service: s.id, Count: len(s.queue), Until: head.request.Deadline.Add(lingerTime), WaitMs: s.wait(len(s.queue)),
			})
			break
		}
		l.drop(s, head)
		decisions = append(decisions, manager.Decision{
			Request: head.request.Request, Kind: manager.DecisionDispatch, Member: m, WaitedMs: now.Sub(head.since),
		})
	}
	if len(s.queue) == 0 {
		l.Slots.SetDemand(now, manager.SlotDemand{Service: s.id})
	}
	return decisions
}

// overdue returns why a waiting request can't be answered in time any more, or an empty code.
func (l *Deadline) overdue(now manager.Time, s *service, e *entry) (manager.RefusalCode, string) {
	waited := now.Sub(e.since)
	switch {
	case e.request.Deadline.Sub(now) <= s.times.quantile(typicalShare):
		return manager.RefusalDeadline, "the deadline came too near while waiting"
	case waited > l.MaxWait:
		return manager.RefusalOverloaded, "no slot came free in time"
	case s.running == 0 && waited > emptyWait && len(l.Registrar.Ready(now, s.id)) == 0:
		return manager.RefusalNoUpstream, "no upstream of the service is ready"
	case s.running == 0 && waited > emptyWait:
		return manager.RefusalOverloaded, "this gateway has no slot of the service"
	}
	return "", ""
}

// pick takes a slot of the upstream that the router chooses.
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
