package placer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// maxVisits bounds the nodes that one search looks at before it gives up; then hosts with room in one
// dimension lack it in another.
const maxVisits = 1_024

// closed is the room of a host that takes no tasks.
var closed = manager.Resources{ProcessorMilliCores: -1, MemoryMegaBytes: -1, Accelerators: -1}

// tree finds the first of a list of hosts with room; each node holds the most of its leaves in each
// dimension, so that a search skips what can't fit.
type tree struct {
	leaves int
	most   []manager.Resources
}

func newTree(room []manager.Resources) *tree {
	leaves := 1
	for leaves < len(room) {
		leaves *= 2
	}
	t := &tree{leaves: leaves, most: make([]manager.Resources, 2*leaves)}
	for i := range leaves {
		t.most[leaves+i] = closed
		if i < len(room) {
			t.most[leaves+i] = room[i]
		}
	}
	for i := leaves - 1; i > 0; i-- {
		t.most[i] = t.most[2*i].Max(t.most[2*i+1])
	}
	return t
}

// set changes the room of a leaf.
func (t *tree) set(leaf int, room manager.Resources) {
	i := t.leaves + leaf
	t.most[i] = room
	for i /= 2; i > 0; i /= 2 {
		t.most[i] = t.most[2*i].Max(t.most[2*i+1])
	}
}

// search is one search for a host.
type search struct {
	tree   *tree
	need   manager.Resources
	accept func(leaf int) bool
	visits int
}

// find returns the first leaf with room that accept takes, and how many nodes it looked at; with more
// than maxVisits it gave up although there may be such a leaf.
func (t *tree) find(need manager.Resources, accept func(leaf int) bool) (leaf int, ok bool, visits int) {
	s := search{tree: t, need: need, accept: accept}
	leaf, ok = s.below(1)
	return leaf, ok, s.visits
}

func (s *search) below(i int) (int, bool) {
	s.visits++
	if s.visits > maxVisits || !s.tree.most[i].Fits(s.need) {
		return 0, false
	}
	if i >= s.tree.leaves {
		return i - s.tree.leaves, s.accept(i - s.tree.leaves)
	}
	if leaf, ok := s.below(2 * i); ok {
		return leaf, true
	}
	return s.below(2*i + 1)
}

// scan looks at every leaf.
func (t *tree) scan(need manager.Resources, accept func(leaf int) bool) (int, bool) {
	for leaf, room := range t.most[t.leaves:] {
		if room.Fits(need) && accept(leaf) {
			return leaf, true
		}
	}
	return 0, false
}
