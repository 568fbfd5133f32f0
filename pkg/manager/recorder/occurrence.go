package recorder

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// isOccurrence reports whether the job is a later occurrence of a repeating job; the ID that the caller chose belongs to
// that job.
func (j *Job) isOccurrence() bool {
	_, k := j.Graph.Graph.Split()
	return k > 0 && j.Repeat.Count == 0
}

// Repeats reports whether the job is a repeating one or an occurrence of one.
func (j *Job) Repeats() bool { return j.Repeat.Count > 0 || j.origin != nil }

// ReleaseTime returns when the job's tasks became eligible to run.
func (j *Job) ReleaseTime() manager.Time { return max(j.Accepted, j.DueSince) }

// Unreleased reports whether the first occurrence of a repeating job has not started.
func (j *Job) Unreleased() bool { return j.Repeat.Count > 0 && j.Occurred == 0 }

// startOccurrence starts the next occurrence of a repeating job.
func (st *State) startOccurrence(o Occurrence) {
	j := st.active[o.Graph]
	if j == nil || o.Number != j.Occurred || o.Number >= j.Repeat.Count {
		return
	}
	j.Occurred++
	if o.Number == 0 {
		j.DueSince = st.At
		return
	}
	j.Unfinished++
	g := j.Graph
	g.Graph, g.Repeat = j.Graph.Graph.Occurrence(o.Number), manager.Repeat{}
	st.addJob(g, j)
}

// linkOccurrences lets the occurrences of a decoded state share the payload and the steps of their repeating jobs.
// Snapshots of earlier versions hold them in each occurrence.
func (st *State) linkOccurrences() {
	for _, j := range st.Jobs {
		if !j.isOccurrence() {
			continue
		}
		id, _ := j.Graph.Graph.Split()
		origin := st.Jobs[id]
		if origin == nil || origin.Repeat.Count == 0 || len(origin.Steps) == 0 {
			continue
		}
		j.origin = origin
		j.Queue, j.Customer, j.Steps = origin.Queue, origin.Customer, origin.Steps
		if j.Tasks != nil {
			j.Payload = origin.Payload
		}
	}
}

// completeIfDone completes a job whose own tasks are done once all its occurrences have started and ended.
func (st *State) completeIfDone(j *Job) {
	if j.Occurred < j.Repeat.Count || j.Unfinished > 0 {
		return
	}
	st.endJob(j, manager.GraphCompleted)
}

// endOccurrences cancels the other occurrences of a job that has ended, and updates the repeating job when one of its
// occurrences ends.
func (st *State) endOccurrences(j *Job) {
	for k := 1; k < j.Occurred; k++ {
		if o := st.active[j.Graph.Graph.Occurrence(k)]; o != nil {
			st.endJob(o, manager.GraphCancelled)
		}
	}
	if !j.isOccurrence() {
		return
	}
	id, _ := j.Graph.Graph.Split()
	parent := st.active[id]
	if parent == nil {
		return
	}
	parent.Unfinished--
	if j.State != manager.GraphCompleted {
		st.endJob(parent, j.State)
		return
	}
	for _, n := range parent.remaining {
		if n > 0 {
			return
		}
	}
	st.completeIfDone(parent)
}

// dropSpec frees what is needed of an ended job only while it runs. What its tasks reserve stays known, as a worker may still
// report one of them.
func (st *State) dropSpec(j *Job) {
	j.Tasks, j.Payload = nil, ""
	if j.origin != nil {
		return
	}
	j.Steps = slices.Clone(j.Steps)
	for i := range j.Steps {
		s := &j.Steps[i]
		s.DependsOn, s.Requires, s.DataRack, s.Image = nil, "", "", ""
	}
	for k := 1; k < j.Occurred; k++ {
		if o := st.Jobs[j.Graph.Graph.Occurrence(k)]; o != nil && o.origin == j {
			o.Steps = j.Steps
		}
	}
}

// unlinkOccurrences separates the occurrences of a job that leaves the state before them, as one of their runs is open. They
// have ended, so that no worker gets their payload any more.
func (st *State) unlinkOccurrences(origin *Job) {
	for k := 1; k < origin.Occurred; k++ {
		if o := st.Jobs[origin.Graph.Graph.Occurrence(k)]; o != nil && o.origin == origin {
			o.origin, o.Payload = nil, ""
			st.resize(o, o.measure()-o.bytes)
		}
	}
}
