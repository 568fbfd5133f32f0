package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/logger"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// idlePause is the longest pause between two cycles, which check leases and held reports.
	idlePause = 40 * time.Millisecond
	// gatherPause lets events gather for one commit; each commit costs a sync on every replica.
	gatherPause = 6 * time.Millisecond
	// commitTimeout bounds the wait for a commit; a leader without a quorum steps down earlier.
	commitTimeout = 5 * time.Second
	// restartPause is the pause after a commit that failed: a full disk refuses each one at once.
	restartPause = 200 * manager.Millisecond
)

// outcome ends the wait of a call.
type outcome struct {
	reply manager.FleetReply
	err   error
}

// Leader runs the dispatcher while the local replica leads.
type Leader struct {
	Clock    manager.Clock
	Store    *storer.Replicated
	State    *recorder.State
	Options  dispatcher.Options
	Platform PlatformCaller
	// Wall returns the time of day.
	Wall func() manager.Time

	inbox   eventBox
	limiter orderLimiter
	// listFailures and adviceFailures bound the log lines about calls that fail again and again.
	listFailures   failureNotes
	adviceFailures failureNotes
	calls          map[dispatcher.CallID]chan outcome
	customers      meter.Customers
	current        *dispatcher.Dispatcher
	term           manager.Term
	// startAt is when a dispatcher may start again after a commit that failed.
	startAt manager.Time
	stop    chan struct{}
	done    chan struct{}
}

// Init prepares the leader; it must be called before any other method.
func (l *Leader) Init() {
	l.calls = map[dispatcher.CallID]chan outcome{}
	l.inbox.wake = make(chan struct{}, 1)
	l.limiter = orderLimiter{slots: make(chan struct{}, maxPlatformOrders), leads: l.holdsToken}
	l.stop, l.done = make(chan struct{}), make(chan struct{})
}

// Run processes events until Close.
func (l *Leader) Run() {
	defer close(l.done)
	t := time.NewTimer(idlePause)
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			l.endCalls("it is stopping")
			return
		case <-t.C:
		case <-l.inbox.wake:
			time.Sleep(gatherPause)
		}
		for l.runCycle() {
		}
		t.Reset(idlePause)
	}
}

// Close ends Run and every call.
func (l *Leader) Close() {
	close(l.stop)
	<-l.done
}

// PrepareStop refuses every call from now on, so that leadership can be transferred.
func (l *Leader) PrepareStop() { l.inbox.prepareStop() }

// Serving reports whether the local replica leads and a quorum has confirmed that recently.
func (l *Leader) Serving() bool {
	_, ok := l.leadership()
	return ok
}

// leadership returns the term if this replica is known to lead now.
func (l *Leader) leadership() (manager.Term, bool) {
	term, leads, confirmed := l.Store.Leadership()
	return term, leads && confirmed != 0 && l.Clock.Now().Sub(confirmed) < l.Store.ElectionTimeout() && !l.inbox.stopping()
}

// runCycle runs one cycle of the dispatcher and commits its changes. It reports whether there were any.
func (l *Leader) runCycle() bool {
	term, ok := l.leadership()
	if !ok {
		if _, leads, _ := l.Store.Leadership(); !leads || l.inbox.stopping() {
			l.endCalls("another replica leads")
		}
		return false
	}
	if l.term == term && l.Clock.Now() < l.startAt {
		return false
	}
	if l.current == nil || l.term != term {
		l.endCalls("a new term began")
		l.inbox.open()
		l.term = term
		l.Store.Inspect(func() {
			l.current = dispatcher.New(l.State, manager.FencingToken(term), l.Options, l.Clock.Now())
		})
		klog.InfoS(manager.LogDispatcherStarted, "Token", term, "Jobs", len(l.State.Active()))
	}
	events := l.takeEvents()
	var changes recorder.Changes
	var answers []dispatcher.Answer
	l.Store.Inspect(func() {
		l.current.SetWall(l.Clock.Now(), l.Wall())
		changes, answers = l.current.RunCycle(l.Clock.Now(), events)
		meter.StateBytes().Set(uint64(l.State.Bytes()))
	})
	if changes.Empty() {
		l.deliver(answers)
		l.performEffects()
		return false
	}
	l.deliver(answers)
	if err := l.commit(changes); err != nil {
		l.fail(err)
		return false
	}
	l.Store.Inspect(func() { answers = l.current.Committed(l.Clock.Now()) })
	l.deliver(answers)
	l.performEffects()
	return true
}

func (l *Leader) commit(c recorder.Changes) error {
	data, err := recorder.Encode(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	start := l.Clock.Now()
	err = l.Store.ProposeEntry(ctx, data)
	if manager.IsErrInvalid(err) {
		// No caller of the cycle is at fault, and nothing was proposed.
		err = manager.ErrUnavailable{Component: "log", Reason: err.Error()}
	}
	meter.CommitSeconds().Update(l.Clock.Now().Sub(start).Std().Seconds())
	return err
}

// fail ends the calls that wait for a commit that failed, and discards the dispatcher.
func (l *Leader) fail(err error) {
	klog.ErrorS(err, manager.LogChangesNotCommitted, "Token", l.term)
	forCommit, forOrders := l.current.PendingCalls()
	for _, t := range forCommit {
		l.end(t, outcome{err: err})
	}
	for _, t := range forOrders {
		l.end(t, outcome{err: manager.ErrNotLeader{}})
	}
	l.current = nil
	l.startAt = l.Clock.Now().Add(restartPause)
}

// endCalls ends every call and discards the dispatcher, as this replica does not lead.
func (l *Leader) endCalls(reason string) {
	for _, e := range l.inbox.takeAndClose() {
		l.calls[e.event.Call] = e.done
	}
	if l.current != nil {
		klog.InfoS(manager.LogDispatcherEnded, "Token", l.term, "Reason", reason)
		forCommit, _ := l.current.PendingCalls()
		for _, t := range forCommit {
			l.end(t, outcome{err: manager.ErrOutcomeUnknown{}})
		}
	}
	l.current = nil
	for t := range l.calls {
		l.end(t, outcome{err: manager.ErrNotLeader{}})
	}
}

func (l *Leader) takeEvents() []dispatcher.Event {
	list := l.inbox.takeCycle()
	events := make([]dispatcher.Event, len(list))
	for i, e := range list {
		events[i] = e.event
		if e.done != nil {
			l.calls[e.event.Call] = e.done
		}
	}
	return events
}

// deliver ends the calls that have an answer. Orders go out only while the leadership is known to hold.
func (l *Leader) deliver(answers []dispatcher.Answer) {
	if len(answers) == 0 {
		return
	}
	_, leads := l.leadership()
	for _, a := range answers {
		o := outcome{err: a.Err, reply: manager.FleetReply{Orders: a.Orders}}
		if a.Orders != nil && !leads {
			o = outcome{err: manager.ErrNotLeader{}}
		}
		l.end(a.Call, o)
	}
}

func (l *Leader) end(t dispatcher.CallID, o outcome) {
	done := l.calls[t]
	delete(l.calls, t)
	if done != nil {
		done <- o
	}
}

// performEffects writes the log lines of a cycle and makes its calls to the platform.
func (l *Leader) performEffects() {
	for _, n := range l.current.LogLines() {
		meter.Decisions(n.Message).Inc()
		l.countCustomer(n)
		if e := n.Ended; e != nil {
			meter.JobSeconds(e.Queue, e.State).Update(e.TookMs.Std().Seconds())
			if e.State == manager.GraphCompleted && !e.InTime {
				meter.JobsLate(e.Queue).Inc()
			}
		}
		if w := n.Waited; w != nil {
			meter.RackWaits(w.PaidOff).Inc()
		}
		fields := slices.Concat(n.Fields, []any{"Token", l.term})
		if n.Minor {
			klog.V(logger.Minor).InfoS(n.Message, fields...)
			continue
		}
		klog.InfoS(n.Message, fields...)
	}
	for _, d := range l.current.PlatformOrders() {
		go l.perform(d)
	}
	for _, r := range l.current.AdviceRequests() {
		go l.advise(r)
	}
	if l.current.WantsListing(l.Clock.Now()) {
		go l.list()
	}
}

// countCustomer counts what a log line says of a customer's job.
func (l *Leader) countCustomer(n dispatcher.LogLine) {
	if n.Customer == "" {
		return
	}
	l.Store.Inspect(func() { l.customers.Use(l.State.Configuration) })
	switch e := n.Ended; {
	case n.Message == manager.LogJobAccepted:
		l.customers.Count(n.Customer, meter.JobAccepted)
	case n.Message == manager.LogJobRefused:
		l.customers.Count(n.Customer, meter.JobRefused)
	case e == nil || e.State != manager.GraphCompleted:
	case e.InTime:
		l.customers.Count(n.Customer, meter.JobInTime)
	default:
		l.customers.Count(n.Customer, meter.JobLate)
	}
}
