package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

func (d *Dispatcher) log(message string, fields ...any) {
	d.logLines = append(d.logLines, LogLine{Message: message, Fields: fields})
}

func (d *Dispatcher) logMinor(message string, fields ...any) {
	d.logLines = append(d.logLines, LogLine{Message: message, Fields: fields, Minor: true})
}

// logStarts logs the starts of the latest commit, with the age of the worker reports that they are based on.
func (d *Dispatcher) logStarts(now manager.Time) {
	for _, s := range d.inFlight.Start {
		d.markOrdersChanged(s.Instance)
		age := manager.Duration(-1)
		if w := d.workers[s.Instance.Worker]; w != nil {
			age = now.Sub(w.heardAt)
		}
		d.logMinor(manager.LogTaskPlaced, "RequestID", s.Task.Graph, "Task", s.Task, "Run", s.Run, "Worker", s.Instance.Worker, "ReportAgeMs", age)
	}
}

// markJobRuns marks the workers with open runs of an ended job, so that they get stop orders.
func (d *Dispatcher) markJobRuns(j *recorder.Job) {
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Open != nil {
				d.markOrdersChanged(t.Open.Instance)
			}
		}
	}
}

// logEndedJobs logs the jobs that the latest commit has ended.
func (d *Dispatcher) logEndedJobs() {
	seen := map[manager.GraphID]bool{}
	logJob := func(id manager.GraphID) {
		j := d.State.Jobs[id]
		if seen[id] || j == nil || !j.State.Ended() || j.EndedAt != d.State.At {
			return
		}
		seen[id] = true
		d.markJobRuns(j)
		took, objective := j.EndedAt.Sub(j.ReleaseTime()), d.objective(j).Sub(j.ReleaseTime())
		d.logJob(j.Customer, manager.LogJobEnded, "RequestID", id, "Queue", j.Queue, "State", j.State, "TookMs", took, "ObjectiveMs", objective,
			"InTime", took <= objective, "WaitedMs", j.WaitedMs)
		d.logLines[len(d.logLines)-1].Ended = &EndedJob{Queue: j.Queue, State: j.State, TookMs: took, InTime: took <= objective}
	}
	for _, e := range d.inFlight.End {
		parent, _ := e.Task.Graph.Split()
		logJob(e.Task.Graph)
		logJob(parent)
	}
	for _, id := range slices.Concat(d.inFlight.Cancel, d.inFlight.GiveUp) {
		parent, _ := id.Split()
		logJob(id)
		logJob(parent)
		for k := 1; d.State.Jobs[id] != nil && k < d.State.Jobs[id].Occurred; k++ {
			logJob(id.Occurrence(k))
		}
	}
}

// logJob logs what became of a job, with its customer if it has one.
func (d *Dispatcher) logJob(c manager.CustomerID, message string, fields ...any) {
	if c != "" {
		fields = append(fields, "Customer", c)
	}
	d.log(message, fields...)
	d.logLines[len(d.logLines)-1].Customer = c
}
