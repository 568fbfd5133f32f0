package applier

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// teamKey identifies a team within a profile's quotas.
type teamKey struct {
	profile manager.ProfileID
	team    manager.TeamID
}

// classKey identifies a job class in one failure domain.
type classKey struct {
	profile manager.ProfileID
	class   string
	zone    manager.AvailabilityZone
	rack    manager.RackID
}

// vmTasks are the leases on a VM and the resources that they reserve.
type vmTasks struct {
	reserved manager.Resources
	leases   int
}

// taskIndex keeps sums over the leases, so that the cost of a check doesn't grow with the number of jobs.
type taskIndex struct {
	vms    map[manager.VMID]vmTasks
	teams  map[teamKey]manager.Resources
	zones  map[classKey]int
	racks  map[classKey]int
	leases map[manager.LeaseID]manager.JobID
	ended  endedHeap
	// view is the list that Fleet returns; dirty names the jobs that have changed since it was built.
	view  []manager.Job
	dirty map[manager.JobID]bool
}

func newTaskIndex() *taskIndex {
	return &taskIndex{
		vms:    map[manager.VMID]vmTasks{},
		teams:  map[teamKey]manager.Resources{},
		zones:  map[classKey]int{},
		racks:  map[classKey]int{},
		leases: map[manager.LeaseID]manager.JobID{},
		dirty:  map[manager.JobID]bool{},
	}
}

func teamOf(j manager.Job) teamKey { return teamKey{profile: j.Profile, team: j.Team} }

func zoneOf(j manager.Job, v manager.VM) classKey {
	return classKey{profile: j.Profile, class: j.Class, zone: v.AvailabilityZone}
}

func rackOf(j manager.Job, v manager.VM) classKey {
	return classKey{profile: j.Profile, class: j.Class, zone: v.AvailabilityZone, rack: v.Rack}
}

// putJob stores a job and updates the index.
func (s *State) putJob(j manager.Job) {
	if old, ok := s.jobs[j.Job]; ok && old.Lease != nil {
		s.countLease(old, -1)
	}
	if j.Lease != nil {
		s.countLease(j, 1)
	}
	if j.Lease == nil && j.State.Ended() {
		heap.Push(&s.tasks.ended, endedJob{at: j.FinishedAt, job: j.Job})
	}
	s.jobs[j.Job] = j
	s.tasks.dirty[j.Job] = true
}

func (s *State) countLease(j manager.Job, n int) {
	t, v, l := s.tasks, s.vms[j.Lease.VM], j.Lease
	r := l.Reserved
	if n < 0 {
		r = manager.Resources{}.Sub(r)
		delete(t.leases, l.Lease)
	} else {
		t.leases[l.Lease] = j.Job
	}
	on := t.vms[v.VM]
	setOrDelete(t.vms, v.VM, vmTasks{reserved: on.reserved.Add(r), leases: on.leases + n})
	setOrDelete(t.teams, teamOf(j), t.teams[teamOf(j)].Add(r))
	setOrDelete(t.zones, zoneOf(j, v), t.zones[zoneOf(j, v)]+n)
	setOrDelete(t.racks, rackOf(j, v), t.racks[rackOf(j, v)]+n)
}

// setOrDelete keeps only non-zero values, so that the index doesn't outgrow the leases.
func setOrDelete[K, V comparable](m map[K]V, k K, v V) {
	var zero V
	if v == zero {
		delete(m, k)
		return
	}
	m[k] = v
}

// LeasesOn counts the leases on a VM that may still be live; it is 0 once the VM has no tasks left.
func (s *State) LeasesOn(v manager.VMID) int { return s.tasks.vms[v].leases }

// checkNoLeases refuses to continue with a VM that still has tasks.
func (s *State) checkNoLeases(v manager.VMID) *manager.Failure {
	if s.LeasesOn(v) > 0 {
		return conflict("VM", string(v), "has tasks under live leases")
	}
	return nil
}

// checkQuarantine refuses to quarantine more VMs than the pool's budget allows, failed ones included.
func (s *State) checkQuarantine(v manager.VM) *manager.Failure {
	p, ok := s.profile(s.pools[v.Pool].Profile)
	if !ok {
		return notExist("profile", string(s.pools[v.Pool].Profile))
	}
	size, spent := 0, 0
	for _, o := range s.vms {
		if o.Pool != v.Pool {
			continue
		}
		size++
		if o.VM != v.VM && (o.Quarantined || !o.Available()) {
			spent++
		}
	}
	if spent >= p.Budget.Limit(size) {
		return conflict("pool", string(v.Pool), "budget allows no further VM to be quarantined")
	}
	return nil
}

// endedJob is an ended job without a lease.
type endedJob struct {
	at  manager.Time
	job manager.JobID
}

// endedHeap has the job that ended first on top.
type endedHeap []endedJob

func (h endedHeap) Len() int { return len(h) }

func (h endedHeap) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[k].at), cmp.Compare(h[i].job, h[k].job)) < 0
}

func (h endedHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(endedJob)) }

// Pop implements heap.Interface.
func (h *endedHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *State) evictEndedJob() {
	if s.tasks.ended.Len() == 0 {
		return
	}
	e := heap.Pop(&s.tasks.ended).(endedJob)
	delete(s.jobs, e.job)
	s.tasks.dirty[e.job] = true
}

// jobView returns the jobs ordered by id. It merges the changes into a new list, as older views may still
// be in use.
func (s *State) jobView() []manager.Job {
	t := s.tasks
	if len(t.dirty) == 0 && t.view != nil {
		return t.view
	}
	changed := sortedKeys(t.dirty)
	view := make([]manager.Job, 0, len(s.jobs))
	rest := t.view
	for _, id := range changed {
		i, found := slices.BinarySearchFunc(rest, id, func(j manager.Job, id manager.JobID) int { return cmp.Compare(j.Job, id) })
		view = append(view, rest[:i]...)
		rest = rest[i:]
		if found {
			rest = rest[1:]
		}
		if j, ok := s.jobs[id]; ok {
			view = append(view, j)
		}
	}
	t.view = slices.Concat(view, rest)
	t.dirty = map[manager.JobID]bool{}
	return t.view
}
