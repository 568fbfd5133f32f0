package rebalancer

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func compare[K ~string](a, b K) int { return cmp.Compare(a, b) }

// nextMove returns the most useful move that the budgets allow, and updates the view with it.
func (x *fleetView) nextMove() (manager.Command, bool) {
	if c, ok := x.grow(); ok {
		return c, true
	}
	return x.shrink()
}

// grow moves a VM to the pool with the largest shortage, preferably from a spare pool.
func (x *fleetView) grow() (manager.Command, bool) {
	short := slices.Clone(x.pools)
	slices.SortStableFunc(short, func(a, b *poolView) int { return cmp.Compare(b.growTo-b.size, a.growTo-a.size) })
	for _, to := range short {
		if to.growTo <= to.size {
			return manager.Command{}, false
		}
		for _, from := range x.donors(to) {
			v, ok := x.pickVM(from, to)
			if !ok {
				continue
			}
			reason := fmt.Sprintf("pool %q needs %d VMs for recurring demand and has %d; pool %q needs %d and has %d",
				to.Pool.Pool, to.growTo, to.size, from.Pool.Pool, from.minSize, from.size)
			return x.startMove(v, from, to, reason), true
		}
	}
	return manager.Command{}, false
}

// donors returns the pools that can give up a VM: spare pools first, then by surplus.
func (x *fleetView) donors(to *poolView) []*poolView {
	var list []*poolView
	for _, p := range x.pools {
		if p != to && p.warmedUp && p.size > p.minSize {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b *poolView) int {
		if a.Spare != b.Spare {
			if a.Spare {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.size-b.minSize, a.size-a.minSize)
	})
	return list
}

// shrink moves a VM that its pool does not need to the first spare pool.
func (x *fleetView) shrink() (manager.Command, bool) {
	i := slices.IndexFunc(x.pools, func(p *poolView) bool { return p.Spare })
	if i < 0 {
		return manager.Command{}, false
	}
	spare := x.pools[i]
	list := slices.Clone(x.pools)
	slices.SortStableFunc(list, func(a, b *poolView) int { return cmp.Compare(b.surplus(), a.surplus()) })
	for _, from := range list {
		if from.Spare || from.surplus() <= 0 || from.growTo >= from.size {
			continue
		}
		v, ok := x.pickVM(from, spare)
		if !ok {
			continue
		}
		reason := fmt.Sprintf("pool %q has %d VMs and its highest demand of the last %d minutes needs %d; spare pool %q holds the reserve for all pools",
			from.Pool.Pool, from.size, horizonPeriods, from.minSize, spare.Pool.Pool)
		return x.startMove(v, from, spare, reason), true
	}
	return manager.Command{}, false
}

// pickVM returns the VM whose move keeps both pools best spread over availability zones and racks.
func (x *fleetView) pickVM(from, to *poolView) (manager.VM, bool) {
	if from.profile.Budget.Limit(from.size-1) == 0 {
		return manager.VM{}, false
	}
	best := -1
	for i, v := range from.vms {
		if !x.movable(v, to) {
			continue
		}
		if best < 0 || domainImbalance(from, to, v) > domainImbalance(from, to, from.vms[best]) {
			best = i
		}
	}
	if best < 0 {
		return manager.VM{}, false
	}
	return from.vms[best], true
}

// domainImbalance returns how many more VMs pool from has than pool to in v's availability zone and, with a lower
// weight, in v's rack.
func domainImbalance(from, to *poolView, v manager.VM) int {
	const zoneWeight = 1_000
	d := domainsOf(v)
	return (from.perDomain[d[0]]-to.perDomain[d[0]])*zoneWeight + from.perDomain[d[1]] - to.perDomain[d[1]]
}

func (x *fleetView) movable(v manager.VM, to *poolView) bool {
	settled := v.PoolSince == 0 || x.now.Sub(v.PoolSince) >= minStay
	return v.Available() && settled && !x.inWave[v.VM] && v.Capacity.Fits(to.profile.Capacity) && x.budgets.Allows(v)
}

// startMove returns the command that starts a move, and counts the VM in its new pool.
func (x *fleetView) startMove(v manager.VM, from, to *poolView, reason string) manager.Command {
	x.budgets.MarkDraining(v)
	from.vms = slices.DeleteFunc(slices.Clone(from.vms), func(other manager.VM) bool { return other.VM == v.VM })
	for _, d := range domainsOf(v) {
		from.perDomain[d]--
		to.perDomain[d]++
	}
	from.size--
	to.size++
	return manager.Command{At: x.now, StartMove: &manager.StartMove{VM: v.VM, Epoch: v.Epoch, To: to.Pool.Pool, Reason: reason}}
}
