package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// vmQueue holds the waiting VMs of a service in a plan, grouped by pool and availability zone. Most rules have the
// same result for all VMs of a group, which can differ only by rack, so that few VMs are checked for each start.
type vmQueue struct {
	vms     []manager.VM
	groups  []*group
	perZone map[manager.AvailabilityZone]int
	size    int
}

// group holds the positions in the queue of the waiting VMs of one pool in one availability zone.
type group struct {
	pool    manager.PoolID
	zone    manager.AvailabilityZone
	waiting []int
}

func newVMQueue(vms []manager.VM) *vmQueue {
	q := &vmQueue{vms: vms, perZone: map[manager.AvailabilityZone]int{}, size: len(vms)}
	type key struct {
		pool manager.PoolID
		zone manager.AvailabilityZone
	}
	index := map[key]*group{}
	for i, v := range vms {
		k := key{v.Pool, v.AvailabilityZone}
		g, ok := index[k]
		if !ok {
			g = &group{pool: v.Pool, zone: v.AvailabilityZone}
			index[k] = g
			q.groups = append(q.groups, g)
		}
		g.waiting = append(g.waiting, i)
		q.perZone[v.AvailabilityZone]++
	}
	return q
}

// first returns the first waiting VM of the first group that has one.
func (q *vmQueue) first() manager.VM {
	for _, g := range q.groups {
		if len(g.waiting) > 0 {
			return q.vms[g.waiting[0]]
		}
	}
	return manager.VM{}
}

// remove removes a VM of a group from the queue and returns it.
func (q *vmQueue) remove(g *group, at int) manager.VM {
	v := q.vms[g.waiting[at]]
	g.waiting = slices.Delete(g.waiting, at, at+1)
	q.perZone[v.AvailabilityZone]--
	q.size--
	return v
}
