package placer

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// rules indexes the rules of a profile by name.
type rules struct {
	profile manager.Profile
	classes map[string]manager.JobClass
	quotas  map[manager.TeamID]manager.Resources
	// mostUrgent is the lowest priority number of the profile's classes.
	mostUrgent int
}

// leastUrgent is the priority of a job without a class.
const leastUrgent = math.MaxInt32

func newRules(p manager.Profile) *rules {
	r := &rules{
		profile:    p,
		classes:    make(map[string]manager.JobClass, len(p.JobClasses)),
		quotas:     make(map[manager.TeamID]manager.Resources, len(p.Quotas)),
		mostUrgent: leastUrgent,
	}
	for _, c := range p.JobClasses {
		r.classes[c.Class] = c
		r.mostUrgent = min(r.mostUrgent, c.Priority)
	}
	for _, q := range p.Quotas {
		r.quotas[q.Team] = q.Resources
	}
	return r
}

func (r *rules) class(name string) manager.JobClass {
	if c, ok := r.classes[name]; ok {
		return c
	}
	return manager.JobClass{Class: name, Priority: leastUrgent}
}

// leasedTask is a task that holds a lease.
type leasedTask struct {
	job   *manager.Job
	class manager.JobClass
	// need is the capacity that the task takes: its reservation or, if larger, its reported usage.
	need  manager.Resources
	usage *taskUsage
	// order is the task's order once this step's commands are applied.
	order manager.TaskOrder
	// starting is set if this step starts the task.
	starting bool
}

// stopping reports whether the task has been ordered to checkpoint or stop.
func (t *leasedTask) stopping() bool {
	return t.order == manager.TaskCheckpoint || t.order == manager.TaskStop
}

// host is a VM with the tasks that run on it.
type host struct {
	vm manager.VM
	// free is the capacity that no task takes and that is not reserved for a waiting job; it may be negative.
	free manager.Resources
	// releasing is the capacity of tasks that have been ordered to checkpoint or stop.
	releasing   manager.Resources
	tasks       []*leasedTask
	eligibility eligibility
}

type teamKey struct {
	profile manager.ProfileID
	team    manager.TeamID
}

// domainKey identifies a job class in one failure domain.
type domainKey struct {
	profile manager.ProfileID
	class   string
	zone    manager.AvailabilityZone
	rack    manager.RackID
}

// fleetView is one placement step's working copy of the fleet.
type fleetView struct {
	now    manager.Time
	fleet  manager.Fleet
	rules  map[manager.ProfileID]*rules
	hosts  []host
	index  map[manager.VMID]int
	teams  map[teamKey]manager.Resources
	spread map[domainKey]int
	total  manager.Resources
	// shapes lists the distinct capacities of each pool's VMs; the empty pool ID stands for all pools.
	shapes map[manager.PoolID][]manager.Resources
}

func newFleetView(now manager.Time, f manager.Fleet, tasks map[manager.LeaseID]*taskUsage) *fleetView {
	view := &fleetView{
		now: now, fleet: f,
		rules:  make(map[manager.ProfileID]*rules, len(f.Profiles)),
		hosts:  make([]host, len(f.VMs)),
		index:  make(map[manager.VMID]int, len(f.VMs)),
		teams:  map[teamKey]manager.Resources{},
		spread: map[domainKey]int{},
		shapes: map[manager.PoolID][]manager.Resources{},
	}
	for _, p := range f.Profiles {
		view.rules[p.Profile] = newRules(p)
	}
	for i, v := range f.VMs {
		view.hosts[i] = host{vm: v, free: v.Capacity}
		view.index[v.VM] = i
		view.total = view.total.Add(v.Capacity)
		view.addShape("", v.Capacity)
		view.addShape(v.Pool, v.Capacity)
	}
	for i := range f.Jobs {
		if j := &f.Jobs[i]; j.Lease != nil {
			view.addTask(j, tasks[j.Lease.Lease])
		}
	}
	return view
}

// maxShapes bounds the distinct capacities of a pool. A capacity beyond the bound is merged into the first in
// the list, by the maximum of each dimension.
const maxShapes = 64

func (view *fleetView) addShape(p manager.PoolID, r manager.Resources) {
	list := view.shapes[p]
	for i, s := range list {
		if s.Fits(r) {
			return
		}
		if r.Fits(s) || len(list) >= maxShapes {
			list[i] = s.Max(r)
			return
		}
	}
	view.shapes[p] = append(list, r)
}

// fitsSome reports whether an empty VM of the pool would be large enough for need, or the pool has no VM.
func (view *fleetView) fitsSome(p manager.PoolID, need manager.Resources) bool {
	for _, s := range view.shapes[p] {
		if s.Fits(need) {
			return true
		}
	}
	return len(view.shapes[p]) == 0
}

// rulesOf returns the rules of a job's profile; every job in the state has one.
func (view *fleetView) rulesOf(j *manager.Job) *rules {
	if r, ok := view.rules[j.Profile]; ok {
		return r
	}
	return newRules(manager.Profile{Profile: j.Profile})
}

func (view *fleetView) addTask(j *manager.Job, u *taskUsage) {
	i, ok := view.index[j.Lease.VM]
	if !ok {
		return
	}
	t := &leasedTask{job: j, class: view.rulesOf(j).class(j.Class), need: j.Lease.Reserved, usage: u, order: j.Lease.Order}
	if u != nil {
		t.need = t.need.Max(u.report.Used)
		t.need.Accelerators = j.Lease.Reserved.Accelerators
	}
	h := &view.hosts[i]
	h.tasks = append(h.tasks, t)
	h.free = h.free.Sub(t.need)
	if t.stopping() {
		h.releasing = h.releasing.Add(t.need)
	}
	view.addUsage(j, h.vm, j.Lease.Reserved, 1)
}

// addUsage updates the sums that quotas and spread are checked against, in the way the state machine checks them.
func (view *fleetView) addUsage(j *manager.Job, v manager.VM, r manager.Resources, n int) {
	if n < 0 {
		r = manager.Resources{}.Sub(r)
	}
	k := teamKey{profile: j.Profile, team: j.Team}
	view.teams[k] = view.teams[k].Add(r)
	zone, rack := domains(j, v)
	view.spread[zone] += n
	view.spread[rack] += n
}

func domains(j *manager.Job, v manager.VM) (zone, rack domainKey) {
	zone = domainKey{profile: j.Profile, class: j.Class, zone: v.AvailabilityZone}
	rack = zone
	rack.rack = v.Rack
	return zone, rack
}

// removeTask removes an ended task from its host.
func (view *fleetView) removeTask(j *manager.Job) {
	i, ok := view.index[j.Lease.VM]
	if !ok {
		return
	}
	h := &view.hosts[i]
	for k, t := range h.tasks {
		if t.job.Job != j.Job {
			continue
		}
		h.tasks = append(h.tasks[:k:k], h.tasks[k+1:]...)
		h.free = h.free.Add(t.need)
		if t.stopping() {
			h.releasing = h.releasing.Sub(t.need)
		}
		view.addUsage(j, h.vm, j.Lease.Reserved, -1)
		return
	}
}

// setOrder changes a task's order and the capacity that its host is releasing.
func (view *fleetView) setOrder(h *host, t *leasedTask, o manager.TaskOrder) manager.OrderTask {
	was := t.stopping()
	t.order = o
	if t.stopping() && !was {
		h.releasing = h.releasing.Add(t.need)
	}
	return manager.OrderTask{Job: t.job.Job, Lease: t.job.Lease.Lease, Order: o}
}

// withinQuota reports whether the team's quota has room for need.
func (view *fleetView) withinQuota(j *manager.Job, need manager.Resources) bool {
	q, ok := view.rulesOf(j).quotas[j.Team]
	return !ok || q.Fits(view.teams[teamKey{profile: j.Profile, team: j.Team}].Add(need))
}

// withinSpread reports whether the profile's spread limits let the job run on v.
func (view *fleetView) withinSpread(j *manager.Job, v manager.VM) bool {
	s := view.rulesOf(j).profile.Spread
	zone, rack := domains(j, v)
	return (s.MaxPerZone == 0 || view.spread[zone] < s.MaxPerZone) &&
		(s.MaxPerRack == 0 || view.spread[rack] < s.MaxPerRack)
}

// dominantShare returns a team's dominant resource share: its largest share of any dimension of its quota, or of
// the fleet if it has none, in thousandths.
func (view *fleetView) dominantShare(k teamKey) int64 {
	of := view.total
	if r, ok := view.rules[k.profile]; ok {
		if q, ok := r.quotas[k.team]; ok {
			of = q
		}
	}
	used := view.teams[k]
	return max(
		perMilleOf(int64(used.ProcessorMilliCores), int64(of.ProcessorMilliCores)),
		perMilleOf(int64(used.MemoryMegaBytes), int64(of.MemoryMegaBytes)),
		perMilleOf(int64(used.Accelerators), int64(of.Accelerators)),
	)
}

func perMilleOf(used, of int64) int64 {
	if of == 0 {
		return 0
	}
	return used * perMille / of
}
