package dispatcher

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// class orders the jobs of a pool.
type class int

const (
	// classLasting jobs serve users of their own all the time.
	classLasting class = iota
	// classInTime jobs can all meet their objectives together.
	classInTime
	// classLate jobs still count, though they miss their objective.
	classLate
	// classOverdue jobs are later than anything that their callers wait for.
	classOverdue
)

// overdueFactor times its objective is when a late job has lost its worth.
const overdueFactor = 3

// turn is a job in the order in which its tasks get workers.
type turn struct {
	job      *recorder.Job
	class    class
	priority int
	// due is when the rest of the job has to run without a pause to meet its objective.
	due manager.Time
	// span is the time in which the whole pool would do what is left.
	span float64
}

// line returns the active jobs of a pool in the order in which they get workers.
func (d *Dispatcher) line(now manager.Time, p manager.PoolID) []turn {
	var list []turn
	for _, j := range d.jobsByPool[p] {
		list = append(list, d.turnOf(now, j))
	}
	slices.SortFunc(list, compareTurns)
	free := d.freeCapacity(now, p)
	for i := range list {
		left := d.times.work(list[i].job)
		list[i].span = left.over(free)
	}
	demote(now, list)
	slices.SortStableFunc(list, func(a, b turn) int { return cmp.Compare(a.class, b.class) })
	return list
}

func compareTurns(a, b turn) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.due, b.due), cmp.Compare(a.job.Graph.Graph, b.job.Graph.Graph))
}

func (d *Dispatcher) turnOf(now manager.Time, j *recorder.Job) turn {
	t := turn{job: j, priority: d.queue(j).Priority}
	if j.Lasting() {
		t.class = classLasting
		return t
	}
	objective := d.objective(j)
	t.due = objective.Add(-d.times.chain(j))
	switch {
	case now <= t.due:
		t.class = classInTime
	case now.Sub(j.ReleaseTime()) < overdueFactor*objective.Sub(j.ReleaseTime()):
		t.class = classLate
	default:
		t.class = classOverdue
	}
	return t
}

// demote makes late the jobs that can't all meet their objectives, as few as it can: while the work up
// to some job does not fit before that job is due, the largest one so far that has not begun goes.
// It answers a surge of several times what the pool holds, where serving by due time alone would bring
// every job in a little too late.
func demote(now manager.Time, list []turn) {
	var kept spanHeap
	total := 0.0
	for i := range list {
		t := &list[i]
		if t.class != classInTime {
			continue
		}
		total += t.span
		if !t.job.Started {
			heap.Push(&kept, t)
		}
		for total > float64(t.due.Sub(now)) && len(kept) > 0 {
			largest := heap.Pop(&kept).(*turn)
			largest.class = classLate
			total -= largest.span
		}
	}
}

// spanHeap holds jobs with the largest span on top.
type spanHeap []*turn

func (h spanHeap) Len() int           { return len(h) }
func (h spanHeap) Less(i, j int) bool { return h[i].span > h[j].span }
func (h spanHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a job.
func (h *spanHeap) Push(x any) { *h = append(*h, x.(*turn)) }

// Pop removes the last job.
func (h *spanHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// objective returns when a job should be complete.
func (d *Dispatcher) objective(j *recorder.Job) manager.Time {
	q := d.queue(j)
	return j.ReleaseTime().Add(manager.Duration(q.Stretch*float64(d.times.chainOf(j.Graph))) + q.SlackMs)
}
