package dispatcher

import (
	"cmp"
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// lendPeriod is the pause between two looks at the pools.
	balancePeriod = 200 * manager.Millisecond
	// lendHorizon is the time within which a pool should begin what waits for it; it is under the slack
	// of the objectives, of which a move takes a second or two.
	loadHorizon = 2000 * manager.Millisecond
	// demandTime is the time over which the work that comes in is averaged.
	demandWindow = 800 * manager.Millisecond
	// demandShare is the share of the work that comes in for which VMs are got before it waits.
	demandWeight = 0.3
	// calmLoad is the load under which a pool could do without some VMs.
	lowLoad = 0.5
	// lendGain is how much smaller a pool's load must stay, having given a VM away, than that of the pool
	// that gets it; without a margin VMs go to and fro.
	maxLoadRatio = 0.6
	// offLoad ranks a VM that is off behind the idle ones that are paid for.
	standbyLoad = lowLoad
	// idleReturn is how long a VM without work stays switched on, as another surge may come.
	idleTimeout = 1200 * manager.Millisecond
	// notePeriod is the pause between two log lines on each pool.
	poolLogPeriod = 1 * manager.Second
	// leastWorkers is how many workers a pool keeps at least.
	minPoolWorkers = 2
	// listAge is the age after which the list of VMs is read again.
	maxListingAge = 15 * manager.Second
	// moveSettles is when a VM that was on its way to a pool takes orders again; a move takes a second or two. One
	// that does not yet refuses them as busy.
	moveTime = 2 * manager.Second
)

// lending is what a dispatcher keeps between two looks at the pools.
type lending struct {
	vms        map[manager.VMID]ListedVM
	listedAt   manager.Time
	balancedAt manager.Time
	loggedAt   manager.Time
	// loads are the loads of the pools at the latest look.
	loads map[manager.PoolID]float64
	// surging says that some pool lacks VMs.
	overloaded bool
	// room is the capacity of all VMs without lasting tasks at the latest look.
	lendable manager.Resources
	// demand is the work that comes in for each pool.
	demand map[manager.PoolID]*demand
	// barred are the VMs that the platform does not let into a pool.
	rejected map[manager.VMID]bool
}

func (l *lending) stale(now manager.Time) bool {
	return l.vms == nil || now.Sub(l.listedAt) > maxListingAge
}

func (l *lending) update(list Listing) { l.vms, l.listedAt = list.VMs, list.AskedAt }

// lent tells whether a worker's VM is at home in another pool.
func (d *Dispatcher) isLent(w *worker) bool {
	home, ok := d.State.Homes[w.latest.VM]
	return ok && home != w.latest.Pool
}

// balancePools sends VMs without lasting tasks from the pools with the least load to those with the most,
// and switches off those that idle. It answers queues that surge in turns: each for some seconds, by more
// than its own pool holds.
func (d *Dispatcher) balancePools(now manager.Time, c *recorder.Changes) {
	d.updateMoves(now, c)
	if d.State.Configuration == nil || now.Sub(d.lending.balancedAt) < balancePeriod {
		return
	}
	d.lending.balancedAt = now
	loads := d.loads(now)
	d.logPools(now, loads)
	free := d.lendable(now, loads)
	d.lending.lendable = manager.Resources{}
	for _, vm := range free {
		d.lending.lendable = d.lending.lendable.Add(vm.capacity)
	}
	d.rescueStranded(now, loads, &free, c)
	for d.lendOne(now, loads, &free, c) {
	}
	d.lending.loads, d.lending.overloaded = map[manager.PoolID]float64{}, false
	for _, p := range loads {
		d.lending.loads[p.pool] = p.load(manager.Resources{})
		d.lending.overloaded = d.lending.overloaded || d.lending.loads[p.pool] > 1
	}
	d.switchOffIdle(now, free, c)
}

// lendOne sends a VM to the pool with the highest load, from where it is missed least.
func (d *Dispatcher) lendOne(now manager.Time, loads []*poolLoad, free *[]lendableVM, c *recorder.Changes) bool {
	if len(loads) == 0 {
		return false
	}
	to := slices.MaxFunc(loads, func(a, b *poolLoad) int { return cmp.Compare(a.load(manager.Resources{}), b.load(manager.Resources{})) })
	high := to.load(manager.Resources{})
	if high <= 1 {
		return false
	}
	best, bestLoad := -1, maxLoadRatio*high
	for i, vm := range *free {
		left := standbyLoad
		if from := findLoad(loads, vm.pool); from != nil {
			left = from.load(manager.Resources{}.Sub(vm.capacity))
		}
		if vm.pool != to.pool && left < bestLoad {
			best, bestLoad = i, left
		}
	}
	if best < 0 {
		return false
	}
	vm := (*free)[best]
	*free = slices.Delete(*free, best, best+1)
	to.free = to.free.Add(vm.capacity)
	if from := findLoad(loads, vm.pool); from != nil {
		from.free = from.free.Sub(vm.capacity)
	}
	d.moveVM(now, vm, to.pool, c)
	return true
}

// notePools logs the load of the pools that have any, now and then.
func (d *Dispatcher) logPools(now manager.Time, loads []*poolLoad) {
	if now.Sub(d.lending.loggedAt) < poolLogPeriod {
		return
	}
	d.lending.loggedAt = now
	for _, p := range loads {
		if p.need == (work{}) {
			continue
		}
		used, vms := d.usedByFinite(p.pool)
		d.log(manager.LogPoolLoaded, "Pool", p.pool, "VMs", vms, "Load", math.Round(100*p.load(manager.Resources{}))/100, "FreeOfLasting", p.free, "Used", used)
	}
}

// used returns what the finite tasks of a pool take, and the number of its workers.
func (d *Dispatcher) usedByFinite(p manager.PoolID) (manager.Resources, int) {
	var used manager.Resources
	vms := 0
	for _, w := range d.workers {
		if w.latest.Pool != p {
			continue
		}
		vms++
		for id := range d.State.Runs(w.instance) {
			if j := d.State.Jobs[id.Graph]; j != nil && !j.Steps[id.Step].Lasting {
				used = used.Add(stepResources(j.Steps[id.Step]))
			}
		}
	}
	return used, vms
}

// lendableVM is a VM that may be sent to another pool.
type lendableVM struct {
	vm       manager.VMID
	pool     manager.PoolID
	capacity manager.Resources
	worker   *worker
	// chosen says that the worker was to go at the latest look.
	selected bool
}

// lendable returns the VMs that may change their pool: those that are paid for and without work first,
// then those that are off. One that can't be ordered now would hide that a pool lacks room.
func (d *Dispatcher) lendable(now manager.Time, loads []*poolLoad) []lendableVM {
	kept := d.inMaintenance()
	var on, off []lendableVM
	spare := d.spareWorkers(loads)
	for _, id := range sortedListedVMs(d.lending.vms) {
		if _, moving := d.State.Moves[id]; moving || kept[id] || d.lending.rejected[id] || d.maintenance.fenced[id] {
			continue
		}
		vm, w := d.lending.vms[id], d.byVM[id]
		ready := d.mayOrder(now, id)
		switch {
		case w != nil:
			chosen := w.movePending
			w.movePending = false
			if ready && spare[w.latest.Pool] > 0 && d.movable(w) {
				spare[w.latest.Pool]--
				on = append(on, lendableVM{vm: id, pool: w.latest.Pool, capacity: vm.Capacity, worker: w, selected: chosen})
			}
		case ready && d.inPool(now, vm) && d.isStandby(vm.Pool):
			off = append(off, lendableVM{vm: id, pool: vm.Pool, capacity: vm.Capacity})
		}
	}
	slices.SortStableFunc(on, func(a, b lendableVM) int { return cmp.Compare(d.rank(a), d.rank(b)) })
	return append(on, off...)
}

// settled tells whether a listed VM is in its pool. The list may have been read while the VM was on its way.
func (d *Dispatcher) inPool(now manager.Time, vm ListedVM) bool {
	return vm.Up || vm.Moving && now.Sub(d.lending.listedAt) > moveTime
}

// rank orders the VMs that may go: those that were chosen before, then those with the fewest runs.
func (d *Dispatcher) rank(vm lendableVM) int {
	if vm.selected {
		return -1
	}
	return len(d.State.Runs(vm.worker.instance))
}

// floats tells whether a worker holds no lasting task and takes work.
func (d *Dispatcher) movable(w *worker) bool {
	return !w.latest.Draining && d.usageOf(w).lasting == (manager.Resources{})
}

// spareWorkers returns how many workers each pool may give away. A pool that has had no job yet gives
// none, as its lasting tasks may still come.
func (d *Dispatcher) spareWorkers(loads []*poolLoad) map[manager.PoolID]int {
	spare := map[manager.PoolID]int{}
	for _, w := range d.workers {
		spare[w.latest.Pool]++
	}
	used := map[manager.PoolID]bool{}
	for _, j := range d.State.Jobs {
		used[d.poolOf(j)] = true
	}
	for p, n := range spare {
		spare[p] = n - minPoolWorkers
		if l := findLoad(loads, p); !used[p] || l != nil && l.stranded != nil {
			spare[p] = 0
		}
	}
	return spare
}

// inWaves returns the VMs that are in their upkeep or are being emptied for it.
func (d *Dispatcher) inMaintenance() map[manager.VMID]bool {
	kept := map[manager.VMID]bool{}
	for _, id := range d.waves() {
		wave := d.State.Waves[id]
		for _, vm := range wave.VMs {
			w := d.byVM[vm]
			switch wave.State[vm] {
			case recorder.MaintenanceOrdered, recorder.MaintenanceStarted:
				kept[vm] = true
			case recorder.MaintenanceWaiting:
				kept[vm] = w == nil || w.evacuating
			}
		}
	}
	return kept
}

// send moves a VM as soon as it is empty.
func (d *Dispatcher) moveVM(now manager.Time, vm lendableVM, to manager.PoolID, c *recorder.Changes) {
	if vm.pool == to {
		return
	}
	if vm.worker != nil {
		vm.worker.movePending = true
		if !d.isIdle(vm.worker) {
			return
		}
	}
	if !d.mayOrder(now, vm.vm) {
		return
	}
	c.Move = append(c.Move, recorder.Move{VM: vm.vm, Pool: to, From: vm.pool})
	d.log(manager.LogVMMoves, "VM", vm.vm, "From", vm.pool, "To", to)
}

// sendHome switches off the VMs that have had no work for a while.
func (d *Dispatcher) switchOffIdle(now manager.Time, free []lendableVM, c *recorder.Changes) {
	home := d.firstStandbyPool()
	for _, vm := range free {
		w := vm.worker
		if w == nil || home == "" {
			continue
		}
		if !d.isIdle(w) || !d.hasLowLoad(w.latest.Pool) {
			w.idleSince = 0
			continue
		}
		if w.idleSince == 0 {
			w.idleSince = now
		}
		if now.Sub(w.idleSince) > idleTimeout {
			d.moveVM(now, vm, home, c)
		}
	}
}

// endMoves notes the VMs that have arrived, and repeats orders whose outcome is not known.
func (d *Dispatcher) updateMoves(now manager.Time, c *recorder.Changes) {
	for _, vm := range sortedVMs(d.State.Moves) {
		to := d.State.Moves[vm]
		if w := d.byVM[vm]; w != nil && w.latest.Pool == to {
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.recordArrival(vm, to)
			delete(d.maintenance.retryAt, vm)
			continue
		}
		if !d.mayOrder(now, vm) {
			continue
		}
		if w := d.byVM[vm]; w == nil || d.isIdle(w) {
			d.issueOrder(PlatformOrder{VM: vm, Pool: to, Token: d.Token})
		}
	}
}

func (l *lending) recordArrival(vm manager.VMID, to manager.PoolID) {
	if known, ok := l.vms[vm]; ok {
		known.Pool, known.Up = to, true
		l.vms[vm] = known
	}
}

func sortedVMs(m map[manager.VMID]manager.PoolID) []manager.VMID {
	list := make([]manager.VMID, 0, len(m))
	for vm := range m {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// moveAgain is the pause before a move that was taken is ordered again, if its VM has not arrived.
const moveRetry = 5 * manager.Second

func (d *Dispatcher) handleMoveResult(now manager.Time, r PlatformResult, c *recorder.Changes) {
	vm := r.Order.VM
	switch r.Outcome {
	case OutcomeAccepted:
		d.maintenance.retryAt[vm] = now.Add(moveRetry)
		if w := d.byVM[vm]; w != nil && w.latest.Pool != r.Order.Pool {
			d.endLostRuns(w.instance, c)
			d.removeWorker(w)
		}
		if d.isStandby(r.Order.Pool) {
			// Nothing reports from a VM that is off.
			d.maintenance.retryAt[vm] = now.Add(moveTime)
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.recordArrival(vm, r.Order.Pool)
		}
	case OutcomeInvalid, OutcomeBusy:
		if r.Outcome == OutcomeInvalid {
			if d.lending.rejected == nil {
				d.lending.rejected = map[manager.VMID]bool{}
			}
			d.lending.rejected[vm] = true
		}
		d.maintenance.retryAt[vm] = now.Add(orderRetry)
		c.Move = append(c.Move, recorder.Move{VM: vm})
	case OutcomeFenced:
		d.maintenance.fenced[vm] = true
	default:
		d.maintenance.retryAt[vm] = now.Add(orderRetry)
	}
}

// standby returns a pool whose VMs are off, or none.
func (d *Dispatcher) firstStandbyPool() manager.PoolID {
	for _, p := range d.State.Configuration.Pools {
		if p.Standby {
			return p.Pool
		}
	}
	return ""
}

func sortedListedVMs(m map[manager.VMID]ListedVM) []manager.VMID {
	list := make([]manager.VMID, 0, len(m))
	for vm := range m {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

func (d *Dispatcher) isStandby(p manager.PoolID) bool {
	return slices.ContainsFunc(d.State.Configuration.Pools, func(s manager.PoolSettings) bool { return s.Pool == p && s.Standby })
}
