package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// endGangRun applies the end of one gang task to the whole gang and returns the task that holds the gang's failure
// count.
func (st *State) endGangRun(j *Job, e End, l manager.WorkerInstance, began manager.Time) *Task {
	tasks := j.Tasks[e.Task.Step]
	first := &tasks[0]
	if first.Done {
		return first
	}
	if e.Saved != "" {
		// The checkpoint of any task is valid for the whole gang, and all tasks must start from the same one.
		for i := range tasks {
			st.save(j, &tasks[i], e.Saved)
		}
	}
	switch e.How {
	case manager.RunDone:
		for i := range tasks {
			tasks[i].Done = true
			st.save(j, &tasks[i], "")
		}
		j.remaining[e.Task.Step] = 0
		st.recordRunTime(j.Queue, j.Steps[e.Task.Step].EstimateMs, e.localTime(st.At.Sub(began)))
	case manager.RunFailed:
		tasks[e.Task.Task].FailedOn = l.Worker
		if first.FailedRun < e.Run {
			first.FailedRun = e.Run
			first.Failures++
		}
	}
	return first
}

// NextGangRun returns the number of a gang's next run, or 0 while one of its tasks has an open run.
func (j *Job) NextGangRun(s int) manager.RunNumber {
	var last manager.RunNumber
	for i := range j.Tasks[s] {
		if j.Tasks[s][i].Open != nil {
			return 0
		}
		last = max(last, j.Tasks[s][i].LastRun)
	}
	return last + 1
}
