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
	classOnTime
	// classLate jobs still count, though they miss their objective.
	classLate
	// classOverdue jobs are later than anything that their callers wait for.
	classOverdue
)

// overdueFactor times its objective is when a late job has lost its worth.
const overdueFactor = 3

// turn is a job in the order in which its tasks get workers.
type jobRank struct {
	job      *recorder.Job
	class    class
	priority int
	// due is when the rest of the job has to run without a pause to meet its objective.
	latestStart manager.Time
	// span is the time in which the whole pool would do what is left.
	duration float64
}

// line returns the active jobs of a pool in the order in which they get workers.
func (d *Dispatcher) rankedJobs(now manager.Time, p manager.PoolID) []jobRank {
	var list []jobRank
	for _, j := range d.jobsByPool[p] {
		list = append(list, d.rankJob(now, j))
	}
	slices.SortFunc(list, compareRanks)
	free := d.freeCapacity(now, p)
	for i := range list {
		left := d.times.work(list[i].job)
		list[i].duration = left.over(free)
	}
	demote(now, list)
	slices.SortStableFunc(list, func(a, b jobRank) int { return cmp.Compare(a.class, b.class) })
	return list
}

func compareRanks(a, b jobRank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.job.Graph.Graph, b.job.Graph.Graph))
}

func (d *Dispatcher) rankJob(now manager.Time, j *recorder.Job) jobRank {
	t := jobRank{job: j, priority: d.queue(j).Priority}
	if j.Lasting() {
		t.class = classLasting
		return t
	}
	objective := d.objective(j)
	t.latestStart = objective.Add(-d.times.criticalPath(j))
	switch {
	case now <= t.latestStart:
		t.class = classOnTime
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
func demote(now manager.Time, list []jobRank) {
	var kept durationHeap
	total := 0.0
	for i := range list {
		t := &list[i]
		if t.class != classOnTime {
			continue
		}
		total += t.duration
		if !t.job.Started {
			heap.Push(&kept, t)
		}
		for total > float64(t.latestStart.Sub(now)) && len(kept) > 0 {
			largest := heap.Pop(&kept).(*jobRank)
			largest.class = classLate
			total -= largest.duration
		}
	}
}

// spanHeap holds jobs with the largest span on top.
type durationHeap []*jobRank

func (h durationHeap) Len() int           { return len(h) }
func (h durationHeap) Less(i, j int) bool { return h[i].duration > h[j].duration }
func (h durationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a job.
func (h *durationHeap) Push(x any) { *h = append(*h, x.(*jobRank)) }

// Pop removes the last job.
func (h *durationHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// objective returns when a job should be complete.
func (d *Dispatcher) objective(j *recorder.Job) manager.Time {
	q := d.queue(j)
	return j.ReleaseTime().Add(manager.Duration(q.Stretch*float64(d.times.graphCriticalPath(j.Graph))) + q.SlackMs)
}
