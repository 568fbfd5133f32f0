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
	Call   CallID
	Report *manager.WorkerReport
	// Forwarded says that another node brought the report and keeps a connection until it is answered.
	Forwarded bool
	Leave     *manager.WorkerLife
	Submit    *manager.Graph
	Cancel    *manager.GraphID
	Configure *manager.FleetConfiguration
	Wave      *manager.UpkeepWave
	Platform  *PlatformResult
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
	DefaultOrderGap = 3 * manager.Second
)

// Dispatcher is not safe for concurrent use; a new leader makes a new one.
type Dispatcher struct {
	State *recorder.State
	// Token is the fencing token of this dispatcher's orders.
	Token     manager.OrderToken
	Options   Options
	StartedAt manager.Time

	workers map[manager.WorkerID]*worker
	// byVM is the latest life of each VM.
	byVM map[manager.VMID]*worker
	// byAddress is the latest life at each address.
	byAddress      map[manager.Address]*worker
	awaitingCommit []waitingCaller
	// refusedUntil remembers refusedUntil jobs, so that a delayed copy of a refusedUntil submit is refusedUntil too.
	refusedUntil   map[manager.GraphID]manager.Time
	times          estimator
	maintenance    maintenanceState
	lines          []LogLine
	inFlight       recorder.Changes
	platformOrders []PlatformOrder
	// initialStateAt is the book's time at the takeover, and unsettled the VMs whose orders had no outcome then.
	initialStateAt manager.Time
	unresolved     map[manager.VMID]bool
	// backlog are the pools in which a ready task found no worker at the latest step.
	backlog  map[manager.PoolID]bool
	lending  lending
	schedule schedule
	advice   advice
	// direct counts the workers that report here.
	direct int
	// leasesCheckedAt is when leases that have ended were looked for last.
	leasesCheckedAt manager.Time
	// freeByPool caches the room of each pool during a step.
	freeByPool map[manager.PoolID]manager.Resources
	// workersByID caches the workers in the order of their ids, byPool the active jobs of each pool during a step.
	workersByID []*worker
	jobsByPool  map[manager.PoolID][]*recorder.Job
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
	setDefault(&o.LeaseMs, DefaultLease)
	setDefault(&o.IdlePollMs, DefaultIdlePoll)
	setDefault(&o.BusyPollMs, DefaultBusyPoll)
	setDefault(&o.NextMs, DefaultNext)
	setDefault(&o.StopMs, DefaultStop)
	setDefault(&o.OrderGapMs, DefaultOrderGap)
	return &Dispatcher{
		State: b, Token: token, Options: o, StartedAt: now,
		workers: map[manager.WorkerID]*worker{}, byVM: map[manager.VMID]*worker{},
		byAddress: map[manager.Address]*worker{}, refusedUntil: map[manager.GraphID]manager.Time{},
		times: estimator{state: b}, initialStateAt: b.At, unresolved: unresolvedOrders(b),
	}
}

func setDefault(v *manager.Duration, d manager.Duration) {
	if *v == 0 {
		*v = d
	}
}

// RunCycle takes events and returns the changes to commit, and the answers that need no commit. Committed
// or Abandoned must follow before the next RunCycle.
func (d *Dispatcher) RunCycle(now manager.Time, events []Event) (recorder.Changes, []Answer) {
	c := recorder.Changes{At: now}
	d.freeByPool = nil
	var answers []Answer
	for _, e := range events {
		answers = append(answers, d.handleEvent(now, e, &c)...)
	}
	d.freeByPool = nil
	d.startDueOccurrences(&c)
	d.groupJobsByPool()
	d.expireLeases(now, &c)
	d.updateMaintenance(now, &c)
	d.balancePools(now, &c)
	d.place(now, &c)
	d.invalidateUsage(&c)
	d.inFlight = c
	if c.Empty() {
		answers = append(answers, d.answerReports(now)...)
	}
	return c, answers
}

func (d *Dispatcher) handleEvent(now manager.Time, e Event, c *recorder.Changes) []Answer {
	switch {
	case e.Report != nil:
		return d.handleReport(now, e, c)
	case e.Leave != nil:
		d.handleLeave(*e.Leave, c)
	case e.Submit != nil:
		return d.handleSubmit(now, e.Call, *e.Submit, c)
	case e.Cancel != nil:
		return d.handleCancel(e.Call, *e.Cancel, c)
	case e.Configure != nil:
		return d.handleConfigure(e.Call, e.Configure, c)
	case e.Wave != nil:
		return d.handleWave(e.Call, *e.Wave, c)
	case e.Platform != nil:
		d.handlePlatformResult(now, *e.Platform, c)
	case e.Listing != nil:
		d.handleListing(*e.Listing, c)
	case e.Advice != nil:
		d.handleAdvice(now, *e.Advice)
	}
	return []Answer{{Call: e.Call}}
}

// Committed says that the changes of the latest Step are applied to the book.
func (d *Dispatcher) Committed(now manager.Time) []Answer {
	var answers []Answer
	for _, w := range d.awaitingCommit {
		answers = append(answers, Answer{Call: w.ticket, Err: w.err})
	}
	d.awaitingCommit = nil
	d.issueOrders()
	d.logStarts(now)
	d.logEndedJobs()
	d.inFlight = recorder.Changes{}
	return append(answers, d.answerReports(now)...)
}

// PendingCalls returns those that wait for a commit or an order; a dispatcher that steps down ends them.
func (d *Dispatcher) PendingCalls() (forCommit, forOrders []CallID) {
	for _, w := range d.awaitingCommit {
		forCommit = append(forCommit, w.ticket)
	}
	for _, w := range d.sortedWorkers() {
		if w.polling {
			forOrders = append(forOrders, w.ticket)
		}
	}
	return forCommit, forOrders
}

// PlatformOrders returns the calls to the platform that the latest commit allows.
func (d *Dispatcher) PlatformOrders() []PlatformOrder {
	list := d.platformOrders
	d.platformOrders = nil
	return list
}

// LogLines returns the decisions since the last call.
func (d *Dispatcher) LogLines() []LogLine {
	list := d.lines
	d.lines = nil
	return list
}

func (d *Dispatcher) log(message string, fields ...any) {
	d.lines = append(d.lines, LogLine{Message: message, Fields: fields})
}

func (d *Dispatcher) logMinor(message string, fields ...any) {
	d.lines = append(d.lines, LogLine{Message: message, Fields: fields, Minor: true})
}

// logStarts logs the starts of the latest commit, with the age of the reports they rest on.
func (d *Dispatcher) logStarts(now manager.Time) {
	for _, s := range d.inFlight.Start {
		d.markOrdersChanged(s.Instance)
		age := manager.Duration(-1)
		if w := d.workers[s.Instance.Worker]; w != nil {
			age = now.Sub(w.heardAt)
		}
		d.logMinor(manager.LogTaskPlaced, "RequestID", s.Task.Graph, "Task", s.Task, "Run", s.Run, "Worker", s.Instance.Worker, "ReportAgeMs", age)
	}
}

// markJobRuns asks for new orders for the workers that still run something of an ended job.
func (d *Dispatcher) markJobRuns(j *recorder.Job) {
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Open != nil {
				d.markOrdersChanged(t.Open.Instance)
			}
		}
	}
}

// logEndedJobs logs the jobs that the latest commit has ended.
func (d *Dispatcher) logEndedJobs() {
	seen := map[manager.GraphID]bool{}
	logJob := func(id manager.GraphID) {
		j := d.State.Jobs[id]
		if seen[id] || j == nil || !j.State.Ended() || j.EndedAt != d.State.At {
			return
		}
		seen[id] = true
		d.markJobRuns(j)
		took, objective := j.EndedAt.Sub(j.ReleaseTime()), d.objective(j).Sub(j.ReleaseTime())
		d.log(manager.LogJobEnded, "RequestID", id, "Queue", j.Queue, "State", j.State, "TookMs", took, "ObjectiveMs", objective,
			"InTime", took <= objective, "WaitedMs", j.WaitedMs)
		d.lines[len(d.lines)-1].Ended = &EndedJob{Queue: j.Queue, State: j.State, TookMs: took, InTime: took <= objective}
	}
	for _, e := range d.inFlight.End {
		parent, _ := e.Task.Graph.Split()
		logJob(e.Task.Graph)
		logJob(parent)
	}
	for _, id := range d.inFlight.Cancel {
		logJob(id)
		for k := 1; d.State.Jobs[id] != nil && k < d.State.Jobs[id].Occurred; k++ {
			logJob(id.Occurrence(k))
		}
	}
}

func (d *Dispatcher) awaitCommit(t CallID) []Answer {
	d.awaitingCommit = append(d.awaitingCommit, waitingCaller{ticket: t})
	return nil
}

func (d *Dispatcher) handleCancel(t CallID, id manager.GraphID, c *recorder.Changes) []Answer {
	j := d.State.Jobs[id]
	switch {
	case j == nil:
		return []Answer{{Call: t, Err: manager.ErrNotExist{Kind: "job", Name: string(id)}}}
	case j.State.Ended():
		return []Answer{{Call: t}}
	}
	c.Cancel = append(c.Cancel, id)
	d.log(manager.LogJobCancelled, "RequestID", id, "Open", j.OpenRuns())
	return d.awaitCommit(t)
}

func (d *Dispatcher) handleConfigure(t CallID, f *manager.FleetConfiguration, c *recorder.Changes) []Answer {
	held := d.State.Configuration
	if held != nil && f.Version <= held.Version {
		d.log(manager.LogConfigurationOvertaken, "Version", f.Version, "Held", held.Version)
		return []Answer{{Call: t}}
	}
	if c.Configure == nil || c.Configure.Version < f.Version {
		c.Configure = f
	}
	d.log(manager.LogConfigurationTaken, "Version", f.Version, "Queues", len(f.Queues))
	return d.awaitCommit(t)
}

func (d *Dispatcher) handleWave(t CallID, w manager.UpkeepWave, c *recorder.Changes) []Answer {
	if d.State.Waves[w.Wave] != nil {
		return []Answer{{Call: t}}
	}
	c.Wave = append(c.Wave, w)
	d.log(manager.LogWaveTaken, "Wave", w.Wave, "VMs", len(w.VMs), "Cap", w.Cap, "DurationMs", w.DurationMs)
	return d.awaitCommit(t)
}

// sortedWorkers returns the workers in the order of their ids.
func (d *Dispatcher) sortedWorkers() []*worker {
	if len(d.workersByID) == len(d.workers) && d.workersByID != nil {
		return d.workersByID
	}
	d.workersByID = make([]*worker, 0, len(d.workers))
	for _, w := range d.workers {
		d.workersByID = append(d.workersByID, w)
	}
	slices.SortFunc(d.workersByID, func(a, b *worker) int { return cmp.Compare(a.instance.Worker, b.instance.Worker) })
	return d.workersByID
}

// groupJobsByPool groups the active jobs by the pools that run them.
func (d *Dispatcher) groupJobsByPool() {
	d.jobsByPool = map[manager.PoolID][]*recorder.Job{}
	for _, j := range d.State.Active() {
		if p := d.poolOf(j); p != "" && !j.Unreleased() {
			d.jobsByPool[p] = append(d.jobsByPool[p], j)
		}
	}
}

// markOrdersChanged asks for new orders for a life, as something on it has changed.
func (d *Dispatcher) markOrdersChanged(l manager.WorkerLife) {
	if w := d.workers[l.Worker]; w != nil && w.instance == l {
		w.ordersChanged = true
	}
}
