package dispatcher

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// balancePeriod is the pause between two passes of pool balancing.
	balancePeriod = 200 * manager.Millisecond
	// loadHorizon is the time within which a pool should work off its ready tasks. It is shorter than the slack of the
	// objectives, of which a move takes a second or two.
	loadHorizon = 2000 * manager.Millisecond
	// demandWindow is the time constant of the moving average of incoming work.
	demandWindow = 800 * manager.Millisecond
	// demandWeight is the share of the incoming work that counts as load before any of it waits.
	demandWeight = 0.3
	// lowLoad is the load below which a pool can do without some of its VMs.
	lowLoad = 0.5
	// maxLoadRatio limits the load of a pool after it has lent a VM, as a share of the load of the pool that gets it.
	// Without a margin VMs would move back and forth.
	maxLoadRatio = 0.6
	// standbyLoad ranks VMs that are switched off behind idle ones, which are paid for already.
	standbyLoad = lowLoad
	// poolLogPeriod is the pause between two log lines about each pool.
	poolLogPeriod = 1 * manager.Second
	// minPoolWorkers is the number of workers that a pool always keeps.
	minPoolWorkers = 2
	// maxListingAge is the age at which the list of VMs is read again.
	maxListingAge = 15 * manager.Second
	// moveTime is the time after which a VM that was moving to a pool accepts orders again. A move takes a second or
	// two; a VM that is still moving refuses orders as busy.
	moveTime = 2 * manager.Second
)

// lending is the state that pool balancing keeps between two passes.
type lending struct {
	vms        map[manager.VMID]ListedVM
	listedAt   manager.Time
	balancedAt manager.Time
	loggedAt   manager.Time
	// loads holds the loads of the pools in the latest pass.
	loads map[manager.PoolID]float64
	// overloaded means that some pool lacks VMs.
	overloaded bool
	// lendable is the capacity of all VMs that could be lent in the latest pass.
	lendable manager.Resources
	// demand is the incoming work of each pool.
	demand map[manager.PoolID]*demand
	// rejected holds the VMs that the platform refused to move.
	rejected map[manager.VMID]bool
	// arrivals holds the VMs that arrived in a pool after the latest list was requested.
	arrivals map[manager.VMID]arrival
	// noted holds the unusable entries of the list that were logged.
	noted map[string]bool
}

func (l *lending) stale(now manager.Time) bool {
	return l.vms == nil || now.Sub(l.listedAt) > maxListingAge
}

// arrival is the end of a VM's move.
type arrival struct {
	pool manager.PoolID
	at   manager.Time
}

// update replaces the list, but for the moves that have ended since it was requested.
func (l *lending) update(list Listing) {
	l.vms, l.listedAt = list.VMs, list.AskedAt
	for vm, a := range l.arrivals {
		known, ok := l.vms[vm]
		if a.at < list.AskedAt || !ok {
			delete(l.arrivals, vm)
			continue
		}
		known.Pool, known.Up, known.Moving = a.pool, true, false
		l.vms[vm] = known
	}
	// A VM that is added again under the same name may be moved.
	maps.DeleteFunc(l.rejected, func(vm manager.VMID, _ bool) bool {
		_, ok := l.vms[vm]
		return !ok && !list.mayHold(vm)
	})
}

// isLent reports whether a worker's VM has another home pool.
func (d *Dispatcher) isLent(w *worker) bool {
	home, ok := d.State.Homes[w.latest.VM]
	return ok && home != w.latest.Pool
}

// balancePools moves VMs without long-running tasks from the pools with the lowest load to those with the highest, and
// switches off those that no pool needs. It is made for queues that peak one after the other, each for some seconds and
// beyond the capacity of its own pool.
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
	d.lendToUnplaceable(now, loads, &free, c)
	for d.lendOne(now, loads, &free, c) {
	}
	d.lending.loads, d.lending.overloaded = map[manager.PoolID]float64{}, false
	for _, p := range loads {
		d.lending.loads[p.pool] = p.load(manager.Resources{})
		d.lending.overloaded = d.lending.overloaded || d.lending.loads[p.pool] > 1
	}
	d.switchOffSurplus(now, loads, free, c)
}

// lendOne moves a VM to the pool with the highest load. It takes one that arrives soon, and among those one from the pool
// whose load stays the lowest.
func (d *Dispatcher) lendOne(now manager.Time, loads []*poolLoad, free *[]lendableVM, c *recorder.Changes) bool {
	if len(loads) == 0 {
		return false
	}
	to := slices.MaxFunc(loads, func(a, b *poolLoad) int { return cmp.Compare(a.load(manager.Resources{}), b.load(manager.Resources{})) })
	high := to.load(manager.Resources{})
	if high <= 1 {
		return false
	}
	best, bestDelay, bestLoad := -1, idleVM, 0.0
	for i, vm := range *free {
		left := standbyLoad
		if from := findLoad(loads, vm.pool); from != nil {
			left = from.load(manager.Resources{}.Sub(vm.capacity))
		}
		if vm.pool == to.pool || left >= maxLoadRatio*high {
			continue
		}
		delay := d.lendingDelay(vm)
		if best < 0 || cmp.Or(cmp.Compare(delay, bestDelay), cmp.Compare(left, bestLoad)) < 0 {
			best, bestDelay, bestLoad = i, delay, left
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

// logPools logs the load of the pools that have any, once in each log period.
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
		d.log(manager.LogPoolLoad, "Pool", p.pool, "VMs", vms, "Load", math.Round(100*p.load(manager.Resources{}))/100, "FreeOfLasting", p.free, "Used", used)
	}
}

// usedByFinite returns the capacity that the finite tasks of a pool use, and the number of its workers.
func (d *Dispatcher) usedByFinite(p manager.PoolID) (manager.Resources, int) {
	var used manager.Resources
	vms := 0
	for _, w := range d.workers {
		if w.latest.Pool != p {
			continue
		}
		vms++
		for id := range d.State.Runs(w.instance) {
			if j := d.State.Jobs[id.Graph]; j != nil && !j.Steps[id.Step].LongRunning {
				used = used.Add(j.Steps[id.Step].Reserved())
			}
		}
	}
	return used, vms
}

// moveVM orders a VM to another pool as soon as it is idle.
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
	if vm.worker != nil {
		vm.worker.moveOrdered = true
	}
	c.Move = append(c.Move, recorder.Move{VM: vm.vm, Pool: to, From: vm.pool})
	d.log(manager.LogVMMoveOrdered, "VM", vm.vm, "From", vm.pool, "To", to)
}

// updateMoves ends the moves of VMs that have arrived, and repeats orders whose outcome is not known.
func (d *Dispatcher) updateMoves(now manager.Time, c *recorder.Changes) {
	for _, vm := range sortedVMs(d.State.Moves) {
		to := d.State.Moves[vm]
		if w := d.byVM[vm]; w != nil && w.latest.Pool == to {
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.recordArrival(now, vm, to)
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

func (l *lending) recordArrival(now manager.Time, vm manager.VMID, to manager.PoolID) {
	if l.arrivals == nil {
		l.arrivals = map[manager.VMID]arrival{}
	}
	l.arrivals[vm] = arrival{pool: to, at: now}
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

// moveRetry is the pause before an accepted move is ordered again, if its VM has not arrived.
const moveRetry = 5 * manager.Second

func (d *Dispatcher) handleMoveResult(now manager.Time, r PlatformResult, c *recorder.Changes) {
	vm := r.Order.VM
	switch r.Outcome {
	case OutcomeAccepted:
		d.maintenance.retryAt[vm] = now.Add(moveRetry)
		if w := d.byVM[vm]; w != nil && w.latest.Pool != r.Order.Pool {
			d.endLostRuns(now, w.instance, lossVMMoved, c)
			d.removeWorker(w)
		}
		if d.isStandby(r.Order.Pool) {
			// No worker reports from a VM that is switched off.
			d.maintenance.retryAt[vm] = now.Add(moveTime)
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.recordArrival(now, vm, r.Order.Pool)
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

// firstStandbyPool returns the first pool whose VMs are switched off, or "".
func (d *Dispatcher) firstStandbyPool() manager.PoolID {
	for _, p := range d.State.Configuration.Pools {
		if p.Standby {
			return p.Pool
		}
	}
	return ""
}

func (d *Dispatcher) isStandby(p manager.PoolID) bool {
	return slices.ContainsFunc(d.State.Configuration.Pools, func(s manager.PoolSettings) bool { return s.Pool == p && s.Standby })
}
