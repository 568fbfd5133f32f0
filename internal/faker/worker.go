package faker

import (
	"context"
	"slices"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Worker is a fake of the workers that run tasks under leases.
type Worker struct {
	Clock manager.Clock
	// RunTime returns how long a job really runs, in milliseconds.
	RunTime func(j manager.Job) manager.Duration
	// Fails tells whether a job fails on a VM; nil means that none does.
	Fails func(j manager.Job, v manager.VMID) bool

	mu    sync.Mutex
	tasks map[manager.LeaseID]*task
	runs  map[manager.JobID]int
}

type task struct {
	lease   manager.Lease
	job     manager.Job
	started manager.Time
	result  manager.TaskResult
	doneMs  manager.Duration
}

var _ manager.Worker = (*Worker)(nil)

// Start starts the task of a lease unless that lease was started before.
func (w *Worker) Start(_ context.Context, l manager.Lease, j manager.Job) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks == nil {
		w.tasks = map[manager.LeaseID]*task{}
		w.runs = map[manager.JobID]int{}
	}
	if _, ok := w.tasks[l.Lease]; ok {
		return nil
	}
	w.tasks[l.Lease] = &task{lease: l, job: j, started: w.Clock.Now(), doneMs: j.Progress.DoneMs}
	w.runs[j.Job]++
	return nil
}

// Order throttles, checkpoints or stops a task.
func (w *Worker) Order(_ context.Context, l manager.Lease, o manager.TaskOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[l.Lease]
	if !ok || t.result != "" {
		return nil
	}
	switch o {
	case manager.TaskCheckpoint:
		t.doneMs += w.Clock.Now().Sub(t.started)
		t.result = manager.TaskCheckpointed
	case manager.TaskStop:
		t.result = manager.TaskFailed
	case manager.TaskRun, manager.TaskThrottle:
	}
	return nil
}

// Renew prolongs a lease.
func (w *Worker) Renew(_ context.Context, l manager.Lease) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[l.Lease]; ok {
		t.lease.Until = max(t.lease.Until, l.Until)
	}
	return nil
}

// Usage returns the reports of all tasks, those that ended included.
func (w *Worker) Usage(context.Context) ([]manager.UsageReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]manager.LeaseID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	now := w.Clock.Now()
	reports := make([]manager.UsageReport, 0, len(ids))
	for _, id := range ids {
		t := w.tasks[id]
		w.advance(now, t)
		reports = append(reports, manager.UsageReport{
			Lease: id, Job: t.job.Job, VM: t.lease.VM, At: now, Used: t.job.Declared, DoneMs: t.doneMs, Result: t.result,
		})
	}
	return reports, nil
}

func (w *Worker) advance(now manager.Time, t *task) {
	switch {
	case t.result != "":
	case w.Fails != nil && w.Fails(t.job, t.lease.VM):
		t.result = manager.TaskFailed
	case now.Sub(t.started)+t.doneMs >= w.RunTime(t.job):
		t.result = manager.TaskSucceeded
	}
}

// Runs returns how often a job was started.
func (w *Worker) Runs(j manager.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[j]
}
