package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// clockSlackPercent is how much slower a worker's clock may run.
	clockSlackPercent = 2
	// leaseSlack covers rounding in both clocks.
	leaseSlack = 150 * manager.Millisecond
	// leaseCheckPeriod is the pause between two checks for expired leases, as each check iterates over all workers.
	leaseCheckPeriod = 100 * manager.Millisecond
	// silentRetention is how long a silent worker stays known after its lease has expired.
	silentRetention = 10 * manager.Second
)

// worker is what the dispatcher knows about one worker instance.
type worker struct {
	instance    manager.WorkerInstance
	latest      manager.WorkerReport
	heardAt     manager.Time
	running     map[manager.TaskID]manager.RunningTask
	ackedEnds   uint64
	endsPending bool
	call        CallID
	// direct counts the worker among those that report directly; one that was invited to do so is counted until
	// invitedUntil.
	isDirect     bool
	invitedUntil manager.Time
	// forwarded means that the latest report came through another node.
	forwarded     bool
	polling       bool
	pollStartedAt manager.Time
	// leaseExpiresAt is when the lease of all runs on the worker has certainly expired.
	leaseExpiresAt manager.Time
	// answeredAt is when the latest report was answered, with all orders until then.
	answeredAt manager.Time
	// evacuating blocks new starts, as the VM is due for maintenance or in it.
	evacuating  bool
	evacuatedAt manager.Time
	// leaving means that the worker said it is leaving: it gets no lease any more, and its runs are evicted.
	leaving     bool
	firstSeenAt manager.Time
	// movePending blocks new starts of finite tasks, as the VM moves to another pool once it is idle.
	movePending bool
	// moveOrdered blocks every new start, as the VM's move would end the task.
	moveOrdered    bool
	health         health
	shares         map[manager.TaskID]manager.Percent
	throttleOrders []manager.ThrottleOrder
	// ordersChanged means that the orders for the worker may have changed since they were last computed.
	ordersChanged bool
	// reservedFor is the gang for which the worker was kept free last.
	reservedFor StepID
	// usage caches what computeUsage returns; usageStale means that it must be recomputed.
	usage      workerUsage
	usageStale bool
	// stallCheckDue means that the latest report was not checked for stalled runs yet.
	stallCheckDue bool
	stops         map[manager.TaskID]stopMark
	// withdrawn holds the runs that no longer fit and whose start orders are not sent any more.
	withdrawn map[manager.TaskID]manager.RunNumber
	progress  map[manager.TaskID]progressMark
}

// progressMark is the latest progress of a run and when it was first reported.
type progressMark struct {
	run            manager.RunNumber
	value          manager.Percent
	unchangedSince manager.Time
}

func (d *Dispatcher) handleReport(now manager.Time, e Event, c *recorder.Changes) []Answer {
	call, r := e.Call, *e.Report
	w := d.workers[r.Instance.Worker]
	stale := []Answer{{Call: call, Orders: &manager.WorkerOrders{Token: d.Token}}}
	if w != nil && (r.Instance.StartedAt < w.instance.StartedAt || r.Instance == w.instance && r.Sequence <= w.latest.Sequence) {
		return stale
	}
	if d.superseded(r) {
		return stale
	}
	if err := cmp.Or(checkUnchanged(w, r), d.checkDisplacing(r)); err != nil {
		return []Answer{{Call: call, Err: err}}
	}
	if w == nil || w.instance != r.Instance {
		w = d.addWorker(now, r, c)
	}
	var answers []Answer
	if w.polling {
		answers = append(answers, Answer{Call: w.call, Orders: &manager.WorkerOrders{Token: d.Token}})
	}
	if r.Draining && !w.latest.Draining {
		d.log(manager.LogWorkerDraining, "Worker", w.instance.Worker, "RemainingMs", r.RemainingMs)
	}
	if w.latest.Capacity != r.Capacity || !slices.Equal(w.latest.Labels, r.Labels) {
		d.fleetLimits = nil
	}
	d.updateDirect(now, w, e.Forwarded)
	w.latest, w.heardAt = r, now
	w.leaving = w.leaving && r.Draining
	w.call, w.polling, w.pollStartedAt, w.ordersChanged = call, true, now, true
	w.usageStale, w.stallCheckDue = true, true
	d.recordEnds(now, w, c)
	d.updateRunning(now, w)
	d.clearCrashes(now, w, c)
	d.endStoppedRuns(now, w, c)
	w.throttleOrders = d.throttleBestEffort(w)
	return answers
}

// superseded reports whether a later worker instance is known on the report's VM or at its address.
func (d *Dispatcher) superseded(r manager.WorkerReport) bool {
	for _, o := range []*worker{d.byVM[r.VM], d.byAddress[r.Address]} {
		if o != nil && o.instance.Worker != r.Instance.Worker && o.instance.StartedAt > r.Instance.StartedAt {
			return true
		}
	}
	return false
}

// checkUnchanged returns an ErrInvalid for a report that names another VM, pool or address than the earlier ones of its
// instance, as an instance keeps them for its life.
func checkUnchanged(w *worker, r manager.WorkerReport) error {
	if w == nil || w.instance != r.Instance {
		return nil
	}
	const reason = "is not that of the instance's earlier reports"
	switch {
	case w.latest.VM != r.VM:
		return manager.ErrInvalid{Field: "VM", Reason: reason}
	case w.latest.Pool != r.Pool:
		return manager.ErrInvalid{Field: "Pool", Reason: reason}
	case w.latest.Address != r.Address:
		return manager.ErrInvalid{Field: "Address", Reason: reason}
	}
	return nil
}

// checkDisplacing returns an ErrInvalid for a report that would replace a worker instance although no worker of this fleet
// sends such a report.
func (d *Dispatcher) checkDisplacing(r manager.WorkerReport) error {
	if !d.displaces(r) {
		return nil
	}
	if d.startsAhead(r) {
		return manager.ErrInvalid{Field: "Born", Reason: "is in the future, and another instance is known"}
	}
	if f := d.State.Configuration; f != nil && !f.HasPool(r.Pool) {
		return manager.ErrInvalid{Field: "Pool", Reason: "is not configured, and another instance is known"}
	}
	return nil
}

// displaces reports whether a report would replace a worker instance: one of the same worker, on its VM or at its
// address. A new dispatcher knows only those with runs.
func (d *Dispatcher) displaces(r manager.WorkerReport) bool {
	for _, o := range []*worker{d.workers[r.Instance.Worker], d.byVM[r.VM], d.byAddress[r.Address]} {
		if o != nil && o.instance != r.Instance {
			return true
		}
	}
	return d.workerOf(r.Instance) == nil && len(d.olderInstances(r)) > 0
}

// addWorker adds a new worker instance and ends the runs of older instances of the worker, on its VM and at its
// address.
func (d *Dispatcher) addWorker(now manager.Time, r manager.WorkerReport, c *recorder.Changes) *worker {
	w := &worker{
		instance: r.Instance, firstSeenAt: now, running: map[manager.TaskID]manager.RunningTask{}, shares: map[manager.TaskID]manager.Percent{},
		stops: map[manager.TaskID]stopMark{}, withdrawn: map[manager.TaskID]manager.RunNumber{}, progress: map[manager.TaskID]progressMark{},
	}
	// A new dispatcher doesn't know which leases its predecessor granted.
	w.leaseExpiresAt = max(now, d.StartedAt).Add(d.leaseTimeout())
	d.recordOlderInstances(now, r, c)
	for _, o := range []*worker{d.byVM[r.VM], d.byAddress[r.Address]} {
		if o != nil && o.instance != r.Instance && o.instance.StartedAt < r.Instance.StartedAt {
			d.endLostRuns(now, o.instance, lossLaterInstance, c)
			d.removeWorker(o)
		}
	}
	if r.VM != "" {
		d.byVM[r.VM] = w
	}
	d.byAddress[r.Address] = w
	d.workers[r.Instance.Worker] = w
	d.workersByID = nil
	d.log(manager.LogWorkerRegistered, "Worker", w.instance.Worker, "Born", w.instance.StartedAt, "VM", r.VM, "Pool", r.Pool, "Sequence", r.Sequence)
	return w
}

// leaseExpiry returns when the lease of a worker instance has certainly expired.
func (d *Dispatcher) leaseExpiry(l manager.WorkerInstance) manager.Time {
	if w := d.workers[l.Worker]; w != nil && w.instance == l {
		return w.leaseExpiresAt
	}
	return d.StartedAt.Add(d.leaseTimeout())
}

// sortedInstances returns, in order, the worker instances with open runs for which pass returns true.
func (d *Dispatcher) sortedInstances(pass func(manager.WorkerInstance) bool) []manager.WorkerInstance {
	return sortInstances(d.State.Instances(pass))
}

func sortInstances(list []manager.WorkerInstance) []manager.WorkerInstance {
	slices.SortFunc(list, func(a, b manager.WorkerInstance) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return list
}

func (d *Dispatcher) leaseTimeout() manager.Duration {
	return d.Options.LeaseMs + d.Options.LeaseMs*clockSlackPercent/100 + leaseSlack
}

// lossReason is why the runs of a worker instance are considered lost.
type lossReason string

const (
	lossLaterInstance lossReason = "later instance"
	lossLeaseExpired  lossReason = "lease expired"
	lossWorkerLeft    lossReason = "worker left"
	lossVMMoved       lossReason = "VM moved"
)

// endLostRuns ends the open runs of a worker instance that is gone.
func (d *Dispatcher) endLostRuns(now manager.Time, l manager.WorkerInstance, reason lossReason, c *recorder.Changes) {
	for _, id := range sortedTasks(d.State.Runs(l)) {
		if len(c.End) >= maxEnds {
			// The others end in a later cycle, as their lease has expired too.
			return
		}
		r := d.State.Runs(l)[id]
		if slices.ContainsFunc(c.End, func(e recorder.End) bool { return e.Task == id && e.Run == r.Number }) {
			continue
		}
		c.End = append(c.End, recorder.End{Task: id, Run: r.Number, How: manager.RunLost, Unreported: reason == lossLeaseExpired && d.mayHaveCrashed(l, id, r)})
		d.log(manager.LogRunLost, "RequestID", id.Graph, "Task", id, "Run", r.Number, "Worker", l.Worker, "Born", l.StartedAt,
			"Reason", reason, "OpenMs", now.Sub(r.At))
	}
}

func sortedTasks(m map[manager.TaskID]*recorder.Run) []manager.TaskID {
	list := make([]manager.TaskID, 0, len(m))
	for id := range m {
		list = append(list, id)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

func compareTasks(a, b manager.TaskID) int {
	return cmp.Or(cmp.Compare(a.Graph, b.Graph), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
}

// recordEnds proposes the reported ends of runs that are still open in the state.
func (d *Dispatcher) recordEnds(now manager.Time, w *worker, c *recorder.Changes) {
	w.endsPending = false
	for _, e := range w.latest.Ended {
		w.ackedEnds = max(w.ackedEnds, e.Number)
		r := d.State.OpenRun(e.Task, e.Run)
		if r == nil || r.Instance != w.instance {
			continue
		}
		w.endsPending = true
		c.End = append(c.End, recorder.End{Task: e.Task, Run: e.Run, How: e.How, Saved: d.limitCheckpoint(e.Task, e.Saved), Slowdown: d.recordedSlowdown(w, e)})
		w.health.recordEnd(now, e.How)
		if e.How == manager.RunRefused {
			d.dropPermit(e.Task, w.instance)
			d.markIncomplete(e.Task, e.Run)
		}
		d.logMinor(manager.LogRunEnded, "RequestID", e.Task.Graph, "Task", e.Task, "Run", e.Run, "How", e.How, "Worker", w.instance.Worker, "RanMs", now.Sub(r.At))
	}
}

func (d *Dispatcher) updateRunning(now manager.Time, w *worker) {
	clear(w.running)
	for _, r := range w.latest.Running {
		w.running[r.Task] = r
		delete(w.withdrawn, r.Task)
		m, ok := w.progress[r.Task]
		if !ok || m.run != r.Run || m.value != r.Progress {
			w.progress[r.Task] = progressMark{run: r.Run, value: r.Progress, unchangedSince: now}
		}
	}
	for id := range w.progress {
		if _, ok := w.running[id]; !ok {
			delete(w.progress, id)
			delete(w.shares, id)
			delete(w.stops, id)
		}
	}
}

func (d *Dispatcher) removeWorker(w *worker) {
	d.fleetLimits = nil
	if d.workers[w.instance.Worker] == w {
		d.removeDirect(w)
		delete(d.workers, w.instance.Worker)
		d.workersByID = nil
	}
	if d.byVM[w.latest.VM] == w {
		d.maintenance.presence.note(w.latest.VM, w.heardAt)
		delete(d.byVM, w.latest.VM)
	}
	if d.byAddress[w.latest.Address] == w {
		delete(d.byAddress, w.latest.Address)
	}
}

func (d *Dispatcher) taskResources(id manager.TaskID) manager.Resources {
	j := d.State.Jobs[id.Graph]
	if j == nil || id.Step >= len(j.Steps) {
		return manager.Resources{}
	}
	return j.Steps[id.Step].Reserved()
}
