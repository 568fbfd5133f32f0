package placer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// scope is the hosts of one pool, or all, fullest first, with a search tree for each kind of room.
type scope struct {
	b     *board
	hosts []int
	leaf  map[int]int
	free  *tree
	soon  *tree
	// yielding holds, for a priority, the room that tasks of less urgent classes would yield.
	yielding map[int]*tree
}

// newScope orders the hosts so that the first with room is the one whose hole is smallest: large
// holes stay for large jobs, and hosts with accelerators for jobs that need them.
func newScope(b *board, p manager.PoolID) *scope {
	s := &scope{b: b, leaf: map[int]int{}, yielding: map[int]*tree{}}
	for i := range b.hosts {
		if p == "" || b.hosts[i].vm.Pool == p {
			s.hosts = append(s.hosts, i)
		}
	}
	slices.SortStableFunc(s.hosts, func(x, y int) int {
		a, c := b.hosts[x].free, b.hosts[y].free
		return cmp.Or(
			cmp.Compare(a.Accelerators, c.Accelerators),
			cmp.Compare(a.MemoryMegaBytes, c.MemoryMegaBytes),
			cmp.Compare(a.ProcessorMilliCores, c.ProcessorMilliCores),
		)
	})
	for leaf, i := range s.hosts {
		s.leaf[i] = leaf
	}
	s.free = s.plant(freeRoom)
	s.soon = s.plant(soonRoom)
	return s
}

func (s *scope) plant(room func(*host) manager.Resources) *tree {
	list := make([]manager.Resources, len(s.hosts))
	for leaf, i := range s.hosts {
		list[leaf] = room(&s.b.hosts[i])
	}
	return newTree(list)
}

// yieldingTo returns the tree of the room that a job of a priority could have by checkpoints.
func (s *scope) yieldingTo(priority int) *tree {
	t, ok := s.yielding[priority]
	if !ok {
		t = s.plant(func(h *host) manager.Resources { return yieldRoom(h, priority) })
		s.yielding[priority] = t
	}
	return t
}

// changed brings the trees up to date with a host.
func (s *scope) changed(i int) {
	leaf, ok := s.leaf[i]
	if !ok {
		return
	}
	h := &s.b.hosts[i]
	s.free.set(leaf, freeRoom(h))
	s.soon.set(leaf, soonRoom(h))
	for priority, t := range s.yielding {
		t.set(leaf, yieldRoom(h, priority))
	}
}

// open tells whether a host takes any task at all.
func open(h *host) bool {
	if !h.vm.Available() || h.standing == standingBarred {
		return false
	}
	return !h.vm.Quarantined || h.standing == standingTrial
}

func freeRoom(h *host) manager.Resources {
	if !open(h) {
		return closed
	}
	return h.free
}

func soonRoom(h *host) manager.Resources {
	if !open(h) || h.standing == standingTrial {
		return closed
	}
	return h.free.Add(h.releasing)
}

func yieldRoom(h *host, priority int) manager.Resources {
	room := soonRoom(h)
	if room == closed {
		return room
	}
	for _, t := range h.tasks {
		if yields(t, priority) {
			room = room.Add(t.need)
		}
	}
	return room
}

// yields tells whether a task may be checkpointed for a job of a priority.
func yields(t *held, priority int) bool {
	return t.class.Checkpointable && t.class.Priority > priority && !t.leaving() && !t.fresh && !t.job.State.Ended()
}
