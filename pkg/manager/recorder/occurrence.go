package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// isOccurrence tells whether a job is a later occurrence of another one, to which its caller's id belongs.
func (j *Job) isOccurrence() bool {
	_, k := j.Graph.Graph.Split()
	return k > 0 && j.Repeat.Count == 0
}

// Since returns when the job's tasks were first wanted.
func (j *Job) Since() manager.Time { return max(j.Accepted, j.DueSince) }

// Early tells whether the first occurrence of a job that repeats has not begun.
func (j *Job) Early() bool { return j.Repeat.Count > 0 && j.Occurred == 0 }

// occur begins the next occurrence of a job that repeats.
func (b *State) occur(o Occurrence) {
	j := b.active[o.Graph]
	if j == nil || o.Number != j.Occurred || o.Number >= j.Repeat.Count {
		return
	}
	j.Occurred++
	if o.Number == 0 {
		j.DueSince = b.At
		return
	}
	j.Unfinished++
	g := j.Graph
	g.Graph, g.Repeat = j.Graph.Graph.Occurrence(o.Number), manager.Repeat{}
	b.begin(g)
}

// complete ends a job whose own tasks are done, once its other occurrences have begun and are over.
func (b *State) complete(j *Job) {
	if j.Occurred < j.Repeat.Count || j.Unfinished > 0 {
		return
	}
	b.finish(j, manager.GraphCompleted)
}

// finishOccurrences carries the end of a job to its other occurrences, and the end of an occurrence to its job.
func (b *State) finishOccurrences(j *Job) {
	for k := 1; k < j.Occurred; k++ {
		if o := b.active[j.Graph.Graph.Occurrence(k)]; o != nil {
			b.finish(o, manager.GraphCancelled)
		}
	}
	if !j.isOccurrence() {
		return
	}
	id, _ := j.Graph.Graph.Split()
	whole := b.active[id]
	if whole == nil {
		return
	}
	whole.Unfinished--
	if j.State != manager.GraphCompleted {
		b.finish(whole, j.State)
		return
	}
	for _, n := range whole.left {
		if n > 0 {
			return
		}
	}
	b.complete(whole)
}
