package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxStarts bounds the starts of one step, so that a step's batch and its time stay bounded.
	maxStarts = 1_000
	// holdAfter is the wait after which a job without room gets a host held for it.
	holdAfter = 30 * manager.Second
	// maxScans bounds the searches of one step that look at every host.
	maxScans = 32
	// maxTrials bounds the suspect VMs that one job is tried on.
	maxTrials = 8
	// hostsAHold is the number of hosts for each one that may be held; more holds idle capacity.
	hostsAHold = 50
)

// group is the jobs that may run on the same hosts; where one finds no room, a larger one need not be tried.
type group struct {
	pool       manager.PoolID
	profile    manager.ProfileID
	class      string
	idempotent bool
}

// maxTooLarge bounds the sizes remembered of a group that found no room.
const maxTooLarge = 16

// tooLarge tells whether a job of the group that is no larger has found no room.
func (s *starter) tooLarge(g group, need manager.Resources) bool {
	return slices.ContainsFunc(s.noRoom[g], need.Fits)
}

// noteNoRoom remembers a size in place of the larger ones.
func (s *starter) noteNoRoom(g group, need manager.Resources) {
	list := slices.DeleteFunc(s.noRoom[g], func(r manager.Resources) bool { return r.Fits(need) })
	if len(list) < maxTooLarge {
		list = append(list, need)
	}
	s.noRoom[g] = list
}

// starter places the waiting jobs of one step.
type starter struct {
	b       *board
	learner *learner
	lease   manager.Duration
	scopes  map[manager.PoolID]*scope
	noRoom  map[group][]manager.Resources
	scans   int
	// work counts the hosts and nodes looked at.
	work   int
	trials []int
	// held names the host that an old job was promised in the step before, holds those of this step.
	held  map[manager.JobID]manager.VMID
	holds map[manager.JobID]manager.VMID
	batch *manager.TaskBatch
}

func (s *starter) scope(p manager.PoolID) *scope {
	sc, ok := s.scopes[p]
	if !ok {
		sc = newScope(s.b, p)
		s.scopes[p] = sc
		s.work += len(sc.hosts)
	}
	return sc
}

func (s *starter) changed(i int) {
	for _, p := range []manager.PoolID{"", s.b.hosts[i].vm.Pool} {
		if sc, ok := s.scopes[p]; ok {
			sc.changed(i)
		}
	}
}

// run tries every waiting job once, in the queue's order.
func (s *starter) run(q *queue) {
	for j := q.next(); j != nil && len(s.batch.Start) < maxStarts; j = q.next() {
		s.place(j)
	}
}

func (s *starter) place(j *manager.Job) {
	s.work++
	need := s.learner.size(*j)
	if !s.b.quotaLeft(j, need) {
		return
	}
	g := group{pool: j.Pool, profile: j.Profile, class: j.Class, idempotent: j.Idempotent}
	lone := len(j.FailedOn) > 0
	if !lone && s.tooLarge(g, need) && !s.old(j) {
		return
	}
	sc := s.scope(j.Pool)
	if s.start(sc, j, need) || s.wait(sc, j, need) || s.preempt(sc, j, need) {
		return
	}
	if !lone {
		s.noteNoRoom(g, need)
	}
	s.hold(sc, j, need)
}

// accepts returns what lets a job onto a host besides room. A job that has failed goes to another
// zone first, then to another rack and at last to another VM, as failures come correlated.
func (s *starter) accepts(sc *scope, j *manager.Job, avoid func(v manager.VM) bool) func(leaf int) bool {
	return func(leaf int) bool {
		h := &s.b.hosts[sc.hosts[leaf]]
		if !suits(h, j) || (avoid != nil && avoid(h.vm)) {
			return false
		}
		return s.b.spreadLeft(j, h.vm)
	}
}

func suits(h *host, j *manager.Job) bool {
	switch h.standing {
	case standingGood:
		return true
	case standingDoubtful:
		return j.Idempotent
	case standingTrial:
		return j.Idempotent && len(j.FailedOn) == 0 && len(h.tasks) == 0
	default:
		return false
	}
}

// find searches a tree of the scope.
func (s *starter) find(sc *scope, t *tree, j *manager.Job, need manager.Resources) (int, bool) {
	if len(j.FailedOn) == 0 {
		return s.findIn(sc, t, need, s.accepts(sc, j, nil))
	}
	for _, avoid := range s.avoidances(j) {
		if i, ok := s.findIn(sc, t, need, s.accepts(sc, j, avoid)); ok {
			return i, true
		}
	}
	return 0, false
}

// findIn searches a tree; a search that gave up is done again leaf by leaf, a bounded number of times.
func (s *starter) findIn(sc *scope, t *tree, need manager.Resources, accept func(leaf int) bool) (int, bool) {
	leaf, ok, visits := t.find(need, accept)
	s.work += visits
	if !ok && visits > maxVisits && s.scans < maxScans {
		s.scans++
		s.work += t.leaves
		leaf, ok = t.scan(need, accept)
	}
	if !ok {
		return 0, false
	}
	return sc.hosts[leaf], true
}

func (s *starter) avoidances(j *manager.Job) []func(v manager.VM) bool {
	zones := map[manager.AvailabilityZone]bool{}
	racks := map[manager.RackID]bool{}
	for _, id := range j.FailedOn {
		if i, ok := s.b.index[id]; ok {
			zones[s.b.hosts[i].vm.AvailabilityZone] = true
			racks[s.b.hosts[i].vm.Rack] = true
		}
	}
	return []func(v manager.VM) bool{
		func(v manager.VM) bool { return zones[v.AvailabilityZone] },
		func(v manager.VM) bool { return racks[v.Rack] },
		func(v manager.VM) bool { return slices.Contains(j.FailedOn, v.VM) },
		func(v manager.VM) bool { return slices.Contains(lastFailures(j), v.VM) },
	}
}

// lastFailures returns the VMs that a job avoids even where it has failed on every one.
func lastFailures(j *manager.Job) []manager.VMID {
	return j.FailedOn[len(j.FailedOn)/2:]
}

// trial returns a suspect VM that is due a job, as it would not come back to use otherwise; urgent
// jobs don't try such VMs.
func (s *starter) trial(j *manager.Job, need manager.Resources) (int, bool) {
	r := s.b.ruleOf(j)
	if r.class(j.Class).Priority <= r.urgent {
		return 0, false
	}
	for k, i := range s.trials[:min(len(s.trials), maxTrials)] {
		h := &s.b.hosts[i]
		if !suits(h, j) || !h.free.Fits(need) || !s.b.spreadLeft(j, h.vm) || (j.Pool != "" && j.Pool != h.vm.Pool) {
			continue
		}
		s.trials = slices.Delete(s.trials, k, k+1)
		return i, true
	}
	return 0, false
}

// dueTrials lists the suspect VMs that are due a job.
func dueTrials(b *board) []int {
	var list []int
	for i := range b.hosts {
		if h := &b.hosts[i]; h.standing == standingTrial && h.vm.Available() {
			list = append(list, i)
		}
	}
	return list
}

func (s *starter) start(sc *scope, j *manager.Job, need manager.Resources) bool {
	i, ok := s.trial(j, need)
	if !ok {
		i, ok = s.find(sc, sc.free, j, need)
	}
	if !ok {
		return false
	}
	h := &s.b.hosts[i]
	s.batch.Start = append(s.batch.Start, manager.StartTask{
		Job: j.Job, VM: h.vm.VM, Epoch: h.vm.Epoch, Until: s.b.now.Add(s.lease), Reserved: need, Probe: h.vm.Quarantined,
	})
	h.tasks = append(h.tasks, &held{job: j, class: s.b.ruleOf(j).class(j.Class), need: need, fresh: true})
	if h.standing == standingTrial {
		h.standing = standingBarred
	}
	s.b.count(j, h.vm, need, 1)
	s.promise(i, need)
	return true
}

// promise takes room off a host for a job that starts or waits there.
func (s *starter) promise(i int, need manager.Resources) {
	s.b.hosts[i].free = s.b.hosts[i].free.Sub(need)
	s.changed(i)
}

// wait promises a job the room of tasks that have been told to end already.
func (s *starter) wait(sc *scope, j *manager.Job, need manager.Resources) bool {
	i, ok := s.find(sc, sc.soon, j, need)
	if !ok {
		return false
	}
	s.reserve(i, j, need)
	return true
}

// reserve promises room to a waiting job and counts it against quota and spread for this step.
func (s *starter) reserve(i int, j *manager.Job, need manager.Resources) {
	s.b.count(j, s.b.hosts[i].vm, need, 1)
	s.promise(i, need)
}

// preempt has less urgent tasks checkpointed to make room.
func (s *starter) preempt(sc *scope, j *manager.Job, need manager.Resources) bool {
	priority := s.b.ruleOf(j).class(j.Class).Priority
	if priority == leastUrgent {
		return false
	}
	i, ok := s.find(sc, sc.yieldingTo(priority), j, need)
	if !ok {
		return false
	}
	h := &s.b.hosts[i]
	for _, victim := range victims(h, priority, need) {
		s.batch.Order = append(s.batch.Order, s.b.order(h, victim, manager.TaskCheckpoint))
	}
	s.reserve(i, j, need)
	return true
}

// victims returns the tasks to checkpoint so that need fits: the least urgent and youngest first, and none
// whose room is not needed after all.
func victims(h *host, priority int, need manager.Resources) []*held {
	var list []*held
	for _, t := range h.tasks {
		if yields(t, priority) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, c *held) int {
		return cmp.Or(
			cmp.Compare(c.class.Priority, a.class.Priority),
			cmp.Compare(c.job.SubmittedAt, a.job.SubmittedAt),
			cmp.Compare(c.need.MemoryMegaBytes, a.need.MemoryMegaBytes),
		)
	})
	room := h.free.Add(h.releasing)
	n := 0
	for n < len(list) && !room.Fits(need) {
		room = room.Add(list[n].need)
		n++
	}
	chosen := list[:n]
	for k := len(chosen) - 1; k >= 0; k-- {
		if less := room.Sub(chosen[k].need); less.Fits(need) {
			room = less
			chosen = slices.Delete(slices.Clone(chosen), k, k+1)
		}
	}
	return chosen
}

func (s *starter) old(j *manager.Job) bool {
	return s.b.now.Sub(j.SubmittedAt) >= holdAfter && len(s.holds) <= len(s.b.hosts)/hostsAHold
}

// hold keeps new tasks off the host that will have room for an old job first, so that smaller jobs
// don't fill each hole before it is large enough.
func (s *starter) hold(sc *scope, j *manager.Job, need manager.Resources) {
	if !s.old(j) {
		return
	}
	i, ok := s.b.index[s.held[j.Job]]
	if !ok || !s.canHold(i, j, need) {
		i, ok = s.nextFree(sc, j, need)
	}
	if !ok {
		return
	}
	s.holds[j.Job] = s.b.hosts[i].vm.VM
	s.reserve(i, j, need)
}

func (s *starter) canHold(i int, j *manager.Job, need manager.Resources) bool {
	h := &s.b.hosts[i]
	return soonRoom(h) != closed && suits(h, j) && h.vm.Capacity.Fits(need) && s.b.spreadLeft(j, h.vm) &&
		!slices.Contains(j.FailedOn, h.vm.VM)
}

// nextFree returns the host whose tasks are likely to end first.
func (s *starter) nextFree(sc *scope, j *manager.Job, need manager.Resources) (int, bool) {
	s.work += len(sc.hosts)
	best, found, least := 0, false, manager.Duration(0)
	for _, i := range sc.hosts {
		if !s.canHold(i, j, need) {
			continue
		}
		if rest := s.rest(&s.b.hosts[i]); !found || rest < least {
			best, found, least = i, true, rest
		}
	}
	return best, found
}

// rest returns how long the tasks of a host are likely to run on; a host that is promised already
// counts as busier.
func (s *starter) rest(h *host) manager.Duration {
	rest := manager.Duration(0)
	for _, t := range h.tasks {
		rest = max(rest, s.learner.remaining(s.b.now, t))
	}
	if !h.free.Fits(manager.Resources{}) {
		rest += manager.Hour
	}
	return rest
}
