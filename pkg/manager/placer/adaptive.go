package placer

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// restartGap is the pause between two steps after which another leader may have acted in between.
const restartGap = 2 * manager.Second

// quietPeriod is the pause between two steps while neither the state nor a task's end calls for one;
// a longer one reacts later to memory that runs out.
const quietPeriod = 2 * manager.Second

// Adaptive is the real Placer: it learns sizes from usage, tells bad workers from poison jobs, makes
// room for urgent work by checkpoints and keeps memory from running out. All that it remembers is
// read anew from the state and the reports after a change of leader.
type Adaptive struct {
	// Lease is how long a task may run without its worker being heard, in milliseconds; 0 is DefaultLease.
	Lease manager.Duration

	tasks   map[manager.LeaseID]*task
	learner *learner
	health  *health
	held    map[manager.JobID]manager.VMID
	// since is when this placer began to plan without a gap.
	since     manager.Time
	last      manager.Time
	renewedAt manager.Time
	// planned and revision are of the last step that was not skipped; news says that a task has ended since.
	planned  manager.Time
	revision manager.Revision
	news     bool
	// alert says that a task has been told to end or outgrows its reservation, so that no step is skipped.
	alert bool
	// work counts the hosts and nodes that the latest step looked at.
	work int
}

// task is what the reports say of a lease.
type task struct {
	report  manager.UsageReport
	peak    manager.Resources
	heardAt manager.Time
	// growth is by how much the use of memory grows, in MB a second.
	growth manager.MegaBytes
}

var (
	_ manager.Placer    = (*Adaptive)(nil)
	_ manager.Explainer = (*Adaptive)(nil)
)

func (p *Adaptive) init() {
	if p.tasks != nil {
		return
	}
	p.tasks = map[manager.LeaseID]*task{}
	p.learner = newLearner()
	p.health = newHealth()
	p.held = map[manager.JobID]manager.VMID{}
	if p.Lease == 0 {
		p.Lease = DefaultLease
	}
}

// Observe takes workers' reports; one that is not newer than the last of its lease changes nothing.
func (p *Adaptive) Observe(now manager.Time, reports []manager.UsageReport) {
	p.init()
	for _, r := range reports {
		p.news = p.news || r.Result != ""
		t, ok := p.tasks[r.Lease]
		if !ok {
			p.tasks[r.Lease] = &task{report: r, peak: r.Used, heardAt: now}
			continue
		}
		t.take(now, r)
	}
}

func (t *task) take(now manager.Time, r manager.UsageReport) {
	if r.At <= t.report.At || t.report.Result != "" {
		return
	}
	if step := r.At.Sub(t.report.At); step > 0 {
		t.growth = (r.Used.MemoryMegaBytes - t.report.Used.MemoryMegaBytes) * manager.MegaBytes(manager.Second) / manager.MegaBytes(step)
	}
	t.report = r
	t.peak = t.peak.Max(r.Used)
	t.heardAt = now
}

// Plan returns the commands that the state calls for now.
func (p *Adaptive) Plan(now manager.Time, f manager.Fleet) []manager.Command {
	p.init()
	p.resume(now, f)
	if p.quiet(now, f) {
		return nil
	}
	b := newBoard(now, f, p.tasks)
	var batch manager.TaskBatch
	p.finish(b, &batch)
	commands := p.health.judge(b)
	p.refuse(b, &batch)
	p.drain(b, &batch)
	p.relieve(b, &batch)
	p.place(b, &batch)
	p.renew(b, &batch)
	p.alert = p.alert || len(batch.Order) > 0
	return append(commands, split(now, batch)...)
}

// resume notes a gap in planning and reads the history of the state at the first step.
func (p *Adaptive) resume(now manager.Time, f manager.Fleet) {
	if p.last == 0 {
		p.since = now
		p.rebuild(f)
	}
	if now.Sub(p.last) > restartGap {
		p.since = now
	}
	p.last = now
}

// quiet tells whether a step can be skipped, as nothing has changed since the last one.
func (p *Adaptive) quiet(now manager.Time, f manager.Fleet) bool {
	if f.Revision == p.revision && !p.news && !p.alert && p.planned > 0 && now.Sub(p.planned) < quietPeriod {
		return true
	}
	p.planned, p.revision, p.news, p.alert = now, f.Revision, false, false
	return false
}

func (p *Adaptive) rebuild(f manager.Fleet) {
	p.health.rebuild(f)
	for _, j := range f.Jobs {
		if j.State == manager.JobDone {
			p.learner.learn(j, j.Peak, j.Progress.DoneMs)
		}
	}
}

// finish ends the leases whose tasks ended and those that nobody reported until they surely ended.
func (p *Adaptive) finish(b *board, batch *manager.TaskBatch) {
	live := make(map[manager.LeaseID]*task, len(p.tasks))
	for i := range b.fleet.Jobs {
		j := &b.fleet.Jobs[i]
		if j.Lease == nil {
			p.correct(j, batch)
			continue
		}
		t := p.tasks[j.Lease.Lease]
		if t != nil {
			live[j.Lease.Lease] = t
		}
		c, ended := p.ending(b.now, j, t)
		if !ended {
			continue
		}
		batch.Finish = append(batch.Finish, c)
		p.record(b.now, j, c)
		b.release(j)
	}
	p.tasks = live
}

// correct passes on the late report of a task that was taken for lost.
func (p *Adaptive) correct(j *manager.Job, batch *manager.TaskBatch) {
	if j.State != manager.JobUnknown {
		return
	}
	t, ok := p.tasks[j.LastLease]
	if !ok || (t.report.Result != manager.TaskSucceeded && t.report.Result != manager.TaskFailed) {
		return
	}
	batch.Finish = append(batch.Finish, manager.FinishTask{
		Job: j.Job, Lease: j.LastLease, Result: t.report.Result, Reason: t.report.Reason, DoneMs: t.report.DoneMs, Peak: t.peak,
	})
}

// ending returns how a lease ended. A new leader waits for a whole lease of its own before it takes
// one for lost, as the clock of the leader before may have run ahead.
func (p *Adaptive) ending(now manager.Time, j *manager.Job, t *task) (manager.FinishTask, bool) {
	c := manager.FinishTask{Job: j.Job, Lease: j.Lease.Lease}
	if t != nil {
		c.Peak = t.peak
	}
	if t != nil && t.report.Result != "" {
		c.Result, c.Reason, c.DoneMs = t.report.Result, t.report.Reason, t.report.DoneMs
		return c, true
	}
	certain := now >= j.Lease.Until.Add(manager.LeaseMargin) && now.Sub(p.since) >= p.Lease+manager.LeaseMargin
	c.Result, c.Reason = manager.TaskLost, "its worker was not heard"
	return c, certain
}

// record learns from the end of a task.
func (p *Adaptive) record(now manager.Time, j *manager.Job, c manager.FinishTask) {
	switch c.Result {
	case manager.TaskSucceeded:
		p.learner.learn(*j, j.Peak.Max(c.Peak), c.DoneMs)
		p.health.succeeded(now, j, j.Lease.VM)
	case manager.TaskFailed:
		p.health.failed(now, j.Job, j.Lease.VM, j.Lease.Probe)
	case manager.TaskLost:
		p.health.lost(now, j.Lease.VM)
	case manager.TaskCheckpointed, manager.TaskNotStarted, manager.TaskStopped, manager.TaskExpired:
	}
}

// refuse ends the jobs that can never run.
func (p *Adaptive) refuse(b *board, batch *manager.TaskBatch) {
	failed := failedJobs(b.fleet)
	for i := range b.fleet.Jobs {
		j := &b.fleet.Jobs[i]
		if !waiting(j) {
			continue
		}
		reason := p.never(b, j, failed)
		if reason == "" {
			continue
		}
		batch.Refuse = append(batch.Refuse, manager.RefuseJob{Job: j.Job, Reason: reason})
		p.health.acquit(j)
	}
}

// never returns why a job can never run, or "".
func (p *Adaptive) never(b *board, j *manager.Job, failed map[manager.JobID]*manager.Job) string {
	need := p.learner.size(*j)
	if !b.fitsSome(j.Pool, need) {
		return "needs " + describe(need) + ", and no VM" + inPool(j.Pool) + " is that large"
	}
	if q, ok := b.ruleOf(j).quotas[j.Team]; ok && !q.Fits(need) {
		return "needs " + describe(need) + ", and the quota of team " + string(j.Team) + " is " + describe(q)
	}
	if len(j.FailedOn) == 0 {
		return ""
	}
	return p.health.poison(b.now, j, failed)
}

// place starts waiting jobs or makes room for them.
func (p *Adaptive) place(b *board, batch *manager.TaskBatch) {
	refused := make(map[manager.JobID]bool, len(batch.Refuse))
	for _, c := range batch.Refuse {
		refused[c.Job] = true
	}
	var jobs []*manager.Job
	for i := range b.fleet.Jobs {
		if j := &b.fleet.Jobs[i]; waiting(j) && !refused[j.Job] {
			jobs = append(jobs, j)
		}
	}
	s := starter{
		b: b, learner: p.learner, lease: p.Lease, batch: batch,
		scopes: map[manager.PoolID]*scope{}, noRoom: map[group][]manager.Resources{},
		held: p.held, holds: map[manager.JobID]manager.VMID{}, trials: dueTrials(b),
	}
	s.run(newQueue(b, jobs))
	p.held = s.holds
	p.work = s.work
}

// split cuts a step's batch into commands of bounded size.
func split(now manager.Time, b manager.TaskBatch) []manager.Command {
	var commands []manager.Command
	for b.Size() > 0 {
		room := manager.MaxTaskBatch
		part := manager.TaskBatch{
			Finish: take(&b.Finish, &room), Refuse: take(&b.Refuse, &room),
			Order: take(&b.Order, &room), Start: take(&b.Start, &room),
		}
		if room > 0 {
			part.Renew, b.Renew = b.Renew, nil
		}
		commands = append(commands, manager.Command{At: now, PlaceTasks: &part})
	}
	return commands
}

// take removes up to room items from the front of a list.
func take[T any](list *[]T, room *int) []T {
	n := min(len(*list), *room)
	part := (*list)[:n:n]
	*list = (*list)[n:]
	*room -= n
	return part
}
