package recorder

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// CrashWindow is the time after the start of a run within which a crash of its worker counts against the task.
const CrashWindow = 15 * manager.Second

// ExpiredRetention is how long an expired run is remembered, as its worker may still be down.
const ExpiredRetention = 1 * manager.Minute

// maxExpired limits the expired runs that are remembered of a task.
const maxExpired = 5

// Crash records that a worker instance crashed, which shows when a later one reports.
type Crash struct {
	Instance manager.WorkerInstance `json:"Life"`
	VM       manager.VMID           `json:",omitempty"`
	// Tasks are those that the crash counts against, and Suspects those of them that may have caused it.
	Tasks    []manager.TaskID
	Suspects []manager.TaskID
}

// ExpiredRun is a run that was just starting when the lease of its worker expired. The worker may have crashed.
type ExpiredRun struct {
	Instance manager.WorkerInstance `json:"Life"`
	VM       manager.VMID           `json:",omitempty"`
	// At is when the run was recorded.
	At manager.Time
}

// recordCrash counts a crash against its tasks.
func (st *State) recordCrash(c Crash) {
	for _, id := range c.Tasks {
		j, t := st.Task(id)
		if t == nil || t.Done || j.State.Ended() {
			continue
		}
		t.Crashes++
		if !slices.Contains(c.Suspects, id) {
			continue
		}
		j.update(t, func() { t.Suspected++ })
		if c.VM != "" && !slices.Contains(t.CrashedOn, c.VM) {
			t.CrashedOn = append(t.CrashedOn, c.VM)
		}
	}
	st.forgetExpired(c.Instance)
}

// retractCrash takes back what a crash counted against its tasks. Their counts may have been cleared since.
func (st *State) retractCrash(c Crash) {
	for _, id := range c.Tasks {
		j, t := st.Task(id)
		if t == nil || t.Crashes == 0 {
			continue
		}
		t.Crashes--
		if slices.Contains(c.Suspects, id) && t.Suspected > 0 {
			j.update(t, func() { t.Suspected-- })
		}
		if t.Suspected == 0 {
			t.CrashedOn = nil
		}
	}
}

// clearCrashes resets the crashes of a task whose run has outlasted CrashWindow.
func (st *State) clearCrashes(id manager.TaskID) {
	if j, t := st.Task(id); t != nil {
		j.update(t, func() { t.Crashes, t.Suspected, t.CrashedOn = 0, 0, nil })
	}
}

// giveUp fails a job because of a task that crashes its workers.
func (st *State) giveUp(id manager.GraphID) {
	if j := st.active[id]; j != nil {
		st.endJob(j, manager.GraphFailed)
	}
}

// addExpired remembers an expired run of a task. Only the latest maxExpired are kept.
func (st *State) addExpired(id manager.TaskID, j *Job, t *Task, e ExpiredRun) {
	j.update(t, func() { t.Expired = append(t.Expired, e) })
	st.indexExpired(id, e)
	if len(t.Expired) > maxExpired {
		st.removeExpired(id, j, t, t.Expired[0].Instance)
	}
}

// dropOldExpired forgets the expired runs of a task that are older than ExpiredRetention.
func (st *State) dropOldExpired(id manager.TaskID, j *Job, t *Task) {
	for len(t.Expired) > 0 && st.At.Sub(t.Expired[0].At) > ExpiredRetention {
		st.removeExpired(id, j, t, t.Expired[0].Instance)
	}
}

func (st *State) indexExpired(id manager.TaskID, e ExpiredRun) {
	if st.expired[e.Instance] == nil {
		st.expired[e.Instance] = map[manager.TaskID]ExpiredRun{}
	}
	st.expired[e.Instance][id] = e
}

// removeExpired forgets the expired runs of a task on a worker instance.
func (st *State) removeExpired(id manager.TaskID, j *Job, t *Task, l manager.WorkerInstance) {
	j.update(t, func() {
		t.Expired = slices.DeleteFunc(t.Expired, func(e ExpiredRun) bool { return e.Instance == l })
	})
	delete(st.expired[l], id)
	if len(st.expired[l]) == 0 {
		delete(st.expired, l)
	}
}

// forgetExpired forgets the expired runs of a worker instance.
func (st *State) forgetExpired(l manager.WorkerInstance) {
	for id := range st.expired[l] {
		if j, t := st.Task(id); t != nil {
			st.removeExpired(id, j, t, l)
		}
	}
}

// Expired returns the expired runs of a worker instance that may have crashed.
func (st *State) Expired(l manager.WorkerInstance) map[manager.TaskID]ExpiredRun {
	return st.expired[l]
}

// ExpiredSince counts the expired runs of the task that were recorded after a time.
func (t *Task) ExpiredSince(at manager.Time) int {
	n := 0
	for _, e := range t.Expired {
		if e.At > at {
			n++
		}
	}
	return n
}

// Suspicion is the number of workers that the task may have crashed, with those that have not reported since.
func (t *Task) Suspicion() int { return t.Suspected + len(t.Expired) }

// update changes a task and keeps the number of the job's suspects.
func (j *Job) update(t *Task, change func()) {
	if t.Suspicion() > 0 {
		j.suspects--
	}
	change()
	if t.Suspicion() > 0 {
		j.suspects++
	}
}

// VMOf returns the VM of a worker instance with open or expired runs, or "" if it is not known.
func (st *State) VMOf(l manager.WorkerInstance) manager.VMID {
	for _, r := range st.runs[l] {
		if r.VM != "" {
			return r.VM
		}
	}
	for _, e := range st.expired[l] {
		if e.VM != "" {
			return e.VM
		}
	}
	return ""
}

// OrderedSince reports whether a move or maintenance of a VM was ordered after a time or is still in progress.
func (st *State) OrderedSince(vm manager.VMID, at manager.Time) bool {
	if _, moving := st.Moves[vm]; moving || st.OrderedAt[vm] > at {
		return true
	}
	for _, w := range st.Waves {
		if s := w.State[vm]; s == MaintenanceOrdered || s == MaintenanceStarted {
			return true
		}
	}
	return false
}
