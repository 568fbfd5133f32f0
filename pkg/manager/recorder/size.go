package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Sizes of records in memory, in bytes, with their entries in indexes. In a snapshot each takes less.
const (
	jobBytes  = 540
	stepBytes = 240
	taskBytes = 160
	runBytes  = 320
	waveBytes = 400
	// waveVMBytes is what each VM adds to a wave, besides its ID.
	waveVMBytes = 160
	// documentFactor is how many times the size of its document a configuration takes, decoded and in a snapshot.
	documentFactor = 4
)

// Bytes returns the size of the state, worked out from its records, so that it is the same on each replica.
func (st *State) Bytes() int64 { return st.bytes }

// Bytes returns what the job adds to the size of the state.
func (j *Job) Bytes() int64 { return j.bytes }

// SubmitBytes returns what a job adds to the size of the state when it is accepted.
func SubmitBytes(g *manager.Graph) int64 { return specBytes(g) + progressBytes(g) }

// OccurrenceBytes returns what another occurrence of a job adds to the size of the state.
func OccurrenceBytes(j *Job) int64 { return progressBytes(&j.Graph) }

// specBytes returns the size of what a job shares with its occurrences.
func specBytes(g *manager.Graph) int64 {
	n := manager.EncodedLen(g.Payload)
	for i := range g.Steps {
		s := &g.Steps[i]
		n += stepBytes + 8*len(s.DependsOn) + manager.EncodedLen(string(s.Requires)) + manager.EncodedLen(string(s.DataRack)) + manager.EncodedLen(string(s.Image))
	}
	return int64(n)
}

// progressBytes returns the size of a job's own record with the given steps, none of which has begun.
func progressBytes(g *manager.Graph) int64 {
	n := jobBytes + 4*len(g.Graph) + len(g.Queue) + len(g.Customer)
	for i := range g.Steps {
		n += taskBytes*g.Steps[i].Count + 2*8
	}
	return int64(n)
}

// measure works out the size of a job from its records.
func (j *Job) measure() int64 {
	n := progressBytes(&j.Graph)
	if j.origin == nil {
		n += specBytes(&j.Graph)
	}
	if j.Tasks == nil {
		for i := range j.Steps {
			n -= int64(taskBytes * j.Steps[i].Count)
		}
	}
	for s := range j.Tasks {
		for i := range j.Tasks[s] {
			t := &j.Tasks[s][i]
			n += int64(manager.EncodedLen(string(t.Saved)))
			if t.Open != nil {
				n += openBytes(t.Open)
			}
		}
	}
	return n
}

func openBytes(r *Run) int64 { return int64(runBytes + manager.EncodedLen(string(r.Permit))) }

// measureWave returns the size of a wave.
func measureWave(w *Wave) int64 {
	n := waveBytes
	for _, vm := range w.VMs {
		n += waveVMBytes + 3*len(vm)
	}
	return int64(n)
}

// measureConfiguration returns the size of a configuration.
func measureConfiguration(c *manager.FleetConfiguration) int64 {
	if c == nil {
		return 0
	}
	return int64(documentFactor * len(c.Document))
}

// resize changes the size of a job.
func (st *State) resize(j *Job, delta int64) {
	j.bytes += delta
	st.bytes += delta
}

// save replaces the checkpoint of a task.
func (st *State) save(j *Job, t *Task, saved manager.Checkpoint) {
	st.resize(j, int64(manager.EncodedLen(string(saved))-manager.EncodedLen(string(t.Saved))))
	t.Saved = saved
}
