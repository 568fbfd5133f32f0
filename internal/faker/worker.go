package faker

import (
	"context"
	"fmt"
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
	// Uses returns what a job uses once it has run for done; nil means its declared size.
	Uses func(j manager.Job, done manager.Duration) manager.Resources
	// Capacity returns what a VM has; a task is killed if memory runs out. Nil sets no bound.
	Capacity func(v manager.VMID) manager.Resources
	// Lag is the age of what is reported, in milliseconds.
	Lag manager.Duration
	// CheckpointTime is how long a checkpoint takes, in milliseconds.
	CheckpointTime manager.Duration
	// SlowClock is by how much the clock of a VM runs slow, in percent; nil means that none does.
	SlowClock func(v manager.VMID) manager.Percent

	mu     sync.Mutex
	tasks  map[manager.LeaseID]*task
	epochs map[manager.VMID]manager.Epoch
	cut    map[manager.VMID]bool
	runs   map[segment]int
	most   map[manager.JobID]int
	kills  int
	failed int
	lost   manager.Duration
}

// segment is the part of a job's run that begins at a checkpoint.
type segment struct {
	job         manager.JobID
	checkpoints int
}

var _ manager.Worker = (*Worker)(nil)

// retention is how long an ended task is still reported after its lease ended.
const retention = manager.Minute

func (w *Worker) init() {
	if w.tasks != nil {
		return
	}
	w.tasks = map[manager.LeaseID]*task{}
	w.epochs = map[manager.VMID]manager.Epoch{}
	w.cut = map[manager.VMID]bool{}
	w.runs = map[segment]int{}
	w.most = map[manager.JobID]int{}
}

// reach fails if a VM is cut off.
func (w *Worker) reach(v manager.VMID) error {
	if w.cut[v] {
		return manager.ErrUnavailable{Component: "worker " + string(v), Reason: "can't be reached"}
	}
	return nil
}

// Start starts the task of a lease unless that lease was started or stopped before, has ended, or
// names an epoch older than the VM has seen.
func (w *Worker) Start(_ context.Context, l manager.Lease, j manager.Job) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if err := w.reach(l.VM); err != nil {
		return err
	}
	now := w.Clock.Now()
	if l.Epoch < w.epochs[l.VM] {
		reason := fmt.Sprintf("epoch %d is older than %d", l.Epoch, w.epochs[l.VM])
		return manager.ErrConflict{Kind: "VM", Name: string(l.VM), Reason: reason}
	}
	w.epochs[l.VM] = l.Epoch
	if _, ok := w.tasks[l.Lease]; ok {
		return nil
	}
	t := &task{lease: l, job: j, started: now, since: now, base: j.Progress.DoneMs, speed: fullSpeed}
	w.tasks[l.Lease] = t
	if now >= l.Until {
		w.end(t, now, manager.TaskNotStarted, "its lease had ended before")
		return nil
	}
	t.expireAt = w.expiry(now, l)
	k := segment{job: j.Job, checkpoints: j.Progress.Checkpoints}
	w.runs[k]++
	w.most[j.Job] = max(w.most[j.Job], w.runs[k])
	return nil
}

// expiry returns when a worker that measures the rest of a lease by its own clock stops the task.
func (w *Worker) expiry(now manager.Time, l manager.Lease) manager.Time {
	rest := l.Until.Sub(now)
	if w.SlowClock != nil {
		rest = rest * 100 / manager.Duration(100-w.SlowClock(l.VM))
	}
	return now.Add(rest)
}

// Order throttles, checkpoints or stops a task; a lease that is stopped before its start never starts.
func (w *Worker) Order(_ context.Context, l manager.Lease, o manager.TaskOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if err := w.reach(l.VM); err != nil {
		return err
	}
	now := w.Clock.Now()
	t, ok := w.tasks[l.Lease]
	if !ok {
		t = &task{lease: l, job: manager.Job{Job: l.Job}, started: now, since: now}
		w.tasks[l.Lease] = t
		w.end(t, now, manager.TaskStopped, "no such task runs, and none starts under its lease")
		return nil
	}
	w.advance(now, t)
	if t.result == "" {
		w.obey(now, t, o)
	}
	return nil
}

func (w *Worker) obey(now manager.Time, t *task, o manager.TaskOrder) {
	switch o {
	case manager.TaskRun:
		t.setSpeed(now, fullSpeed)
	case manager.TaskThrottle:
		t.setSpeed(now, throttledSpeed)
	case manager.TaskCheckpoint:
		if t.checkpointAt == 0 {
			t.checkpointAt = now.Add(w.CheckpointTime)
		}
		w.advance(now, t)
	case manager.TaskStop:
		w.end(t, now, manager.TaskStopped, "stopped as ordered")
	}
}

// Renew prolongs a lease; the worker stops the task by itself when its lease ends.
func (w *Worker) Renew(_ context.Context, l manager.Lease) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if err := w.reach(l.VM); err != nil {
		return err
	}
	now := w.Clock.Now()
	t, ok := w.tasks[l.Lease]
	if !ok {
		return nil
	}
	w.advance(now, t)
	if t.result == "" && l.Until > t.lease.Until {
		t.lease.Until = l.Until
		t.expireAt = w.expiry(now, l)
	}
	return nil
}

// Usage returns the reports of all tasks, those that ended included.
func (w *Worker) Usage(context.Context) ([]manager.UsageReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	ids := w.leases()
	w.relieve(now, ids)
	at := now.Add(-w.Lag)
	reports := make([]manager.UsageReport, 0, len(ids))
	for _, id := range ids {
		t := w.tasks[id]
		if w.cut[t.lease.VM] || at < t.started {
			continue
		}
		reports = append(reports, w.report(at, t))
		if t.result != "" && now > t.lease.Until.Add(retention) {
			delete(w.tasks, id)
		}
	}
	return reports, nil
}

func (w *Worker) leases() []manager.LeaseID {
	ids := make([]manager.LeaseID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) report(at manager.Time, t *task) manager.UsageReport {
	done := t.done(at)
	r := manager.UsageReport{Lease: t.lease.Lease, Job: t.job.Job, VM: t.lease.VM, At: at, Used: w.used(t, done), DoneMs: done}
	if t.result != "" && t.endedAt <= at {
		r.Result, r.Reason = t.result, t.reason
	}
	return r
}

func (w *Worker) used(t *task, done manager.Duration) manager.Resources {
	if w.Uses == nil {
		return t.job.Declared
	}
	return w.Uses(t.job, done)
}

// relieve kills the largest task of each VM that has run out of memory.
func (w *Worker) relieve(now manager.Time, ids []manager.LeaseID) {
	used := map[manager.VMID]manager.MegaBytes{}
	largest := map[manager.VMID]*task{}
	for _, id := range ids {
		t := w.tasks[id]
		w.advance(now, t)
		if t.result != "" || w.Capacity == nil {
			continue
		}
		m, v := w.used(t, t.done(now)).MemoryMegaBytes, t.lease.VM
		used[v] += m
		if o := largest[v]; o == nil || m > w.used(o, o.done(now)).MemoryMegaBytes {
			largest[v] = t
		}
	}
	for v, t := range largest {
		if used[v] > w.Capacity(v).MemoryMegaBytes {
			w.end(t, now, manager.TaskFailed, "out of memory")
			w.kills++
		}
	}
}

// Cut cuts a VM off: it runs on, but neither hears nor is heard.
func (w *Worker) Cut(v manager.VMID) { w.setCut(v, true) }

// Heal ends a cut.
func (w *Worker) Heal(v manager.VMID) { w.setCut(v, false) }

func (w *Worker) setCut(v manager.VMID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.cut[v] = cut
}

// Crash makes a VM lose its tasks without a report.
func (w *Worker) Crash(v manager.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.tasks {
		if t.lease.VM == v {
			delete(w.tasks, id)
		}
	}
}

// Runs returns how often a job was started from its beginning or from the same checkpoint, at most.
func (w *Worker) Runs(j manager.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most[j]
}

// Kills returns how many tasks were killed because memory ran out.
func (w *Worker) Kills() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kills
}

// Failed returns how many tasks ended as failed.
func (w *Worker) Failed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// Lost returns the work that was done in vain, in milliseconds.
func (w *Worker) Lost() manager.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// LiveTasks returns how many tasks of each job run now.
func (w *Worker) LiveTasks() map[manager.JobID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := map[manager.JobID]int{}
	for _, t := range w.tasks {
		w.advance(w.Clock.Now(), t)
		if t.result == "" {
			n[t.job.Job]++
		}
	}
	return n
}
