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

// endingJobs returns the jobs that the changes may end, each once.
func (d *Dispatcher) endingJobs(c *recorder.Changes) []manager.GraphID {
	seen := map[manager.GraphID]bool{}
	var list []manager.GraphID
	add := func(id manager.GraphID) {
		if !seen[id] {
			seen[id] = true
			list = append(list, id)
		}
	}
	for _, e := range c.End {
		parent, _ := e.Task.Graph.Split()
		add(e.Task.Graph)
		add(parent)
	}
	for _, id := range slices.Concat(c.Cancel, c.GiveUp) {
		parent, _ := id.Split()
		add(id)
		add(parent)
		for k := 1; d.State.Jobs[id] != nil && k < d.State.Jobs[id].Occurred; k++ {
			add(id.Occurrence(k))
		}
	}
	return list
}

// recordEnding keeps the objectives of the jobs that the changes may end: an ended job keeps no dependencies of its steps.
func (d *Dispatcher) recordEnding(c *recorder.Changes) {
	d.ending = map[manager.GraphID]manager.Duration{}
	for _, id := range d.endingJobs(c) {
		if j := d.State.Active()[id]; j != nil {
			d.ending[id] = d.objective(j).Sub(j.ReleaseTime())
		}
	}
}

// logEndedJobs logs the jobs that the latest commit has ended.
func (d *Dispatcher) logEndedJobs() {
	for _, id := range d.endingJobs(&d.inFlight) {
		j := d.State.Jobs[id]
		objective, ok := d.ending[id]
		if !ok || j == nil || !j.State.Ended() || j.EndedAt != d.State.At {
			continue
		}
		d.markJobRuns(j)
		took := j.EndedAt.Sub(j.ReleaseTime())
		d.logJob(j.Customer, manager.LogJobEnded, "RequestID", id, "Queue", j.Queue, "State", j.State, "TookMs", took, "ObjectiveMs", objective,
			"InTime", took <= objective, "WaitedMs", j.WaitedMs)
		d.logLines[len(d.logLines)-1].Ended = &EndedJob{Queue: j.Queue, State: j.State, TookMs: took, InTime: took <= objective}
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
