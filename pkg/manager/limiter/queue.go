package limiter

import (
	"container/heap"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// entry is a waiting request.
type entry struct {
	queuedRequest
	// sequence orders requests with equal deadlines by arrival.
	sequence uint64
	index    int
}

// deadlineQueue is a heap of waiting requests with the earliest deadline first.
type deadlineQueue []*entry

var _ heap.Interface = (*deadlineQueue)(nil)

func (q deadlineQueue) Len() int { return len(q) }

func (q deadlineQueue) Less(i, j int) bool { return before(q[i], q[j]) }

func before(a, b *entry) bool {
	if a.request.Deadline != b.request.Deadline {
		return a.request.Deadline < b.request.Deadline
	}
	return a.sequence < b.sequence
}

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// position returns the number of requests that are served before e.
func (q deadlineQueue) position(e *entry) int {
	n := 0
	for _, other := range q {
		if before(other, e) {
			n++
		}
	}
	return n
}

// last returns the entry that is served last.
func (q deadlineQueue) last() *entry {
	var last *entry
	for _, e := range q {
		if last == nil || before(last, e) {
			last = e
		}
	}
	return last
}

func (q *deadlineQueue) remove(e *entry) { heap.Remove(q, e.index) }

func (q *deadlineQueue) add(r manager.Request, now manager.Time, sequence uint64) *entry {
	e := &entry{queuedRequest: queuedRequest{request: r, queuedAt: now}, sequence: sequence}
	heap.Push(q, e)
	return e
}
