package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// CallID names a caller that waits for an answer.
type CallID uint64

// Event is something that a caller brings; exactly one body is set.
type Event struct {
	Call CallID
	Report *manager.WorkerReport
	// Forwarded says that another node brought the report and keeps a connection until it is answered.
	Forwarded bool
	Leave     *manager.WorkerLife
	Submit    *manager.Graph
	Cancel    *manager.GraphID
	Configure *manager.FleetConfiguration
	Wave      *manager.UpkeepWave
	Platform      *PlatformResult
	Listing   *Listing
	Advice    *AdviceResult
}

// Answer ends the wait of a caller.
type Answer struct {
	Call CallID
	// Orders answer a worker's report.
	Orders *manager.WorkerOrders
	// Err is the refusal of anything else, nil where it was taken.
	Err error
}

// Options bound the dispatcher; zero fields get the defaults.
type Options struct {
	// LeaseMs is the time that a worker goes on without being heard.
	LeaseMs manager.Duration
	// IdlePollMs and ParkBusyMs are how long a report waits for an order: the first at a worker
	// without finite tasks, the second at one whose tasks may end meanwhile.
	IdlePollMs manager.Duration
	BusyPollMs manager.Duration
	// NextMs is the pause between the reports of a worker without room.
	NextMs manager.Duration
	// StopMs bounds the time that a worker takes to stop a run.
	StopMs manager.Duration
	// OrderGapMs is the least time between the orders of two dispatchers for one VM.
	OrderGapMs manager.Duration
	// Address is where workers reach this dispatcher.
	Address manager.Address
	// MaxDirect bounds the workers that are asked to report here; the others report to any node, and their
	// reports wait for no order. 0 sets no bound.
	MaxDirect int
}

// Defaults of Options.
const (
	// DefaultLease outlives an election and a restart of all replicas within a second, each with the reports that
	// follow; what a lost worker held waits for as long.
	DefaultLease    = 4 * manager.Second
	DefaultIdlePoll = 600 * manager.Millisecond
	DefaultBusyPoll = 150 * manager.Millisecond
	DefaultNext     = 300 * manager.Millisecond
	DefaultStop     = 900 * manager.Millisecond
	DefaultOrderGap  = 3 * manager.Second
)

// Dispatcher is not safe for concurrent use; a new leader makes a new one.
type Dispatcher struct {
	State *recorder.State
	// Token is the fencing token of this dispatcher's orders.
	Token   manager.OrderToken
	Options Options
	StartedAt   manager.Time

	workers map[manager.WorkerID]*worker
	// byVM is the latest life of each VM.
	byVM map[manager.VMID]*worker
	// byAddress is the latest life at each address.
	byAddress map[manager.Address]*worker
	waiting   []waitingCaller
	// refused remembers refused jobs, so that a delayed copy of a refused submit is refused too.
	refused  map[manager.GraphID]manager.Time
	times    estimator
	upkeep   upkeep
	notes    []LogLine
	inFlight recorder.Changes
	duties   []PlatformOrder
	// bookAt is the book's time at the takeover, and unsettled the VMs whose orders had no outcome then.
	bookAt    manager.Time
	unsettled map[manager.VMID]bool
	// backlog are the pools in which a ready task found no worker at the latest step.
	backlog  map[manager.PoolID]bool
	lending  lending
	schedule schedule
	advice   advice
	// direct counts the workers that report here.
	direct int
	// expiredAt is when leases that have ended were looked for last.
	expiredAt manager.Time
	// poolRoom caches the room of each pool during a step.
	poolRoom map[manager.PoolID]manager.Resources
	// inOrder caches the workers in the order of their ids, byPool the active jobs of each pool during a step.
	inOrder []*worker
	byPool  map[manager.PoolID][]*recorder.Job
}

// waitingCaller waits for the commit of the changes in flight.
type waitingCaller struct {
	ticket CallID
	err    error
}

// LogLine is a decision for the log.
type LogLine struct {
	Message string
	Fields  []any
	// Minor notes are the first to go where the log can't keep up.
	Minor bool
	// Ended is set for a job that is over.
	Ended *EndedJob
}

// EndedJob is what is counted of a job that is over.
type EndedJob struct {
	Queue  manager.QueueID
	State  manager.GraphState
	TookMs manager.Duration
	InTime bool
}

// New returns a dispatcher for a leader's term.
func New(b *recorder.State, token manager.OrderToken, o Options, now manager.Time) *Dispatcher {
	orDefault(&o.LeaseMs, DefaultLease)
	orDefault(&o.IdlePollMs, DefaultIdlePoll)
	orDefault(&o.BusyPollMs, DefaultBusyPoll)
	orDefault(&o.NextMs, DefaultNext)
	orDefault(&o.StopMs, DefaultStop)
	orDefault(&o.OrderGapMs, DefaultOrderGap)
	return &Dispatcher{
		State: b, Token: token, Options: o, StartedAt: now,
		workers: map[manager.WorkerID]*worker{}, byVM: map[manager.VMID]*worker{},
		byAddress: map[manager.Address]*worker{}, refused: map[manager.GraphID]manager.Time{},
		times: estimator{book: b}, bookAt: b.At, unsettled: unsettled(b),
	}
}

func orDefault(v *manager.Duration, d manager.Duration) {
	if *v == 0 {
		*v = d
	}
}

// RunCycle takes events and returns the changes to commit, and the answers that need no commit. Committed
// or Abandoned must follow before the next RunCycle.
func (d *Dispatcher) RunCycle(now manager.Time, events []Event) (recorder.Changes, []Answer) {
	c := recorder.Changes{At: now}
	d.poolRoom = nil
	var answers []Answer
	for _, e := range events {
		answers = append(answers, d.take(now, e, &c)...)
	}
	d.poolRoom = nil
	d.stepSchedule(&c)
	d.groupJobs()
	d.expire(now, &c)
	d.stepUpkeep(now, &c)
	d.stepLending(now, &c)
	d.place(now, &c)
	d.noteChanged(&c)
	d.inFlight = c
	if c.Empty() {
		answers = append(answers, d.answerWorkers(now)...)
	}
	return c, answers
}

func (d *Dispatcher) take(now manager.Time, e Event, c *recorder.Changes) []Answer {
	switch {
	case e.Report != nil:
		return d.report(now, e, c)
	case e.Leave != nil:
		d.leave(*e.Leave, c)
	case e.Submit != nil:
		return d.submit(now, e.Call, *e.Submit, c)
	case e.Cancel != nil:
		return d.cancel(e.Call, *e.Cancel, c)
	case e.Configure != nil:
		return d.configure(e.Call, e.Configure, c)
	case e.Wave != nil:
		return d.wave(e.Call, *e.Wave, c)
	case e.Platform != nil:
		d.takeDuty(now, *e.Platform, c)
	case e.Listing != nil:
		d.takeListing(*e.Listing, c)
	case e.Advice != nil:
		d.takeAdvice(now, *e.Advice)
	}
	return []Answer{{Call: e.Call}}
}

// Committed says that the changes of the latest Step are applied to the book.
func (d *Dispatcher) Committed(now manager.Time) []Answer {
	var answers []Answer
	for _, w := range d.waiting {
		answers = append(answers, Answer{Call: w.ticket, Err: w.err})
	}
	d.waiting = nil
	d.confirmDuties()
	d.notePlaced(now)
	d.noteEnded()
	d.inFlight = recorder.Changes{}
	return append(answers, d.answerWorkers(now)...)
}

// PendingCalls returns those that wait for a commit or an order; a dispatcher that steps down ends them.
func (d *Dispatcher) PendingCalls() (forCommit, forOrders []CallID) {
	for _, w := range d.waiting {
		forCommit = append(forCommit, w.ticket)
	}
	for _, w := range d.sorted() {
		if w.parked {
			forOrders = append(forOrders, w.ticket)
		}
	}
	return forCommit, forOrders
}

// PlatformOrders returns the calls to the platform that the latest commit allows.
func (d *Dispatcher) PlatformOrders() []PlatformOrder {
	list := d.duties
	d.duties = nil
	return list
}

// LogLines returns the decisions since the last call.
func (d *Dispatcher) LogLines() []LogLine {
	list := d.notes
	d.notes = nil
	return list
}

func (d *Dispatcher) note(message string, fields ...any) {
	d.notes = append(d.notes, LogLine{Message: message, Fields: fields})
}

func (d *Dispatcher) minor(message string, fields ...any) {
	d.notes = append(d.notes, LogLine{Message: message, Fields: fields, Minor: true})
}

// notePlaced logs the starts of the latest commit, with the age of the reports they rest on.
func (d *Dispatcher) notePlaced(now manager.Time) {
	for _, s := range d.inFlight.Start {
		d.touch(s.Instance)
		age := manager.Duration(-1)
		if w := d.workers[s.Instance.Worker]; w != nil {
			age = now.Sub(w.heardAt)
		}
		d.minor(manager.LogTaskPlaced, "RequestID", s.Task.Graph, "Task", s.Task, "Run", s.Run, "Worker", s.Instance.Worker, "ReportAgeMs", age)
	}
}

// touchRuns asks for new orders for the workers that still run something of an ended job.
func (d *Dispatcher) touchRuns(j *recorder.Job) {
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Open != nil {
				d.touch(t.Open.Instance)
			}
		}
	}
}

// noteEnded logs the jobs that the latest commit has ended.
func (d *Dispatcher) noteEnded() {
	seen := map[manager.GraphID]bool{}
	note := func(id manager.GraphID) {
		j := d.State.Jobs[id]
		if seen[id] || j == nil || !j.State.Ended() || j.EndedAt != d.State.At {
			return
		}
		seen[id] = true
		d.touchRuns(j)
		took, objective := j.EndedAt.Sub(j.ReleaseTime()), d.objective(j).Sub(j.ReleaseTime())
		d.note(manager.LogJobEnded, "RequestID", id, "Queue", j.Queue, "State", j.State, "TookMs", took, "ObjectiveMs", objective,
			"InTime", took <= objective, "WaitedMs", j.WaitedMs)
		d.notes[len(d.notes)-1].Ended = &EndedJob{Queue: j.Queue, State: j.State, TookMs: took, InTime: took <= objective}
	}
	for _, e := range d.inFlight.End {
		whole, _ := e.Task.Graph.Split()
		note(e.Task.Graph)
		note(whole)
	}
	for _, id := range d.inFlight.Cancel {
		note(id)
		for k := 1; d.State.Jobs[id] != nil && k < d.State.Jobs[id].Occurred; k++ {
			note(id.Occurrence(k))
		}
	}
}

func (d *Dispatcher) await(t CallID) []Answer {
	d.waiting = append(d.waiting, waitingCaller{ticket: t})
	return nil
}

func (d *Dispatcher) cancel(t CallID, id manager.GraphID, c *recorder.Changes) []Answer {
	j := d.State.Jobs[id]
	switch {
	case j == nil:
		return []Answer{{Call: t, Err: manager.ErrNotExist{Kind: "job", Name: string(id)}}}
	case j.State.Ended():
		return []Answer{{Call: t}}
	}
	c.Cancel = append(c.Cancel, id)
	d.note(manager.LogJobCancelled, "RequestID", id, "Open", j.OpenRuns())
	return d.await(t)
}

func (d *Dispatcher) configure(t CallID, f *manager.FleetConfiguration, c *recorder.Changes) []Answer {
	held := d.State.Configuration
	if held != nil && f.Version <= held.Version {
		d.note(manager.LogConfigurationOvertaken, "Version", f.Version, "Held", held.Version)
		return []Answer{{Call: t}}
	}
	if c.Configure == nil || c.Configure.Version < f.Version {
		c.Configure = f
	}
	d.note(manager.LogConfigurationTaken, "Version", f.Version, "Queues", len(f.Queues))
	return d.await(t)
}

func (d *Dispatcher) wave(t CallID, w manager.UpkeepWave, c *recorder.Changes) []Answer {
	if d.State.Waves[w.Wave] != nil {
		return []Answer{{Call: t}}
	}
	c.Wave = append(c.Wave, w)
	d.note(manager.LogWaveTaken, "Wave", w.Wave, "VMs", len(w.VMs), "Cap", w.Cap, "DurationMs", w.DurationMs)
	return d.await(t)
}

// sorted returns the workers in the order of their ids.
func (d *Dispatcher) sorted() []*worker {
	if len(d.inOrder) == len(d.workers) && d.inOrder != nil {
		return d.inOrder
	}
	d.inOrder = make([]*worker, 0, len(d.workers))
	for _, w := range d.workers {
		d.inOrder = append(d.inOrder, w)
	}
	slices.SortFunc(d.inOrder, func(a, b *worker) int { return cmp.Compare(a.life.Worker, b.life.Worker) })
	return d.inOrder
}

// groupJobs groups the active jobs by the pools that run them.
func (d *Dispatcher) groupJobs() {
	d.byPool = map[manager.PoolID][]*recorder.Job{}
	for _, j := range d.State.Active() {
		if p := d.poolOf(j); p != "" && !j.Unreleased() {
			d.byPool[p] = append(d.byPool[p], j)
		}
	}
}

// touch asks for new orders for a life, as something on it has changed.
func (d *Dispatcher) touch(l manager.WorkerLife) {
	if w := d.workers[l.Worker]; w != nil && w.life == l {
		w.touched = true
	}
}
