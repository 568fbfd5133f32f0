package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// maxVisits bounds the nodes that one search visits before it gives up. A search gets that far when many hosts
// have room in one dimension but not in another.
const maxVisits = 1_024

// unschedulable is the room of a host that accepts no tasks.
var unschedulable = manager.Resources{ProcessorMilliCores: -1, MemoryMegaBytes: -1, Accelerators: -1}

// maxTree is a segment tree that finds the first host of a list with enough room. Each node holds the maximum of
// its leaves in each dimension, so that a search skips subtrees without room.
type maxTree struct {
	leaves int
	max    []manager.Resources
}

func newMaxTree(room []manager.Resources) *maxTree {
	leaves := 1
	for leaves < len(room) {
		leaves *= 2
	}
	t := &maxTree{leaves: leaves, max: make([]manager.Resources, 2*leaves)}
	for i := range leaves {
		t.max[leaves+i] = unschedulable
		if i < len(room) {
			t.max[leaves+i] = room[i]
		}
	}
	for i := leaves - 1; i > 0; i-- {
		t.max[i] = t.max[2*i].Max(t.max[2*i+1])
	}
	return t
}

// set changes the room of a leaf.
func (t *maxTree) set(leaf int, room manager.Resources) {
	i := t.leaves + leaf
	t.max[i] = room
	for i /= 2; i > 0; i /= 2 {
		t.max[i] = t.max[2*i].Max(t.max[2*i+1])
	}
}

// search is the state of one search for a host.
type search struct {
	tree   *maxTree
	need   manager.Resources
	accept func(leaf int) bool
	visits int
}

// find returns the first leaf with room that accept allows, and the number of nodes visited. If that is more than
// maxVisits, the search gave up although there may be such a leaf.
func (t *maxTree) find(need manager.Resources, accept func(leaf int) bool) (leaf int, ok bool, visits int) {
	s := search{tree: t, need: need, accept: accept}
	leaf, ok = s.findBelow(1)
	return leaf, ok, s.visits
}

func (s *search) findBelow(i int) (int, bool) {
	s.visits++
	if s.visits > maxVisits || !s.tree.max[i].Fits(s.need) {
		return 0, false
	}
	if i >= s.tree.leaves {
		return i - s.tree.leaves, s.accept(i - s.tree.leaves)
	}
	if leaf, ok := s.findBelow(2 * i); ok {
		return leaf, true
	}
	return s.findBelow(2*i + 1)
}

// scan is a linear search over all leaves.
func (t *maxTree) scan(need manager.Resources, accept func(leaf int) bool) (int, bool) {
	for leaf, room := range t.max[t.leaves:] {
		if room.Fits(need) && accept(leaf) {
			return leaf, true
		}
	}
	return 0, false
}
