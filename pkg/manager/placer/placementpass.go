package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxStarts bounds the starts of one step, and with them the size of its batch and its time.
	maxStarts = 1_000
	// holdAfter is the waiting time after which a host is held for a job that finds no room.
	holdAfter = 30 * manager.Second
	// maxFullScans bounds the searches of one step that visit every host.
	maxFullScans = 32
	// maxTrials bounds the suspect VMs that are considered for one job.
	maxTrials = 8
	// hostsPerHold limits the held hosts to about one per this many; more holds would leave more capacity idle.
	hostsPerHold = 50
)

// equivalenceClass identifies jobs that may run on the same hosts. If one of them finds no room, a larger one
// need not be tried.
type equivalenceClass struct {
	pool       manager.PoolID
	profile    manager.ProfileID
	class      string
	idempotent bool
}

// maxNoRoomSizes bounds the sizes without room that are remembered for an equivalence class.
const maxNoRoomSizes = 16

// knownNoRoom reports whether a job of the class with the same or a smaller need has found no room.
func (s *placementPass) knownNoRoom(g equivalenceClass, need manager.Resources) bool {
	return slices.ContainsFunc(s.noRoom[g], need.Fits)
}

// recordNoRoom records a size without room and drops the larger ones, which it implies.
func (s *placementPass) recordNoRoom(g equivalenceClass, need manager.Resources) {
	list := slices.DeleteFunc(s.noRoom[g], func(r manager.Resources) bool { return r.Fits(need) })
	if len(list) < maxNoRoomSizes {
		list = append(list, need)
	}
	s.noRoom[g] = list
}

// placementPass places the waiting jobs in one step.
type placementPass struct {
	view        *fleetView
	estimator   *estimator
	lease       manager.Duration
	hostIndexes map[manager.PoolID]*hostIndex
	noRoom      map[equivalenceClass][]manager.Resources
	fullScans   int
	// visited counts the hosts and tree nodes that were visited.
	visited int
	trials  []int
	// previousHolds maps jobs to the VMs held for them in the previous step; holds to those of this step.
	previousHolds map[manager.JobID]manager.VMID
	holds         map[manager.JobID]manager.VMID
	batch         *manager.TaskBatch
}

func (s *placementPass) hostIndex(p manager.PoolID) *hostIndex {
	x, ok := s.hostIndexes[p]
	if !ok {
		x = newHostIndex(s.view, p)
		s.hostIndexes[p] = x
		s.visited += len(x.hosts)
	}
	return x
}

func (s *placementPass) refresh(i int) {
	for _, p := range []manager.PoolID{"", s.view.hosts[i].vm.Pool} {
		if x, ok := s.hostIndexes[p]; ok {
			x.refresh(i)
		}
	}
}

// run tries every waiting job once, in the order of the queue.
func (s *placementPass) run(q *jobQueue) {
	for j := q.next(); j != nil && len(s.batch.Start) < maxStarts; j = q.next() {
		s.place(j)
	}
}

func (s *placementPass) place(j *manager.Job) {
	s.visited++
	need := s.estimator.reservation(*j)
	if !s.view.withinQuota(j, need) {
		return
	}
	g := equivalenceClass{pool: j.Pool, profile: j.Profile, class: j.Class, idempotent: j.Idempotent}
	failedBefore := len(j.FailedOn) > 0
	if !failedBefore && s.knownNoRoom(g, need) && !s.waitedLong(j) {
		return
	}
	x := s.hostIndex(j.Pool)
	if s.start(x, j, need) || s.reserveStopping(x, j, need) || s.preempt(x, j, need) {
		return
	}
	if !failedBefore {
		s.recordNoRoom(g, need)
	}
	s.holdHost(x, j, need)
}

// acceptFunc returns a function that checks everything but room for a job on a host. avoid excludes VMs, if not nil.
func (s *placementPass) acceptFunc(x *hostIndex, j *manager.Job, avoid func(v manager.VM) bool) func(leaf int) bool {
	return func(leaf int) bool {
		h := &s.view.hosts[x.hosts[leaf]]
		if !accepts(h, j) || (avoid != nil && avoid(h.vm)) {
			return false
		}
		return s.view.withinSpread(j, h.vm)
	}
}

func accepts(h *host, j *manager.Job) bool {
	switch h.eligibility {
	case acceptAny:
		return true
	case acceptIdempotent:
		return j.Idempotent
	case acceptTrial:
		return j.Idempotent && len(j.FailedOn) == 0 && len(h.tasks) == 0
	default:
		return false
	}
}

// find searches a tree for a host. For a job that has failed it prefers another availability zone, then another
// rack and at last another VM, because failures are correlated.
func (s *placementPass) find(x *hostIndex, t *maxTree, j *manager.Job, need manager.Resources) (int, bool) {
	if len(j.FailedOn) == 0 {
		return s.findIn(x, t, need, s.acceptFunc(x, j, nil))
	}
	for _, avoid := range s.exclusions(j) {
		if i, ok := s.findIn(x, t, need, s.acceptFunc(x, j, avoid)); ok {
			return i, true
		}
	}
	return 0, false
}

// findIn searches a tree. A search that gave up is repeated as a linear scan, a bounded number of times per step.
func (s *placementPass) findIn(x *hostIndex, t *maxTree, need manager.Resources, accept func(leaf int) bool) (int, bool) {
	leaf, ok, visits := t.find(need, accept)
	s.visited += visits
	if !ok && visits > maxVisits && s.fullScans < maxFullScans {
		s.fullScans++
		s.visited += t.leaves
		leaf, ok = t.scan(need, accept)
	}
	if !ok {
		return 0, false
	}
	return x.hosts[leaf], true
}

func (s *placementPass) exclusions(j *manager.Job) []func(v manager.VM) bool {
	zones := map[manager.AvailabilityZone]bool{}
	racks := map[manager.RackID]bool{}
	for _, id := range j.FailedOn {
		if i, ok := s.view.index[id]; ok {
			zones[s.view.hosts[i].vm.AvailabilityZone] = true
			racks[s.view.hosts[i].vm.Rack] = true
		}
	}
	return []func(v manager.VM) bool{
		func(v manager.VM) bool { return zones[v.AvailabilityZone] },
		func(v manager.VM) bool { return racks[v.Rack] },
		func(v manager.VM) bool { return slices.Contains(j.FailedOn, v.VM) },
		func(v manager.VM) bool { return slices.Contains(latestFailedVMs(j), v.VM) },
	}
}

// latestFailedVMs returns the later half of the VMs that a job failed on; it avoids these even if it has failed
// on every VM.
func latestFailedVMs(j *manager.Job) []manager.VMID {
	return j.FailedOn[len(j.FailedOn)/2:]
}

// trial returns a suspect VM that is due for a trial job; without one the VM would never return to use. Jobs of
// the most urgent class are not used as trials.
func (s *placementPass) trial(j *manager.Job, need manager.Resources) (int, bool) {
	r := s.view.rulesOf(j)
	if r.class(j.Class).Priority <= r.mostUrgent {
		return 0, false
	}
	for k, i := range s.trials[:min(len(s.trials), maxTrials)] {
		h := &s.view.hosts[i]
		if !accepts(h, j) || !h.free.Fits(need) || !s.view.withinSpread(j, h.vm) || (j.Pool != "" && j.Pool != h.vm.Pool) {
			continue
		}
		s.trials = slices.Delete(s.trials, k, k+1)
		return i, true
	}
	return 0, false
}

// dueTrials lists the suspect VMs that are due for a trial job.
func dueTrials(view *fleetView) []int {
	var list []int
	for i := range view.hosts {
		if h := &view.hosts[i]; h.eligibility == acceptTrial && h.vm.Available() {
			list = append(list, i)
		}
	}
	return list
}

func (s *placementPass) start(x *hostIndex, j *manager.Job, need manager.Resources) bool {
	i, ok := s.trial(j, need)
	if !ok {
		i, ok = s.find(x, x.free, j, need)
	}
	if !ok {
		return false
	}
	h := &s.view.hosts[i]
	s.batch.Start = append(s.batch.Start, manager.StartTask{
		Job: j.Job, VM: h.vm.VM, Epoch: h.vm.Epoch, Until: s.view.now.Add(s.lease), Reserved: need, Probe: h.vm.Quarantined,
	})
	h.tasks = append(h.tasks, &leasedTask{job: j, class: s.view.rulesOf(j).class(j.Class), need: need, starting: true})
	if h.eligibility == acceptTrial {
		h.eligibility = acceptNone
	}
	s.view.addUsage(j, h.vm, need, 1)
	s.reserveRoom(i, need)
	return true
}

// reserveRoom subtracts the room for a job that starts on a host or waits for it.
func (s *placementPass) reserveRoom(i int, need manager.Resources) {
	s.view.hosts[i].free = s.view.hosts[i].free.Sub(need)
	s.refresh(i)
}

// reserveStopping reserves for a job the room of tasks that have already been ordered to checkpoint or stop.
func (s *placementPass) reserveStopping(x *hostIndex, j *manager.Job, need manager.Resources) bool {
	i, ok := s.find(x, x.afterStops, j, need)
	if !ok {
		return false
	}
	s.reserveFor(i, j, need)
	return true
}

// reserveFor reserves room for a waiting job and counts it against quota and spread for this step.
func (s *placementPass) reserveFor(i int, j *manager.Job, need manager.Resources) {
	s.view.addUsage(j, s.view.hosts[i].vm, need, 1)
	s.reserveRoom(i, need)
}

// preempt orders checkpoints of less urgent tasks to make room for a job.
func (s *placementPass) preempt(x *hostIndex, j *manager.Job, need manager.Resources) bool {
	priority := s.view.rulesOf(j).class(j.Class).Priority
	if priority == leastUrgent {
		return false
	}
	i, ok := s.find(x, x.preemptionTree(priority), j, need)
	if !ok {
		return false
	}
	h := &s.view.hosts[i]
	for _, victim := range victims(h, priority, need) {
		s.batch.Order = append(s.batch.Order, s.view.setOrder(h, victim, manager.TaskCheckpoint))
	}
	s.reserveFor(i, j, need)
	return true
}

// victims returns the tasks to checkpoint so that need fits: the least urgent first, then the most recently
// submitted, then the largest, without those whose room turns out not to be needed.
func victims(h *host, priority int, need manager.Resources) []*leasedTask {
	var list []*leasedTask
	for _, t := range h.tasks {
		if preemptible(t, priority) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, c *leasedTask) int {
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

func (s *placementPass) waitedLong(j *manager.Job) bool {
	return s.view.now.Sub(j.SubmittedAt) >= holdAfter && len(s.holds) <= len(s.view.hosts)/hostsPerHold
}

// holdHost reserves, for a job that has waited long, room on the host that is expected to have it first.
// Otherwise smaller jobs would fill each gap before it is large enough.
func (s *placementPass) holdHost(x *hostIndex, j *manager.Job, need manager.Resources) {
	if !s.waitedLong(j) {
		return
	}
	i, ok := s.view.index[s.previousHolds[j.Job]]
	if !ok || !s.canHold(i, j, need) {
		i, ok = s.soonestFree(x, j, need)
	}
	if !ok {
		return
	}
	s.holds[j.Job] = s.view.hosts[i].vm.VM
	s.reserveFor(i, j, need)
}

func (s *placementPass) canHold(i int, j *manager.Job, need manager.Resources) bool {
	h := &s.view.hosts[i]
	return roomAfterStops(h) != unschedulable && accepts(h, j) && h.vm.Capacity.Fits(need) && s.view.withinSpread(j, h.vm) &&
		!slices.Contains(j.FailedOn, h.vm.VM)
}

// soonestFree returns the host whose tasks are expected to end first.
func (s *placementPass) soonestFree(x *hostIndex, j *manager.Job, need manager.Resources) (int, bool) {
	s.visited += len(x.hosts)
	best, found, least := 0, false, manager.Duration(0)
	for _, i := range x.hosts {
		if !s.canHold(i, j, need) {
			continue
		}
		if busy := s.busyFor(&s.view.hosts[i]); !found || busy < least {
			best, found, least = i, true, busy
		}
	}
	return best, found
}

// busyFor returns how long the tasks of a host are expected to run; a host whose capacity is already
// overcommitted counts as an hour busier.
func (s *placementPass) busyFor(h *host) manager.Duration {
	longest := manager.Duration(0)
	for _, t := range h.tasks {
		longest = max(longest, s.estimator.remaining(s.view.now, t))
	}
	if !h.free.Fits(manager.Resources{}) {
		longest += manager.Hour
	}
	return longest
}
