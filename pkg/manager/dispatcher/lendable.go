package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// lendingDelay ranks lendable VMs by how soon they arrive.
type lendingDelay int

const (
	// idleVM moves at once and is paid for already.
	idleVM lendingDelay = iota
	// standbyVM moves at once.
	standbyVM
	// busyVM moves once its runs have ended.
	busyVM
)

func (d *Dispatcher) lendingDelay(vm lendableVM) lendingDelay {
	switch {
	case vm.worker == nil:
		return standbyVM
	case d.isIdle(vm.worker):
		return idleVM
	}
	return busyVM
}

// lendableVM is a VM that may move to another pool.
type lendableVM struct {
	vm       manager.VMID
	pool     manager.PoolID
	capacity manager.Resources
	worker   *worker
	// selected means that the worker was selected to move in the previous pass.
	selected bool
}

// lendable returns the VMs that may move to another pool. Those that are switched on come first: those that were
// selected before, then those with the fewest runs. Those that are switched off follow. VMs that can't get an order now
// are left out, as they would count as capacity on its way and hide that a pool lacks some.
func (d *Dispatcher) lendable(now manager.Time, loads []*poolLoad) []lendableVM {
	blocked := d.inMaintenance()
	var on, off []lendableVM
	spare := d.spareWorkers(loads)
	d.releaseUnmovable(blocked)
	for _, id := range sortedListedVMs(d.lending.vms) {
		if _, moving := d.State.Moves[id]; moving || blocked[id] || d.lending.rejected[id] || d.maintenance.fenced[id] {
			continue
		}
		vm, w := d.lending.vms[id], d.byVM[id]
		ready := d.mayOrder(now, id)
		switch {
		case w != nil:
			selected := w.movePending
			w.movePending, w.moveOrdered = false, false
			if ready && spare[w.latest.Pool] > 0 && d.movable(w) && !d.isWanted(now, w) {
				spare[w.latest.Pool]--
				on = append(on, lendableVM{vm: id, pool: w.latest.Pool, capacity: vm.Capacity, worker: w, selected: selected})
			}
		case ready && d.inPool(now, vm) && d.isStandby(vm.Pool):
			off = append(off, lendableVM{vm: id, pool: vm.Pool, capacity: vm.Capacity})
		}
	}
	slices.SortStableFunc(on, func(a, b lendableVM) int { return cmp.Compare(d.rank(a), d.rank(b)) })
	return append(on, off...)
}

// releaseUnmovable lets the workers start tasks again that were chosen to move and whose VMs can't be moved any more: their
// move was refused for good, or the list does not show them. They are in no later pass of pool balancing. VMs that are
// moving or in maintenance stay blocked.
func (d *Dispatcher) releaseUnmovable(blocked map[manager.VMID]bool) {
	for _, w := range d.workers {
		vm := w.latest.VM
		if _, moving := d.State.Moves[vm]; moving || blocked[vm] {
			continue
		}
		if _, listed := d.lending.vms[vm]; !listed || d.lending.rejected[vm] || d.maintenance.fenced[vm] {
			w.movePending, w.moveOrdered = false, false
		}
	}
}

// inPool reports whether a listed VM has arrived in its pool. The list may have been read while the VM was moving.
func (d *Dispatcher) inPool(now manager.Time, vm ListedVM) bool {
	return vm.Up || vm.Moving && now.Sub(d.lending.listedAt) > moveTime
}

// rank orders the lendable VMs: those that were selected before, then those with the fewest runs.
func (d *Dispatcher) rank(vm lendableVM) int {
	if vm.selected {
		return -1
	}
	return len(d.State.Runs(vm.worker.instance))
}

// movable reports whether a worker has no long-running task and is not draining.
func (d *Dispatcher) movable(w *worker) bool {
	return !w.latest.Draining && d.usageOf(w).longRunning == (manager.Resources{})
}

// spareWorkers returns how many workers each pool may lend. A pool that has not had a job yet lends none, as its
// long-running tasks may still arrive, and neither does one whose long-running tasks wait, as they may need every worker.
// Workers whose move to another pool is ordered do not count, as the platform may not have answered yet.
func (d *Dispatcher) spareWorkers(loads []*poolLoad) map[manager.PoolID]int {
	spare := map[manager.PoolID]int{}
	for _, w := range d.workers {
		if to, moving := d.State.Moves[w.latest.VM]; !moving || to == w.latest.Pool {
			spare[w.latest.Pool]++
		}
	}
	used := map[manager.PoolID]bool{}
	for _, j := range d.State.Jobs {
		used[d.poolOf(j)] = true
	}
	for p, n := range spare {
		spare[p] = n - minPoolWorkers
		if l := findLoad(loads, p); !used[p] || l != nil && (l.unplaceable != nil || l.longRunningWaits) {
			spare[p] = 0
		}
	}
	return spare
}

// inMaintenance returns the VMs that are in maintenance, are being evacuated for it, or wait for it without a worker.
func (d *Dispatcher) inMaintenance() map[manager.VMID]bool {
	list := map[manager.VMID]bool{}
	for _, id := range d.waves() {
		wave := d.State.Waves[id]
		for _, vm := range wave.VMs {
			w := d.byVM[vm]
			switch wave.State[vm] {
			case recorder.MaintenanceOrdered, recorder.MaintenanceStarted:
				list[vm] = true
			case recorder.MaintenanceWaiting:
				list[vm] = w == nil || w.evacuating
			}
		}
	}
	return list
}

func sortedListedVMs(m map[manager.VMID]ListedVM) []manager.VMID {
	list := make([]manager.VMID, 0, len(m))
	for vm := range m {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}
