package placer

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// agingStep is the wait that raises a job by one priority number, so that the least urgent class
// comes first in the end even if more urgent work never stops.
const agingStep = 30 * manager.Second

// queue hands out the waiting jobs: by priority with age, then to the team with the smallest share,
// then oldest first.
type queue struct {
	b       *board
	buckets []bucket
}

// bucket is the waiting jobs of one priority.
type bucket struct {
	priority int
	teams    teamHeap
}

// line is the waiting jobs of one team in one bucket, oldest first.
type line struct {
	key   teamKey
	jobs  []*manager.Job
	share int64
}

type teamHeap []*line

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

// Push adds a line.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*line)) }

// Pop removes the last line.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// aged returns a job's priority number less one for each step it has waited; it ends below the most
// urgent class's, so that no stream of urgent work holds a job back for good.
func aged(now manager.Time, j *manager.Job, r *rules) int {
	p := min(r.class(j.Class).Priority, r.urgent+maxAging)
	steps := int(now.Sub(j.SubmittedAt) / agingStep)
	return max(p-steps, r.urgent-1)
}

// maxAging bounds the steps after which a job of the least urgent class comes first.
const maxAging = 20

func waiting(j *manager.Job) bool {
	return j.Lease == nil && (j.State == manager.JobQueued || j.State == manager.JobCheckpointed)
}

func newQueue(b *board, jobs []*manager.Job) *queue {
	type lineKey struct {
		priority int
		teamKey
	}
	lines := map[lineKey]*line{}
	var order []lineKey
	for _, j := range jobs {
		k := lineKey{priority: aged(b.now, j, b.ruleOf(j)), teamKey: teamKey{profile: j.Profile, team: j.Team}}
		l, ok := lines[k]
		if !ok {
			l = &line{key: k.teamKey, share: b.share(k.teamKey)}
			lines[k] = l
			order = append(order, k)
		}
		l.jobs = append(l.jobs, j)
	}
	slices.SortStableFunc(order, func(a, c lineKey) int { return cmp.Compare(a.priority, c.priority) })
	q := &queue{b: b}
	for _, k := range order {
		if n := len(q.buckets); n == 0 || q.buckets[n-1].priority != k.priority {
			q.buckets = append(q.buckets, bucket{priority: k.priority})
		}
		l := lines[k]
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
func (q *queue) next() *manager.Job {
	for len(q.buckets) > 0 && len(q.buckets[0].teams) == 0 {
		q.buckets = q.buckets[1:]
	}
	if len(q.buckets) == 0 {
		return nil
	}
	teams := &q.buckets[0].teams
	l := (*teams)[0]
	// The share may have grown since the line was put in place.
	for share := q.b.share(l.key); share != l.share; share = q.b.share(l.key) {
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
