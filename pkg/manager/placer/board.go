package placer

import (
	"math"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// rules are a profile's rules by name.
type rules struct {
	profile manager.Profile
	classes map[string]manager.JobClass
	quotas  map[manager.TeamID]manager.Resources
	// urgent is the lowest priority number of the profile.
	urgent int
}

// leastUrgent is the priority of a job without a class.
const leastUrgent = math.MaxInt32

func newRules(p manager.Profile) *rules {
	r := &rules{
		profile: p,
		classes: make(map[string]manager.JobClass, len(p.JobClasses)),
		quotas:  make(map[manager.TeamID]manager.Resources, len(p.Quotas)),
		urgent:  leastUrgent,
	}
	for _, c := range p.JobClasses {
		r.classes[c.Class] = c
		r.urgent = min(r.urgent, c.Priority)
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

// held is a task under a lease.
type held struct {
	job   *manager.Job
	class manager.JobClass
	// need is what the task takes away: its reservation or, if larger, what it uses.
	need manager.Resources
	task *task
	// order is the order in force once this step's commands are applied.
	order manager.TaskOrder
	// fresh says that the task starts in this step.
	fresh bool
}

// leaving tells whether the task has been told to end.
func (h *held) leaving() bool {
	return h.order == manager.TaskCheckpoint || h.order == manager.TaskStop
}

// host is a VM seen as a place for tasks.
type host struct {
	vm manager.VM
	// free is the capacity that no task holds and no waiting job was promised; it may be negative.
	free manager.Resources
	// releasing is held by tasks that have been told to end.
	releasing manager.Resources
	tasks     []*held
	standing  standing
}

type teamKey struct {
	profile manager.ProfileID
	team    manager.TeamID
}

// domainKey is a job class in one failure domain.
type domainKey struct {
	profile manager.ProfileID
	class   string
	zone    manager.AvailabilityZone
	rack    manager.RackID
}

// board is the fleet as one step of placement sees and changes it.
type board struct {
	now    manager.Time
	fleet  manager.Fleet
	rules  map[manager.ProfileID]*rules
	hosts  []host
	index  map[manager.VMID]int
	teams  map[teamKey]manager.Resources
	spread map[domainKey]int
	total  manager.Resources
	// shapes lists the different capacities of each pool's VMs; the empty pool stands for all.
	shapes map[manager.PoolID][]manager.Resources
}

func newBoard(now manager.Time, f manager.Fleet, tasks map[manager.LeaseID]*task) *board {
	b := &board{
		now: now, fleet: f,
		rules:  make(map[manager.ProfileID]*rules, len(f.Profiles)),
		hosts:  make([]host, len(f.VMs)),
		index:  make(map[manager.VMID]int, len(f.VMs)),
		teams:  map[teamKey]manager.Resources{},
		spread: map[domainKey]int{},
		shapes: map[manager.PoolID][]manager.Resources{},
	}
	for _, p := range f.Profiles {
		b.rules[p.Profile] = newRules(p)
	}
	for i, v := range f.VMs {
		b.hosts[i] = host{vm: v, free: v.Capacity}
		b.index[v.VM] = i
		b.total = b.total.Add(v.Capacity)
		b.addShape("", v.Capacity)
		b.addShape(v.Pool, v.Capacity)
	}
	for i := range f.Jobs {
		if j := &f.Jobs[i]; j.Lease != nil {
			b.hold(j, tasks[j.Lease.Lease])
		}
	}
	return b
}

// maxShapes bounds the capacities told apart in a pool; with more, the smallest are merged upwards.
const maxShapes = 64

func (b *board) addShape(p manager.PoolID, r manager.Resources) {
	list := b.shapes[p]
	for i, s := range list {
		if s.Fits(r) {
			return
		}
		if r.Fits(s) || len(list) >= maxShapes {
			list[i] = s.Max(r)
			return
		}
	}
	b.shapes[p] = append(list, r)
}

// fitsSome tells whether any VM on which the job may run is large enough when empty.
func (b *board) fitsSome(p manager.PoolID, need manager.Resources) bool {
	for _, s := range b.shapes[p] {
		if s.Fits(need) {
			return true
		}
	}
	return len(b.shapes[p]) == 0
}

// ruleOf returns the rules of a job's profile; the state holds no job without one.
func (b *board) ruleOf(j *manager.Job) *rules {
	if r, ok := b.rules[j.Profile]; ok {
		return r
	}
	return newRules(manager.Profile{Profile: j.Profile})
}

func (b *board) hold(j *manager.Job, t *task) {
	i, ok := b.index[j.Lease.VM]
	if !ok {
		return
	}
	h := &held{job: j, class: b.ruleOf(j).class(j.Class), need: j.Lease.Reserved, task: t, order: j.Lease.Order}
	if t != nil {
		h.need = h.need.Max(t.report.Used)
		h.need.Accelerators = j.Lease.Reserved.Accelerators
	}
	on := &b.hosts[i]
	on.tasks = append(on.tasks, h)
	on.free = on.free.Sub(h.need)
	if h.leaving() {
		on.releasing = on.releasing.Add(h.need)
	}
	b.count(j, on.vm, j.Lease.Reserved, 1)
}

// count keeps the sums that quotas and spread are checked against, as the state will.
func (b *board) count(j *manager.Job, v manager.VM, r manager.Resources, n int) {
	if n < 0 {
		r = manager.Resources{}.Sub(r)
	}
	k := teamKey{profile: j.Profile, team: j.Team}
	b.teams[k] = b.teams[k].Add(r)
	zone, rack := domains(j, v)
	b.spread[zone] += n
	b.spread[rack] += n
}

func domains(j *manager.Job, v manager.VM) (zone, rack domainKey) {
	zone = domainKey{profile: j.Profile, class: j.Class, zone: v.AvailabilityZone}
	rack = zone
	rack.rack = v.Rack
	return zone, rack
}

// release takes an ended task off its host.
func (b *board) release(j *manager.Job) {
	i, ok := b.index[j.Lease.VM]
	if !ok {
		return
	}
	on := &b.hosts[i]
	for k, h := range on.tasks {
		if h.job.Job != j.Job {
			continue
		}
		on.tasks = append(on.tasks[:k:k], on.tasks[k+1:]...)
		on.free = on.free.Add(h.need)
		if h.leaving() {
			on.releasing = on.releasing.Sub(h.need)
		}
		b.count(j, on.vm, j.Lease.Reserved, -1)
		return
	}
}

// order changes a task's order and what its host will have free.
func (b *board) order(on *host, h *held, o manager.TaskOrder) manager.OrderTask {
	was := h.leaving()
	h.order = o
	if h.leaving() && !was {
		on.releasing = on.releasing.Add(h.need)
	}
	return manager.OrderTask{Job: h.job.Job, Lease: h.job.Lease.Lease, Order: o}
}

// quotaLeft tells whether the team's quota has room for need.
func (b *board) quotaLeft(j *manager.Job, need manager.Resources) bool {
	q, ok := b.ruleOf(j).quotas[j.Team]
	return !ok || q.Fits(b.teams[teamKey{profile: j.Profile, team: j.Team}].Add(need))
}

// spreadLeft tells whether the profile's spread lets the job run on v.
func (b *board) spreadLeft(j *manager.Job, v manager.VM) bool {
	s := b.ruleOf(j).profile.Spread
	zone, rack := domains(j, v)
	return (s.MaxPerZone == 0 || b.spread[zone] < s.MaxPerZone) &&
		(s.MaxPerRack == 0 || b.spread[rack] < s.MaxPerRack)
}

// share returns a team's largest share of any dimension, of its quota if it has one, in thousandths.
func (b *board) share(k teamKey) int64 {
	of := b.total
	if r, ok := b.rules[k.profile]; ok {
		if q, ok := r.quotas[k.team]; ok {
			of = q
		}
	}
	used := b.teams[k]
	return max(
		part(int64(used.ProcessorMilliCores), int64(of.ProcessorMilliCores)),
		part(int64(used.MemoryMegaBytes), int64(of.MemoryMegaBytes)),
		part(int64(used.Accelerators), int64(of.Accelerators)),
	)
}

func part(used, of int64) int64 {
	if of == 0 {
		return 0
	}
	return used * perMille / of
}
