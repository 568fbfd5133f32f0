package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// hostIndex holds the hosts of one pool, or of all pools, by free capacity in ascending order, with a search tree
// for each kind of room.
type hostIndex struct {
	view       *fleetView
	hosts      []int
	leaf       map[int]int
	free       *maxTree
	afterStops *maxTree
	// afterPreemption holds, by priority, the room after preemption of all tasks of less urgent classes.
	afterPreemption map[int]*maxTree
}

// newHostIndex sorts the hosts for best fit: the first host with room is the one with the least free capacity,
// so that large gaps are left for large jobs, and hosts with accelerators for jobs that need them.
func newHostIndex(view *fleetView, p manager.PoolID) *hostIndex {
	s := &hostIndex{view: view, leaf: map[int]int{}, afterPreemption: map[int]*maxTree{}}
	for i := range view.hosts {
		if p == "" || view.hosts[i].vm.Pool == p {
			s.hosts = append(s.hosts, i)
		}
	}
	slices.SortStableFunc(s.hosts, func(x, y int) int {
		a, c := view.hosts[x].free, view.hosts[y].free
		return cmp.Or(
			cmp.Compare(a.Accelerators, c.Accelerators),
			cmp.Compare(a.MemoryMegaBytes, c.MemoryMegaBytes),
			cmp.Compare(a.ProcessorMilliCores, c.ProcessorMilliCores),
		)
	})
	for leaf, i := range s.hosts {
		s.leaf[i] = leaf
	}
	s.free = s.buildTree(freeRoom)
	s.afterStops = s.buildTree(roomAfterStops)
	return s
}

func (x *hostIndex) buildTree(room func(*host) manager.Resources) *maxTree {
	list := make([]manager.Resources, len(x.hosts))
	for leaf, i := range x.hosts {
		list[leaf] = room(&x.view.hosts[i])
	}
	return newMaxTree(list)
}

// preemptionTree returns the tree of the room that a job of a priority could get by preemption.
func (x *hostIndex) preemptionTree(priority int) *maxTree {
	t, ok := x.afterPreemption[priority]
	if !ok {
		t = x.buildTree(func(h *host) manager.Resources { return roomAfterPreemption(h, priority) })
		x.afterPreemption[priority] = t
	}
	return t
}

// refresh updates the trees after a change of a host.
func (x *hostIndex) refresh(i int) {
	leaf, ok := x.leaf[i]
	if !ok {
		return
	}
	h := &x.view.hosts[i]
	x.free.set(leaf, freeRoom(h))
	x.afterStops.set(leaf, roomAfterStops(h))
	for priority, t := range x.afterPreemption {
		t.set(leaf, roomAfterPreemption(h, priority))
	}
}

// schedulable reports whether a host accepts any task at all.
func schedulable(h *host) bool {
	if !h.vm.Available() || h.eligibility == acceptNone {
		return false
	}
	return !h.vm.Quarantined || h.eligibility == acceptTrial
}

func freeRoom(h *host) manager.Resources {
	if !schedulable(h) {
		return unschedulable
	}
	return h.free
}

func roomAfterStops(h *host) manager.Resources {
	if !schedulable(h) || h.eligibility == acceptTrial {
		return unschedulable
	}
	return h.free.Add(h.releasing)
}

func roomAfterPreemption(h *host, priority int) manager.Resources {
	room := roomAfterStops(h)
	if room == unschedulable {
		return room
	}
	for _, t := range h.tasks {
		if preemptible(t, priority) {
			room = room.Add(t.need)
		}
	}
	return room
}

// preemptible reports whether a task may be checkpointed for a job of a priority.
func preemptible(t *leasedTask, priority int) bool {
	return t.class.Checkpointable && t.class.Priority > priority && !t.stopping() && !t.starting && !t.job.State.Ended()
}
