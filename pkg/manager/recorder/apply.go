package recorder

import (
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Encode returns the log entry of some changes.
func Encode(c Changes) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	return data, nil
}

// ApplyEntry applies an entry of the log.
func (b *State) ApplyEntry(data []byte) error {
	var c Changes
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode changes: %w", err)
	}
	b.Apply(c)
	return nil
}

// Apply applies changes; a part that no longer fits the state is passed over.
func (b *State) Apply(c Changes) {
	b.At = max(b.At, c.At)
	b.configure(c.Configure)
	for _, e := range c.End {
		b.end(e)
	}
	for _, id := range c.Cancel {
		if j := b.active[id]; j != nil {
			b.finish(j, manager.GraphCancelled)
		}
	}
	for _, g := range c.Submit {
		b.submit(g)
	}
	for _, w := range c.Wave {
		if b.Waves[w.Wave] == nil {
			b.Waves[w.Wave] = &Wave{UpkeepWave: w, Accepted: b.At, State: map[manager.VMID]UpkeepState{}, Born: map[manager.VMID]manager.Time{}}
		}
	}
	b.order(c)
	for _, o := range c.Occur {
		b.occur(o)
	}
	for _, s := range c.Start {
		b.start(s)
	}
	b.forget()
}

// order records what was ordered from the platform for VMs.
func (b *State) order(c Changes) {
	for _, u := range c.Upkeep {
		b.OrderedAt[u.VM] = b.At
		if w := b.Waves[u.Wave]; w != nil {
			w.State[u.VM] = u.State
			if u.Born != 0 {
				w.Born[u.VM] = u.Born
			}
		}
	}
	for _, m := range c.Move {
		b.OrderedAt[m.VM] = b.At
		if m.Pool == "" {
			delete(b.Moves, m.VM)
			continue
		}
		b.Moves[m.VM] = m.Pool
		if _, ok := b.Homes[m.VM]; !ok {
			b.Homes[m.VM] = m.From
		}
	}
}

func (b *State) configure(c *manager.FleetConfiguration) {
	if c != nil && (b.Configuration == nil || c.Version > b.Configuration.Version) {
		b.Configuration = c
		c.Index()
	}
}

func (b *State) submit(g manager.Graph) {
	if b.Jobs[g.Graph] != nil {
		return
	}
	b.begin(g)
	b.pending[g.Queue]++
}

// begin adds a job with all its tasks.
func (b *State) begin(g manager.Graph) {
	j := &Job{Graph: g, Accepted: b.At, State: manager.GraphQueued, left: make([]int, len(g.Steps)), running: make([]int, len(g.Steps))}
	for s, step := range g.Steps {
		j.Tasks = append(j.Tasks, make([]Task, step.Count))
		j.left[s] = step.Count
	}
	b.Jobs[g.Graph], b.active[g.Graph] = j, j
}

func (b *State) start(s Start) {
	j := b.active[s.Task.Graph]
	_, t := b.Task(s.Task)
	if j == nil || t == nil || t.Done || t.Open != nil || !j.StepReady(s.Task.Step) {
		return
	}
	// The tasks of a gang start with one number, above those of all earlier runs.
	if gang := j.Steps[s.Task.Step].Gang; s.Run <= t.LastRun || !gang && s.Run != t.LastRun+1 {
		return
	}
	t.LastRun = s.Run
	t.Open = &Run{Number: s.Run, Life: s.Life, At: b.At, Permit: s.Permit}
	j.open++
	j.running[s.Task.Step]++
	b.addRun(s.Task, t.Open)
	if !j.Started {
		j.Started, j.State, j.WaitedMs = true, manager.GraphRunning, b.At.Sub(j.Accepted)
		if !j.isOccurrence() {
			b.pending[j.Queue]--
		}
	}
}

func (b *State) end(e End) {
	j, t := b.Task(e.Task)
	if t == nil || t.Open == nil || t.Open.Number != e.Run {
		return
	}
	life, began := t.Open.Life, t.Open.At
	delete(b.runs[life], e.Task)
	if len(b.runs[life]) == 0 {
		delete(b.runs, life)
	}
	t.Open, t.EndedAt = nil, b.At
	j.open--
	j.running[e.Task.Step]--
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	switch {
	case j.State.Ended():
	case j.Steps[e.Task.Step].Gang:
		t = b.endOfGang(j, e, life, began)
	case e.How == manager.RunDone && !j.Steps[e.Task.Step].Lasting:
		t.Done = true
		b.learn(j.Queue, j.Steps[e.Task.Step].EstimateMs, b.At.Sub(began))
		j.left[e.Task.Step]--
	case e.How == manager.RunFailed:
		t.Failures++
		t.FailedOn = life.Worker
	}
	b.settle(j, t)
}

// settle ends a job whose last task is done or whose task has no attempt left.
func (b *State) settle(j *Job, t *Task) {
	if j.State.Ended() {
		j.dropTasks()
		return
	}
	if !j.Lasting() && !t.Done && t.Failures >= b.maxAttempts(j.Queue) {
		b.finish(j, manager.GraphFailed)
		return
	}
	for _, n := range j.left {
		if n > 0 {
			return
		}
	}
	b.complete(j)
}

// maxAttempts returns the attempts of a queue's tasks; a queue that was dropped allows one.
func (b *State) maxAttempts(q manager.QueueID) int {
	if b.Configuration == nil {
		return 1
	}
	s, ok := b.Configuration.Queue(q)
	if !ok {
		return 1
	}
	return max(1, s.MaxAttempts)
}

func (b *State) finish(j *Job, s manager.GraphState) {
	if !j.Started && !j.isOccurrence() {
		b.pending[j.Queue]--
	}
	j.State, j.EndedAt = s, b.At
	delete(b.active, j.Graph.Graph)
	b.Ended = append(b.Ended, j.Graph.Graph)
	j.dropTasks()
	b.finishOccurrences(j)
}

// dropTasks frees the memory of an ended job once nothing of it runs.
func (j *Job) dropTasks() {
	if j.open == 0 {
		j.Tasks, j.Payload = nil, ""
	}
}

// forget drops the jobs that ended long ago.
func (b *State) forget() {
	for len(b.Ended) > 0 {
		j := b.Jobs[b.Ended[0]]
		if j != nil && (b.At.Sub(j.EndedAt) < DefaultKeepEnded || j.open > 0) {
			return
		}
		delete(b.Jobs, b.Ended[0])
		b.Ended = b.Ended[1:]
	}
}
