package placer

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// agingStep is the waiting time that raises a job by one priority number. Aging prevents starvation: the least
// urgent class comes first in the end even if more urgent jobs keep arriving.
const agingStep = 30 * manager.Second

// jobQueue orders the waiting jobs by aged priority, then by the dominant share of their team, smallest first,
// then by age, oldest first.
type jobQueue struct {
	view    *fleetView
	buckets []bucket
}

// bucket holds the waiting jobs of one aged priority.
type bucket struct {
	priority int
	teams    teamHeap
}

// teamQueue holds the waiting jobs of one team in one bucket, oldest first.
type teamQueue struct {
	key   teamKey
	jobs  []*manager.Job
	share int64
}

type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, k int) bool {
	a, b := h[i], h[k]
	return cmp.Or(
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.jobs[0].SubmittedAt, b.jobs[0].SubmittedAt),
		cmp.Compare(a.jobs[0].Job, b.jobs[0].Job),
	) < 0
}

func (h teamHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds a team's queue.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop removes the last team's queue.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// agedPriority returns a job's priority number minus one for each agingStep it has waited. Its minimum is one
// below the most urgent class, so that a steady stream of urgent jobs cannot starve a job.
func agedPriority(now manager.Time, j *manager.Job, r *rules) int {
	p := min(r.class(j.Class).Priority, r.mostUrgent+maxAgingSteps)
	steps := int(now.Sub(j.SubmittedAt) / agingStep)
	return max(p-steps, r.mostUrgent-1)
}

// maxAgingSteps caps the priority number of the least urgent class relative to the most urgent one, and so bounds
// the aging steps after which its jobs come first.
const maxAgingSteps = 20

func waiting(j *manager.Job) bool {
	return j.Lease == nil && (j.State == manager.JobQueued || j.State == manager.JobCheckpointed)
}

func newJobQueue(view *fleetView, jobs []*manager.Job) *jobQueue {
	type teamQueueKey struct {
		priority int
		teamKey
	}
	queues := map[teamQueueKey]*teamQueue{}
	var order []teamQueueKey
	for _, j := range jobs {
		k := teamQueueKey{priority: agedPriority(view.now, j, view.rulesOf(j)), teamKey: teamKey{profile: j.Profile, team: j.Team}}
		l, ok := queues[k]
		if !ok {
			l = &teamQueue{key: k.teamKey, share: view.dominantShare(k.teamKey)}
			queues[k] = l
			order = append(order, k)
		}
		l.jobs = append(l.jobs, j)
	}
	slices.SortStableFunc(order, func(a, c teamQueueKey) int { return cmp.Compare(a.priority, c.priority) })
	q := &jobQueue{view: view}
	for _, k := range order {
		if n := len(q.buckets); n == 0 || q.buckets[n-1].priority != k.priority {
			q.buckets = append(q.buckets, bucket{priority: k.priority})
		}
		l := queues[k]
		slices.SortStableFunc(l.jobs, func(a, c *manager.Job) int { return cmp.Compare(a.SubmittedAt, c.SubmittedAt) })
		last := &q.buckets[len(q.buckets)-1]
		last.teams = append(last.teams, l)
	}
	for i := range q.buckets {
		heap.Init(&q.buckets[i].teams)
	}
	return q
}

// next returns the next job, or nil.
func (q *jobQueue) next() *manager.Job {
	for len(q.buckets) > 0 && len(q.buckets[0].teams) == 0 {
		q.buckets = q.buckets[1:]
	}
	if len(q.buckets) == 0 {
		return nil
	}
	teams := &q.buckets[0].teams
	l := (*teams)[0]
	// The share may have grown since the team's queue was placed in the heap.
	for share := q.view.dominantShare(l.key); share != l.share; share = q.view.dominantShare(l.key) {
		l.share = share
		heap.Fix(teams, 0)
		l = (*teams)[0]
	}
	j := l.jobs[0]
	l.jobs = l.jobs[1:]
	if len(l.jobs) == 0 {
		heap.Pop(teams)
	} else {
		heap.Fix(teams, 0)
	}
	return j
}
