package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	queue = manager.QueueID("quotes")
	pool  = manager.PoolID("pricing")
	other = manager.PoolID("cover")
	spare = manager.PoolID("ledger")
	// leaseEnd is when a lease has ended by a clock that is 2% slow, with the slack for rounding.
	leaseEnd = dispatcher.DefaultLease + dispatcher.DefaultLease*2/100 + 150
)

// fleet drives a dispatcher in virtual time; every step is committed at once unless held.
type fleet struct {
	t          *testing.T
	now        manager.Time
	book       *recorder.State
	d          *dispatcher.Dispatcher
	workers    []*standInWorker
	next       dispatcher.CallID
	events     []dispatcher.Event
	answers    map[dispatcher.CallID]dispatcher.Answer
	duties     []dispatcher.PlatformOrder
	answerDuty bool
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, now: 1_000_000, book: recorder.New(), answers: map[dispatcher.CallID]dispatcher.Answer{}}
	f.lead(1)
	f.send(dispatcher.Event{Configure: &manager.FleetConfiguration{
		Version: 1,
		Queues: []manager.QueueSettings{
			{Queue: queue, Host: "h", Prefix: "/q/", Pool: pool, TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 2},
			{Queue: "covers", Host: "h", Prefix: "/c/", Pool: other, TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 2},
		},
		Pools: []manager.PoolSettings{{Pool: pool}, {Pool: other}, {Pool: spare, Standby: true}},
	}})
	f.step()
	return f
}

// lead makes a new dispatcher, as after an election.
func (f *fleet) lead(token manager.OrderToken) {
	f.d = dispatcher.New(f.book, token, dispatcher.Options{}, f.now)
	for _, w := range f.workers {
		w.ticket, w.next = 0, f.now
	}
}

func (f *fleet) send(e dispatcher.Event) dispatcher.CallID {
	f.next++
	e.Call = f.next
	f.events = append(f.events, e)
	return f.next
}

func (f *fleet) take(list []dispatcher.Answer) {
	for _, a := range list {
		f.answers[a.Call] = a
	}
}

// step runs one step with its commit and hands the answers to the workers.
func (f *fleet) step() recorder.Changes {
	c, answers := f.d.RunCycle(f.now, f.events)
	f.events = nil
	f.take(answers)
	if !c.Empty() {
		f.book.Apply(c)
		f.take(f.d.Committed(f.now))
	}
	f.d.LogLines()
	for _, duty := range f.d.PlatformOrders() {
		f.duties = append(f.duties, duty)
		if f.answerDuty {
			f.end(duty.VM)
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: duty, Outcome: dispatcher.OutcomeAccepted}})
		}
	}
	for _, w := range f.workers {
		w.take()
	}
	return c
}

// end silences the worker of a VM that the platform takes down.
func (f *fleet) end(vm manager.VMID) {
	for _, w := range f.workers {
		w.silent = w.silent || w.report.VM == vm
	}
}

// run lets time pass in small steps, in which every worker reports.
func (f *fleet) run(d manager.Duration) {
	const tick = 50 * manager.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tick) {
		for _, w := range f.workers {
			w.tick()
		}
		for f.step(); len(f.events) > 0; {
			f.step()
		}
	}
}

func (f *fleet) submit(id manager.GraphID, steps ...manager.GraphStep) dispatcher.CallID {
	return f.send(dispatcher.Event{Submit: &manager.Graph{Graph: id, Queue: queue, Payload: "p", Steps: steps}})
}

func (f *fleet) state(id manager.GraphID) manager.GraphState { return f.book.Jobs[id].State }

// standInWorker follows orders: a finite task runs for its time, a lasting one until it is stopped.
type standInWorker struct {
	f        *fleet
	report   manager.WorkerReport
	work     manager.Duration
	fails    bool
	silent   bool
	runs     map[manager.TaskID]manager.Time
	numbers  map[manager.TaskID]manager.RunNumber
	ticket   dispatcher.CallID
	ends     uint64
	started  []manager.StartOrder
	reported manager.Time
	// next is when the next report is due; an end brings it forward.
	next manager.Time
	// leased workers end everything once their lease is over, by a clock that is slow by some percent.
	leased     bool
	slow       manager.Duration
	lease      manager.Time
	loseAnswer bool
}

// lapse ends everything whose lease is over.
func (w *standInWorker) lapse() {
	if !w.leased || w.f.now <= w.lease {
		return
	}
	for id := range w.runs {
		w.end(id, manager.RunLapsed)
	}
}

// crash begins another life, which knows nothing of before.
func (w *standInWorker) crash() {
	clear(w.runs)
	w.report.Life.Born, w.report.Sequence, w.report.Ended, w.ends = w.f.now, 0, nil, 0
	w.ticket, w.next = 0, w.f.now
}

func (f *fleet) worker(id manager.WorkerID, p manager.PoolID, cores manager.MilliCores) *standInWorker {
	w := &standInWorker{
		f: f, work: 1000, runs: map[manager.TaskID]manager.Time{}, numbers: map[manager.TaskID]manager.RunNumber{},
		report: manager.WorkerReport{
			Life: manager.WorkerLife{Worker: id, Born: f.now}, VM: manager.VMID("vm-" + id), Pool: p,
			Address:  manager.Address(fmt.Sprintf("10.0.0.%d:80", len(f.workers)+1)),
			Capacity: manager.Resources{ProcessorMilliCores: cores, MemoryMegaBytes: 1 << 20},
		},
	}
	f.workers = append(f.workers, w)
	return w
}

// tick ends what is over and reports, unless the latest report has no answer yet.
func (w *standInWorker) tick() {
	if w.silent {
		return
	}
	for id, at := range w.runs {
		j := w.f.book.Jobs[id.Graph]
		if w.f.now.Sub(at) >= w.work && (j == nil || !j.Lasting()) {
			how := manager.RunDone
			if w.fails {
				how = manager.RunFailed
			}
			w.end(id, how)
		}
	}
	if w.ticket == 0 && w.f.now >= w.next {
		w.send()
	}
}

func (w *standInWorker) end(id manager.TaskID, how manager.RunEnd) {
	w.ends++
	w.next = min(w.next, w.f.now.Add(50))
	w.report.Ended = append(w.report.Ended, manager.EndedRun{Number: w.ends, Task: id, Run: w.numbers[id], How: how})
	delete(w.runs, id)
}

func (w *standInWorker) send() {
	w.report.Sequence++
	w.reported = w.f.now
	r := w.report
	r.Ended = slices.Clone(r.Ended)
	for id := range w.runs {
		r.Running = append(r.Running, manager.RunningTask{Task: id, Run: w.numbers[id], Progress: 100})
	}
	slices.SortFunc(r.Running, func(a, b manager.RunningTask) int { return a.Task.Task - b.Task.Task })
	w.ticket = w.f.send(dispatcher.Event{Report: &r})
}

// take follows the answer to the latest report.
func (w *standInWorker) take() {
	a, ok := w.f.answers[w.ticket]
	if !ok || w.ticket == 0 {
		return
	}
	w.ticket = 0
	if a.Orders == nil {
		return
	}
	if w.silent || w.loseAnswer {
		w.loseAnswer = false
		return
	}
	if a.Orders.LeaseMs > 0 {
		w.lease = max(w.lease, w.reported.Add(a.Orders.LeaseMs+a.Orders.LeaseMs*w.slow/100))
	}
	w.report.Ended = slices.DeleteFunc(w.report.Ended, func(e manager.EndedRun) bool { return e.Number <= a.Orders.AckedEnds })
	w.next = w.f.now.Add(a.Orders.NextMs)
	for _, s := range a.Orders.Start {
		_, again := w.runs[s.Task]
		require.False(w.f.t, again && w.numbers[s.Task] != s.Run, "a task runs twice on one worker")
		w.runs[s.Task], w.numbers[s.Task] = w.f.now, s.Run
		w.started = append(w.started, s)
	}
	for _, s := range a.Orders.Stop {
		if _, ok := w.runs[s.Task]; ok {
			w.end(s.Task, manager.RunStopped)
		}
	}
}

func task(cores manager.MilliCores, count int) manager.GraphStep {
	return manager.GraphStep{Count: count, EstimateMs: 1000, Room: manager.Resources{ProcessorMilliCores: cores, MemoryMegaBytes: 100}}
}

func lasting(cores manager.MilliCores, count, unavailable int) manager.GraphStep {
	s := task(cores, count)
	s.Lasting, s.MaxUnavailable, s.MaxPerWorker = true, unavailable, 1
	return s
}
