package rebalancer

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func compare[K ~string](a, b K) int { return cmp.Compare(a, b) }

// next returns the most useful move that the budgets allow, and counts it in the survey.
func (t *survey) next() (manager.Command, bool) {
	if c, ok := t.grow(); ok {
		return c, true
	}
	return t.shrink()
}

// grow serves the pool that lacks the most, from a spare pool first.
func (t *survey) grow() (manager.Command, bool) {
	short := slices.Clone(t.pools)
	slices.SortStableFunc(short, func(a, b *poolView) int { return cmp.Compare(b.want-b.size, a.want-a.size) })
	for _, to := range short {
		if to.want <= to.size {
			return manager.Command{}, false
		}
		for _, from := range t.donors(to) {
			v, ok := t.pick(from, to)
			if !ok {
				continue
			}
			reason := fmt.Sprintf("pool %q needs %d VMs for demand that came back and has %d; pool %q needs %d and has %d",
				to.Pool.Pool, to.want, to.size, from.Pool.Pool, from.least, from.size)
			return t.start(v, from, to, reason), true
		}
	}
	return manager.Command{}, false
}

// donors returns the pools that can give a VM: the spare ones first, then by surplus.
func (t *survey) donors(to *poolView) []*poolView {
	var list []*poolView
	for _, p := range t.pools {
		if p != to && p.learned && p.size > p.least {
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
		return cmp.Compare(b.size-b.least, a.size-a.least)
	})
	return list
}

// shrink gives a VM that its pool does not need to the first spare pool.
func (t *survey) shrink() (manager.Command, bool) {
	i := slices.IndexFunc(t.pools, func(p *poolView) bool { return p.Spare })
	if i < 0 {
		return manager.Command{}, false
	}
	spare := t.pools[i]
	list := slices.Clone(t.pools)
	slices.SortStableFunc(list, func(a, b *poolView) int { return cmp.Compare(b.surplus(), a.surplus()) })
	for _, from := range list {
		if from.Spare || from.surplus() <= 0 || from.want >= from.size {
			continue
		}
		v, ok := t.pick(from, spare)
		if !ok {
			continue
		}
		reason := fmt.Sprintf("pool %q has %d VMs and its highest demand of the last %d minutes asks for %d; spare pool %q holds the reserve for all pools",
			from.Pool.Pool, from.size, horizonSlots, from.least, spare.Pool.Pool)
		return t.start(v, from, spare, reason), true
	}
	return manager.Command{}, false
}

// pick returns the VM whose move keeps both pools best spread over zones and racks.
func (t *survey) pick(from, to *poolView) (manager.VM, bool) {
	if from.profile.Budget.Limit(from.size-1) == 0 {
		return manager.VM{}, false
	}
	best := -1
	for i, v := range from.vms {
		if !t.movable(v, to) {
			continue
		}
		if best < 0 || crowding(from, to, v) > crowding(from, to, from.vms[best]) {
			best = i
		}
	}
	if best < 0 {
		return manager.VM{}, false
	}
	return from.vms[best], true
}

// crowding is how much more a VM's zone, and then its rack, is used by its pool than by the other.
func crowding(from, to *poolView, v manager.VM) int {
	const zoneWeight = 1_000
	d := domainsOf(v)
	return (from.perDomain[d[0]]-to.perDomain[d[0]])*zoneWeight + from.perDomain[d[1]] - to.perDomain[d[1]]
}

func (t *survey) movable(v manager.VM, to *poolView) bool {
	settled := v.PoolSince == 0 || t.now.Sub(v.PoolSince) >= residence
	return v.Available() && settled && !t.inWave[v.VM] && v.Capacity.Fits(to.profile.Capacity) && t.book.Allows(v)
}

// start returns the command and counts the VM as one of its new pool.
func (t *survey) start(v manager.VM, from, to *poolView, reason string) manager.Command {
	t.book.Take(v)
	from.vms = slices.DeleteFunc(slices.Clone(from.vms), func(x manager.VM) bool { return x.VM == v.VM })
	for _, d := range domainsOf(v) {
		from.perDomain[d]--
		to.perDomain[d]++
	}
	from.size--
	to.size++
	return manager.Command{At: t.now, StartMove: &manager.StartMove{VM: v.VM, Epoch: v.Epoch, To: to.Pool.Pool, Reason: reason}}
}
