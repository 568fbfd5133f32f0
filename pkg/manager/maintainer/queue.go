package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// queue holds the VMs of a service that wait in a plan, grouped by what most rules tell apart: only
// racks can differ in a group, so that few of its VMs are looked at for each start.
type queue struct {
	vms     []manager.VM
	groups  []*group
	perZone map[manager.AvailabilityZone]int
	size    int
}

// group holds the places in the queue's order of the waiting VMs of one pool in one zone.
type group struct {
	pool    manager.PoolID
	zone    manager.AvailabilityZone
	waiting []int
}

func newQueue(vms []manager.VM) *queue {
	q := &queue{vms: vms, perZone: map[manager.AvailabilityZone]int{}, size: len(vms)}
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

// first returns a VM that waits.
func (q *queue) first() manager.VM {
	for _, g := range q.groups {
		if len(g.waiting) > 0 {
			return q.vms[g.waiting[0]]
		}
	}
	return manager.VM{}
}

// remove takes a VM of a group out of the queue.
func (q *queue) remove(g *group, at int) manager.VM {
	v := q.vms[g.waiting[at]]
	g.waiting = slices.Delete(g.waiting, at, at+1)
	q.perZone[v.AvailabilityZone]--
	q.size--
	return v
}
