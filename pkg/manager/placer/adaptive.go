package placer

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// leaderGap is the longest time between two calls of Plan for which no other leader can have acted in between.
const leaderGap = 2 * manager.Second

// idleInterval is the time between two planning steps while neither the state has changed nor a task has
// ended. A longer interval would react later to a VM that runs out of memory.
const idleInterval = 2 * manager.Second

// Adaptive is the production Placer. It estimates reservations from reported usage, tells faulty workers
// from poison jobs (jobs that fail on every worker), preempts less urgent tasks by checkpoints and keeps
// VMs from running out of memory. After a change of leader it rebuilds what it remembers from the state
// and the reports.
type Adaptive struct {
	// Lease is how long a task may run without a report from its worker, in milliseconds; 0 means DefaultLease.
	Lease manager.Duration

	usage     map[manager.LeaseID]*taskUsage
	estimator *estimator
	health    *health
	// holds maps waiting jobs to the VM that the latest step held for them.
	holds map[manager.JobID]manager.VMID
	// since is when this placer's current run of calls without a gap began.
	since      manager.Time
	lastCallAt manager.Time
	renewedAt  manager.Time
	// plannedAt and revision are those of the last step that was not skipped; taskEnded is set when a task
	// has ended since.
	plannedAt manager.Time
	revision  manager.Revision
	taskEnded bool
	// forceStep keeps the next step from being skipped. It is set while a task has an order to checkpoint or
	// stop, when a step gives an order, and while a VM with a task that outgrows its reservation runs short of memory.
	forceStep bool
	// visited counts the hosts and tree nodes that the latest step visited.
	visited int
}

// taskUsage is the reported usage of a lease's task.
type taskUsage struct {
	report     manager.UsageReport
	peak       manager.Resources
	reportedAt manager.Time
	// growth is the growth of memory use in MB per second.
	growth manager.MegaBytes
}

var (
	_ manager.Placer    = (*Adaptive)(nil)
	_ manager.Explainer = (*Adaptive)(nil)
)

func (p *Adaptive) init() {
	if p.usage != nil {
		return
	}
	p.usage = map[manager.LeaseID]*taskUsage{}
	p.estimator = newEstimator()
	p.health = newHealth()
	p.holds = map[manager.JobID]manager.VMID{}
	if p.Lease == 0 {
		p.Lease = DefaultLease
	}
}

// Observe records workers' reports. A report that is not newer than the last one of its lease is ignored.
func (p *Adaptive) Observe(now manager.Time, reports []manager.UsageReport) {
	p.init()
	for _, r := range reports {
		p.taskEnded = p.taskEnded || r.Result != ""
		u, ok := p.usage[r.Lease]
		if !ok {
			p.usage[r.Lease] = &taskUsage{report: r, peak: r.Used, reportedAt: now}
			continue
		}
		u.update(now, r)
	}
}

func (u *taskUsage) update(now manager.Time, r manager.UsageReport) {
	if r.At <= u.report.At || u.report.Result != "" {
		return
	}
	if step := r.At.Sub(u.report.At); step > 0 {
		u.growth = (r.Used.MemoryMegaBytes - u.report.Used.MemoryMegaBytes) * manager.MegaBytes(manager.Second) / manager.MegaBytes(step)
	}
	u.report = r
	u.peak = u.peak.Max(r.Used)
	u.reportedAt = now
}

// Plan returns the commands to propose for the state at now.
func (p *Adaptive) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	p.init()
	p.detectGap(now, f)
	if p.canSkip(now, f) {
		return nil
	}
	view := newFleetView(now, f, p.usage)
	var batch manager.TaskBatch
	p.finishLeases(view, &batch)
	commands := p.health.assess(view)
	p.refuseJobs(view, &batch)
	p.drainVMs(view, &batch)
	p.relieveMemory(view, &batch)
	p.placeJobs(view, &batch)
	p.renewLeases(view, &batch)
	p.forceStep = p.forceStep || len(batch.Order) > 0
	return append(commands, splitBatch(now, batch)...)
}

// detectGap detects a gap between calls of Plan. On the first call it rebuilds the history from the state.
func (p *Adaptive) detectGap(now manager.Time, f manager.Fleet) {
	if p.lastCallAt == 0 {
		p.since = now
		p.rebuild(f)
	}
	if now.Sub(p.lastCallAt) > leaderGap {
		p.since = now
	}
	p.lastCallAt = now
}

// canSkip reports whether a step can be skipped because nothing has changed since the last one.
func (p *Adaptive) canSkip(now manager.Time, f manager.Fleet) bool {
	if f.Revision == p.revision && !p.taskEnded && !p.forceStep && p.plannedAt > 0 && now.Sub(p.plannedAt) < idleInterval {
		return true
	}
	p.plannedAt, p.revision, p.taskEnded, p.forceStep = now, f.Revision, false, false
	return false
}

func (p *Adaptive) rebuild(f manager.Fleet) {
	p.health.rebuild(f)
	for _, j := range f.Jobs {
		if j.State == manager.JobDone {
			p.estimator.record(j, j.Peak, j.Progress.DoneMs)
		}
	}
}

// finishLeases ends the leases whose tasks have ended, and those that have expired for certain without a report.
func (p *Adaptive) finishLeases(view *fleetView, batch *manager.TaskBatch) {
	live := make(map[manager.LeaseID]*taskUsage, len(p.usage))
	for i := range view.fleet.Jobs {
		j := &view.fleet.Jobs[i]
		if j.Lease == nil {
			p.finishLate(j, batch)
			continue
		}
		u := p.usage[j.Lease.Lease]
		if u != nil {
			live[j.Lease.Lease] = u
		}
		c, ended := p.leaseEnd(view.now, j, u)
		if !ended {
			continue
		}
		batch.Finish = append(batch.Finish, c)
		p.recordEnd(view.now, j, c)
		view.removeTask(j)
	}
	p.usage = live
}

// finishLate finishes a task that was presumed lost, from a report that arrived late.
func (p *Adaptive) finishLate(j *manager.Job, batch *manager.TaskBatch) {
	if j.State != manager.JobUnknown {
		return
	}
	u, ok := p.usage[j.LastLease]
	if !ok || (u.report.Result != manager.TaskSucceeded && u.report.Result != manager.TaskFailed) {
		return
	}
	batch.Finish = append(batch.Finish, manager.FinishTask{
		Job: j.Job, Lease: j.LastLease, Result: u.report.Result, Reason: u.report.Reason, DoneMs: u.report.DoneMs, Peak: u.peak,
	})
}

// leaseEnd returns the result of a lease that has ended. A new leader waits for a full lease time of its
// own before it presumes a task lost, because the previous leader's clock may have been ahead.
func (p *Adaptive) leaseEnd(now manager.Time, j *manager.Job, u *taskUsage) (manager.FinishTask, bool) {
	c := manager.FinishTask{Job: j.Job, Lease: j.Lease.Lease}
	if u != nil {
		c.Peak = u.peak
	}
	if u != nil && u.report.Result != "" {
		c.Result, c.Reason, c.DoneMs = u.report.Result, u.report.Reason, u.report.DoneMs
		return c, true
	}
	certain := now >= j.Lease.Until.Add(manager.LeaseMargin) && now.Sub(p.since) >= p.Lease+manager.LeaseMargin
	c.Result, c.Reason = manager.TaskLost, "no report from its worker until the lease expired"
	return c, certain
}

// recordEnd updates the estimates and the VM's failure history with the end of a task.
func (p *Adaptive) recordEnd(now manager.Time, j *manager.Job, c manager.FinishTask) {
	switch c.Result {
	case manager.TaskSucceeded:
		p.estimator.record(*j, j.Peak.Max(c.Peak), c.DoneMs)
		p.health.recordSuccess(now, j, j.Lease.VM)
	case manager.TaskFailed:
		p.health.recordFailure(now, j.Job, j.Lease.VM, j.Lease.Probe)
	case manager.TaskLost:
		p.health.recordLoss(now, j.Lease.VM)
	case manager.TaskCheckpointed, manager.TaskNotStarted, manager.TaskStopped, manager.TaskExpired:
	}
}

// refuseJobs refuses the jobs that can never run.
func (p *Adaptive) refuseJobs(view *fleetView, batch *manager.TaskBatch) {
	failed := failedJobs(view.fleet)
	for i := range view.fleet.Jobs {
		j := &view.fleet.Jobs[i]
		if !waiting(j) {
			continue
		}
		reason := p.refusalReason(view, j, failed)
		if reason == "" {
			continue
		}
		batch.Refuse = append(batch.Refuse, manager.RefuseJob{Job: j.Job, Reason: reason})
		p.health.clearJob(j)
	}
}

// refusalReason returns why a job can never run, or "" if it can.
func (p *Adaptive) refusalReason(view *fleetView, j *manager.Job, failed map[manager.JobID]*manager.Job) string {
	need := p.estimator.reservation(*j)
	if !view.fitsSome(j.Pool, need) {
		return "needs " + formatResources(need) + ", and no VM" + inPool(j.Pool) + " is that large"
	}
	if q, ok := view.rulesOf(j).quotas[j.Team]; ok && !q.Fits(need) {
		return "needs " + formatResources(need) + ", and the quota of team " + string(j.Team) + " is " + formatResources(q)
	}
	if len(j.FailedOn) == 0 {
		return ""
	}
	return p.health.poisonReason(view.now, j, failed)
}

// placeJobs starts waiting jobs or makes room for them by preemption.
func (p *Adaptive) placeJobs(view *fleetView, batch *manager.TaskBatch) {
	refused := make(map[manager.JobID]bool, len(batch.Refuse))
	for _, c := range batch.Refuse {
		refused[c.Job] = true
	}
	var jobs []*manager.Job
	for i := range view.fleet.Jobs {
		if j := &view.fleet.Jobs[i]; waiting(j) && !refused[j.Job] {
			jobs = append(jobs, j)
		}
	}
	s := placementPass{
		view: view, estimator: p.estimator, lease: p.Lease, batch: batch,
		hostIndexes: map[manager.PoolID]*hostIndex{}, noRoom: map[equivalenceClass][]manager.Resources{},
		previousHolds: p.holds, holds: map[manager.JobID]manager.VMID{}, trials: dueTrials(view),
	}
	s.run(newJobQueue(view, jobs))
	p.holds = s.holds
	p.visited = s.visited
}

// splitBatch splits a step's batch into commands of bounded size.
func splitBatch(now manager.Time, b manager.TaskBatch) []manager.Command {
	var commands []manager.Command
	for b.Size() > 0 {
		room := manager.MaxTaskBatch
		part := manager.TaskBatch{
			Finish: takeFront(&b.Finish, &room), Refuse: takeFront(&b.Refuse, &room),
			Order: takeFront(&b.Order, &room), Start: takeFront(&b.Start, &room),
		}
		if room > 0 {
			part.Renew, b.Renew = b.Renew, nil
		}
		commands = append(commands, manager.Command{At: now, PlaceTasks: &part})
	}
	return commands
}

// takeFront removes and returns up to room items from the front of a list.
func takeFront[T any](list *[]T, room *int) []T {
	n := min(len(*list), *room)
	part := (*list)[:n:n]
	*list = (*list)[n:]
	*room -= n
	return part
}
