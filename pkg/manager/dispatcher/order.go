package dispatcher

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// class ranks the jobs of a pool before their priority does.
type class int

const (
	// classLongRunning is for jobs that serve users all the time.
	classLongRunning class = iota
	// classOnTime is for jobs that can all meet their objectives together.
	classOnTime
	// classLate is for jobs that miss their objective but still have value.
	classLate
	// classSurplus is for jobs beyond the share of their customer.
	classSurplus
	// classOverdue is for jobs that are so late that no caller waits for them.
	classOverdue
)

// overdueFactor times its objective is the age at which a late job has lost its value.
const overdueFactor = 3

// jobRank decides in which order the jobs of a pool get workers. A job with both kinds of steps has a rank for each kind.
type jobRank struct {
	job *recorder.Job
	// longRunning ranks the long-running steps of the job, and the finite ones otherwise.
	longRunning bool
	class       class
	priority    int
	// latestStart is the latest time at which the rest of the job, run without a pause, still meets its objective.
	latestStart manager.Time
	// duration is how long the remaining work takes on the whole pool.
	duration float64
}

// rankedJobs returns the active jobs of a pool in the order in which they get workers.
func (d *Dispatcher) rankedJobs(now manager.Time, p manager.PoolID) []jobRank {
	var list []jobRank
	for _, j := range d.jobsByPool[p] {
		list = d.appendRanks(list, now, j)
	}
	slices.SortFunc(list, compareRanks)
	free := d.freeCapacity(now, p)
	for i := range list {
		if list[i].longRunning {
			continue
		}
		left := d.runnableWork(list[i].job, math.MaxInt64)
		list[i].duration = left.over(free)
	}
	demote(now, list)
	slices.SortStableFunc(list, func(a, b jobRank) int { return cmp.Compare(a.class, b.class) })
	return list
}

func compareRanks(a, b jobRank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.latestStart, b.latestStart), compareIDs(a.job.Graph.Graph, b.job.Graph.Graph))
}

// compareIDs orders the occurrences of a job by their numbers.
func compareIDs(a, b manager.GraphID) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// appendRanks appends the ranks of a job's long-running and finite steps.
func (d *Dispatcher) appendRanks(list []jobRank, now manager.Time, j *recorder.Job) []jobRank {
	if j.HasLongRunning() {
		list = append(list, jobRank{job: j, longRunning: true, class: classLongRunning, priority: d.queue(j).Priority})
	}
	if j.HasFinite() {
		list = append(list, d.rankFinite(now, j))
	}
	return list
}

// rankFinite ranks the finite steps of a job.
func (d *Dispatcher) rankFinite(now manager.Time, j *recorder.Job) jobRank {
	t := jobRank{job: j, priority: d.queue(j).Priority}
	objective := d.objective(j)
	t.latestStart = objective.Add(-d.times.criticalPath(j))
	switch {
	case j.Surplus:
		t.class = classSurplus
	case d.catchesUp(now, j):
		t.class = classLate
	case now <= t.latestStart:
		t.class = classOnTime
	case j.Repeats() || now.Sub(j.ReleaseTime()) < overdueFactor*objective.Sub(j.ReleaseTime()):
		// Occurrences run in order: one that became overdue would fall behind the next.
		t.class = classLate
	default:
		t.class = classOverdue
	}
	return t
}

// demote marks as late the jobs that can't all meet their objectives, as few as possible: while the work up to and
// including a job does not fit before that job's latest start, it demotes the largest job so far that has not started.
// In a load peak of several times the pool's capacity, ordering by latest start alone would make every job a little
// late.
func demote(now manager.Time, list []jobRank) {
	var onTime durationHeap
	total := 0.0
	for i := range list {
		t := &list[i]
		if t.class != classOnTime {
			continue
		}
		total += t.duration
		if !t.job.Started {
			heap.Push(&onTime, t)
		}
		for total > float64(t.latestStart.Sub(now)) && len(onTime) > 0 {
			largest := heap.Pop(&onTime).(*jobRank)
			largest.class = classLate
			total -= largest.duration
		}
	}
}

// durationHeap is a heap of jobs with the longest duration on top.
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
	return j.ReleaseTime().Add(manager.DurationOf(q.Stretch*float64(d.times.graphCriticalPath(j.Graph))) + q.SlackMs)
}
