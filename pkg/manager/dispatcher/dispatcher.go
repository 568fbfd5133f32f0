package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/sharer"
)

// CallID identifies a caller that waits for an answer.
type CallID uint64

// Event is one input of the dispatcher. Exactly one body is set.
type Event struct {
	Call   CallID
	Report *manager.WorkerReport
	// Forwarded means that the report came through another node, which holds a connection open until it is answered.
	Forwarded bool
	Leave     *manager.WorkerInstance
	Submit    *manager.Graph
	Cancel    *manager.GraphID
	Configure *manager.FleetConfiguration
	Wave      *manager.MaintenanceRequest
	Platform  *PlatformResult
	Listing   *Listing
	Advice    *AdviceResult
}

// Answer completes a call.
type Answer struct {
	Call CallID
	// Orders answers a worker's report.
	Orders *manager.WorkerOrders
	// Err is the refusal of any other call, or nil if it was accepted.
	Err error
}

// Options configures a dispatcher. Zero fields take the defaults.
type Options struct {
	// LeaseMs is how long a worker goes on without contact to the dispatcher.
	LeaseMs manager.Duration
	// IdlePollMs and BusyPollMs limit how long a report is held open until there are orders for the worker: the first
	// for a worker without finite tasks, the second for one whose tasks may end meanwhile.
	IdlePollMs manager.Duration
	BusyPollMs manager.Duration
	// NextMs is the pause between an answer and the worker's next report.
	NextMs manager.Duration
	// StopMs limits the time that a worker takes to stop a run.
	StopMs manager.Duration
	// OrderGapMs is the least time between the orders of two dispatchers for one VM.
	OrderGapMs manager.Duration
	// Address is where workers reach this dispatcher.
	Address manager.Address
	// MaxDirect limits the number of workers that are asked to report to this node directly. The others report through
	// any node, and their reports are answered without waiting for orders. 0 means no limit.
	MaxDirect int
	// Shares decides which jobs are within the shares of their customers; nil stands for token buckets.
	Shares manager.ShareMeter
	// RemoteFactor is how many times as long a task lasts that runs remote from its data or its group. Up to 1, no task
	// waits for a rack.
	RemoteFactor float64
	// Locality decides which tasks wait for a rack.
	Locality manager.LocalityPolicy
	// StateBytes limits the size of the replicated state, above which no job is accepted.
	StateBytes int64
}

// Defaults of Options.
const (
	// DefaultLease is longer than an election, and than a restart of all replicas within a second, each with the
	// reports that follow. The tasks of a lost worker are delayed by the same time.
	DefaultLease    = 4 * manager.Second
	DefaultIdlePoll = 600 * manager.Millisecond
	DefaultBusyPoll = 150 * manager.Millisecond
	DefaultNext     = 300 * manager.Millisecond
	DefaultStop     = 900 * manager.Millisecond
	DefaultOrderGap = 3 * manager.Second
)

// Dispatcher is the scheduler of one leader's term; each new leader creates its own. It is not safe for concurrent use.
type Dispatcher struct {
	State *recorder.State
	// Token is the fencing token of this dispatcher's orders.
	Token     manager.FencingToken
	Options   Options
	StartedAt manager.Time

	workers map[manager.WorkerID]*worker
	// byVM holds the latest worker instance on each VM.
	byVM map[manager.VMID]*worker
	// byAddress holds the latest worker instance at each address.
	byAddress      map[manager.Address]*worker
	awaitingCommit []waitingCaller
	refused        map[manager.GraphID]refusal
	times          estimator
	maintenance    maintenanceState
	logLines       []LogLine
	inFlight       recorder.Changes
	platformOrders []PlatformOrder
	// initialStateAt is the time of the replicated state when this dispatcher started, and unresolved are the VMs whose
	// orders had no known outcome then.
	initialStateAt manager.Time
	unresolved     map[manager.VMID]bool
	// backlog holds the pools in which a ready task found no worker in the latest cycle.
	backlog     map[manager.PoolID]bool
	rackCrashes []*rackCrash
	lending     lending
	schedule    schedule
	advice      advice
	locality    locality
	// incompleteGangs holds the runs of gangs that lack a task from the start.
	incompleteGangs map[StepID]manager.RunNumber
	// direct counts the workers that report to this node directly.
	direct int
	// leasesCheckedAt is when expired leases were last looked for.
	leasesCheckedAt manager.Time
	// freeByPool caches the free capacity of each pool during a cycle.
	freeByPool map[manager.PoolID]manager.Resources
	// customers holds the use of customers during a cycle.
	customers map[manager.CustomerID]customerUse
	// heldLoggedAt is when customers at their caps were logged last.
	heldLoggedAt map[manager.CustomerID]manager.Time
	// submitted holds the customers of the jobs that a cycle accepts.
	submitted map[manager.GraphID]manager.CustomerID
	// startBytes is the estimated size of the starts of a cycle.
	startBytes int
	// fleetLimits caches the limits of the known VMs until one of them changes.
	fleetLimits *fleetLimits
	// waiting caches during a cycle the steps that wait, by pool.
	waiting map[manager.PoolID][]waitingStep
	// gangsThatFit caches during a cycle which gangs their pools can hold.
	gangsThatFit map[gangShape]bool
	// reservations holds the workers that are kept free for gangs, by pool.
	reservations map[manager.PoolID]*reservation
	gangPauses   map[StepID]gangPause
	// recorded caches the index of the instances with runs during a cycle.
	recorded *recordedInstances
	// workersByID caches the workers sorted by ID; jobsByPool caches the active jobs of each pool during a cycle.
	workersByID []*worker
	jobsByPool  map[manager.PoolID][]*recorder.Job
	// ending holds the objectives of the jobs that the changes in flight may end.
	ending map[manager.GraphID]manager.Duration
	// room is the use of the replicated state during a cycle.
	room stateRoom
}

// waitingCaller is a call that is answered once the changes in flight are committed.
type waitingCaller struct {
	call CallID
	err  error
}

// LogLine is a log line about a decision.
type LogLine struct {
	Message string
	Fields  []any
	// Minor lines are dropped first when the log can't keep up.
	Minor bool
	// Customer is set on the lines of accepted, refused and ended jobs that have one.
	Customer manager.CustomerID
	// Ended is set on the line of a job that ended.
	Ended *EndedJob
	// Waited is set on the line of a task that waited for a rack.
	Waited *EndedWait
}

// EndedJob holds what the metrics count of a job that ended.
type EndedJob struct {
	Queue  manager.QueueID
	State  manager.GraphState
	TookMs manager.Duration
	InTime bool
}

// New returns a dispatcher for a leader's term.
func New(state *recorder.State, token manager.FencingToken, o Options, now manager.Time) *Dispatcher {
	setDefault(&o.LeaseMs, DefaultLease)
	setDefault(&o.IdlePollMs, DefaultIdlePoll)
	setDefault(&o.BusyPollMs, DefaultBusyPoll)
	setDefault(&o.NextMs, DefaultNext)
	setDefault(&o.StopMs, DefaultStop)
	setDefault(&o.OrderGapMs, DefaultOrderGap)
	if o.StateBytes == 0 {
		o.StateBytes = DefaultStateBytes
	}
	if o.Shares == nil {
		o.Shares = sharer.NewBuckets()
	}
	setDefaultLocality(&o)
	return &Dispatcher{
		State: state, Token: token, Options: o, StartedAt: now,
		workers: map[manager.WorkerID]*worker{}, byVM: map[manager.VMID]*worker{},
		byAddress: map[manager.Address]*worker{}, refused: map[manager.GraphID]refusal{},
		times: estimator{state: state}, initialStateAt: state.At, unresolved: unresolvedOrders(state),
		reservations: map[manager.PoolID]*reservation{}, gangPauses: map[StepID]gangPause{},
		incompleteGangs: map[StepID]manager.RunNumber{}, locality: newLocality(), heldLoggedAt: map[manager.CustomerID]manager.Time{},
	}
}

func setDefault(v *manager.Duration, d manager.Duration) {
	if *v == 0 {
		*v = d
	}
}

// RunCycle processes events and runs one scheduling cycle. It returns the changes to commit, and the answers that need
// no commit. Unless the changes are empty, they must be committed before the next cycle: Committed is called once they
// are applied, and a dispatcher whose commit failed is discarded.
func (d *Dispatcher) RunCycle(now manager.Time, events []Event) (recorder.Changes, []Answer) {
	c := recorder.Changes{At: now}
	d.freeByPool, d.recorded, d.waiting, d.gangsThatFit = nil, nil, nil, map[gangShape]bool{}
	d.room = stateRoom{}
	d.customers, d.submitted = map[manager.CustomerID]customerUse{}, map[manager.GraphID]manager.CustomerID{}
	var answers []Answer
	for _, e := range events {
		answers = append(answers, d.handleEvent(now, e, &c)...)
	}
	d.freeByPool = nil
	d.startDueOccurrences(now, &c)
	d.groupJobsByPool()
	d.expireLeases(now, &c)
	d.updateMaintenance(now, &c)
	d.balancePools(now, &c)
	d.place(now, &c)
	d.logHeldCustomers(now)
	d.invalidateUsage(&c)
	d.recordEnding(&c)
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
		d.handleLeave(now, *e.Leave)
	case e.Submit != nil:
		return d.handleSubmit(now, e.Call, *e.Submit, c)
	case e.Cancel != nil:
		return d.handleCancel(e.Call, *e.Cancel, c)
	case e.Configure != nil:
		return d.handleConfigure(e.Call, e.Configure, c)
	case e.Wave != nil:
		return d.handleWave(now, e.Call, *e.Wave, c)
	case e.Platform != nil:
		d.handlePlatformResult(now, *e.Platform, c)
	case e.Listing != nil:
		d.handleListing(*e.Listing, c)
	case e.Advice != nil:
		d.handleAdvice(now, *e.Advice)
	}
	return []Answer{{Call: e.Call}}
}

// Committed is called when the changes of the latest cycle have been applied to the state.
func (d *Dispatcher) Committed(now manager.Time) []Answer {
	var answers []Answer
	for _, w := range d.awaitingCommit {
		answers = append(answers, Answer{Call: w.call, Err: w.err})
	}
	d.awaitingCommit = nil
	d.issueOrders()
	d.logStarts(now)
	d.logEndedJobs()
	d.inFlight = recorder.Changes{}
	return append(answers, d.answerReports(now)...)
}

// PendingCalls returns the calls that wait for a commit and those that wait for orders. A dispatcher that steps down
// must complete them.
func (d *Dispatcher) PendingCalls() (forCommit, forOrders []CallID) {
	for _, w := range d.awaitingCommit {
		forCommit = append(forCommit, w.call)
	}
	for _, w := range d.sortedWorkers() {
		if w.polling {
			forOrders = append(forOrders, w.call)
		}
	}
	return forCommit, forOrders
}

// PlatformOrders returns the orders that may now be sent to the platform, and clears the list.
func (d *Dispatcher) PlatformOrders() []PlatformOrder {
	list := d.platformOrders
	d.platformOrders = nil
	return list
}

// LogLines returns the log lines since the previous call.
func (d *Dispatcher) LogLines() []LogLine {
	list := d.logLines
	d.logLines = nil
	return list
}

func (d *Dispatcher) awaitCommit(call CallID) []Answer {
	d.awaitingCommit = append(d.awaitingCommit, waitingCaller{call: call})
	return nil
}

func (d *Dispatcher) handleCancel(call CallID, id manager.GraphID, c *recorder.Changes) []Answer {
	j := d.State.Jobs[id]
	switch {
	case j == nil:
		return []Answer{{Call: call, Err: manager.ErrNotExist{Kind: "job", Name: string(id)}}}
	case j.State.Ended():
		return []Answer{{Call: call}}
	}
	c.Cancel = append(c.Cancel, id)
	d.log(manager.LogJobCancelled, "RequestID", id, "Open", j.OpenRuns())
	return d.awaitCommit(call)
}

func (d *Dispatcher) handleConfigure(call CallID, f *manager.FleetConfiguration, c *recorder.Changes) []Answer {
	current := d.State.Configuration
	if current != nil && f.Version <= current.Version {
		d.log(manager.LogStaleConfigurationIgnored, "Version", f.Version, "Held", current.Version)
		return []Answer{{Call: call}}
	}
	if c.Configure == nil || c.Configure.Version < f.Version {
		c.Configure = f
	}
	d.log(manager.LogConfigurationAccepted, "Version", f.Version, "Queues", len(f.Queues))
	return d.awaitCommit(call)
}

func (d *Dispatcher) handleWave(now manager.Time, call CallID, w manager.MaintenanceRequest, c *recorder.Changes) []Answer {
	if d.State.Waves[w.Wave] != nil {
		return []Answer{{Call: call}}
	}
	c.Wave = append(c.Wave, w)
	d.maintenance.presence.accept(w.Wave, now)
	d.log(manager.LogWaveAccepted, "Wave", w.Wave, "VMs", len(w.VMs), "Cap", w.Cap, "DurationMs", w.DurationMs)
	return d.awaitCommit(call)
}

// sortedWorkers returns the workers sorted by ID.
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

// groupJobsByPool groups the active jobs by the pool that runs them.
func (d *Dispatcher) groupJobsByPool() {
	d.jobsByPool = map[manager.PoolID][]*recorder.Job{}
	for _, j := range d.State.Active() {
		if p := d.poolOf(j); p != "" && !j.Unreleased() {
			d.jobsByPool[p] = append(d.jobsByPool[p], j)
		}
	}
}

// markOrdersChanged marks that the orders for a worker instance may have changed.
func (d *Dispatcher) markOrdersChanged(l manager.WorkerInstance) {
	if w := d.workers[l.Worker]; w != nil && w.instance == l {
		w.ordersChanged = true
	}
}
