package recorder

import (
	"encoding/json"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Encode encodes changes as the data of a log entry.
func Encode(c Changes) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	return data, nil
}

// ApplyEntry decodes the data of a log entry and applies it.
func (st *State) ApplyEntry(data []byte) error {
	var c Changes
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode changes: %w", err)
	}
	st.Apply(c)
	return nil
}

// Apply applies changes. A change that no longer matches the state is ignored.
func (st *State) Apply(c Changes) {
	st.At = max(st.At, c.At)
	st.configure(c.Configure)
	for _, crash := range c.Crash {
		st.recordCrash(crash)
	}
	for _, crash := range c.RetractCrash {
		st.retractCrash(crash)
	}
	for _, e := range c.End {
		st.endRun(e)
	}
	for _, id := range c.ClearCrashes {
		st.clearCrashes(id)
	}
	for _, l := range c.ForgetExpired {
		st.forgetExpired(l)
	}
	for _, id := range c.GiveUp {
		st.giveUp(id)
	}
	for _, id := range c.Cancel {
		if j := st.active[id]; j != nil {
			st.endJob(j, manager.GraphCancelled)
		}
	}
	for _, g := range c.Submit {
		st.submit(g)
	}
	for _, w := range c.Wave {
		if st.Waves[w.Wave] == nil {
			st.Waves[w.Wave] = &Wave{MaintenanceRequest: w, Accepted: st.At, State: map[manager.VMID]MaintenanceState{}, InstanceStart: map[manager.VMID]manager.Time{}}
			st.bytes += measureWave(st.Waves[w.Wave])
		}
	}
	st.recordOrders(c)
	for _, o := range c.Occur {
		st.startOccurrence(o)
	}
	for _, s := range c.Start {
		st.startRun(s)
	}
	if c.Configure != nil {
		st.dropDeparted()
	}
	st.dropExpired()
}

// recordOrders records the maintenance and pool moves that were ordered from the platform.
func (st *State) recordOrders(c Changes) {
	for _, u := range c.Maintenance {
		st.OrderedAt[u.VM] = st.At
		if w := st.Waves[u.Wave]; w != nil {
			w.State[u.VM] = u.State
			if u.InstanceStart != 0 {
				w.InstanceStart[u.VM] = u.InstanceStart
			}
		}
	}
	for _, m := range c.Move {
		st.OrderedAt[m.VM] = st.At
		if m.Pool == "" {
			delete(st.Moves, m.VM)
			continue
		}
		st.Moves[m.VM] = m.Pool
		if _, ok := st.Homes[m.VM]; !ok {
			st.Homes[m.VM] = m.From
		}
	}
}

func (st *State) configure(c *manager.FleetConfiguration) {
	if c != nil && (st.Configuration == nil || c.Version > st.Configuration.Version) {
		c.Index()
		st.depart(c)
		st.bytes += measureConfiguration(c) - measureConfiguration(st.Configuration)
		st.Configuration = c
	}
}

func (st *State) submit(g manager.Graph) {
	if st.Jobs[g.Graph] != nil {
		return
	}
	st.addJob(g, nil)
	st.pending[g.Queue]++
}

// addJob adds a job with all its tasks. origin is the repeating job of a later occurrence, and nil for other jobs.
func (st *State) addJob(g manager.Graph, origin *Job) {
	j := &Job{
		Graph: g, Accepted: st.At, State: manager.GraphQueued, origin: origin,
		remaining: make([]int, len(g.Steps)), openByStep: make([]int, len(g.Steps)),
	}
	for s, step := range g.Steps {
		j.Tasks = append(j.Tasks, make([]Task, step.Count))
		j.remaining[s] = step.Count
	}
	st.Jobs[g.Graph], st.active[g.Graph] = j, j
	st.resize(j, j.measure())
}

func (st *State) startRun(s Start) {
	j := st.active[s.Task.Graph]
	_, t := st.Task(s.Task)
	if j == nil || t == nil || t.Done || t.Open != nil || !j.StepReady(s.Task.Step) {
		return
	}
	// All tasks of a gang start with the same run number, which is above those of all earlier runs.
	if gang := j.Steps[s.Task.Step].Gang; s.Run <= t.LastRun || !gang && s.Run != t.LastRun+1 {
		return
	}
	st.dropOldExpired(s.Task, j, t)
	t.LastRun = s.Run
	t.Open = &Run{Number: s.Run, Instance: s.Instance, VM: s.VM, At: st.At, Permit: s.Permit}
	st.resize(j, openBytes(t.Open))
	j.openRuns++
	j.openByStep[s.Task.Step]++
	st.addRun(s.Task, t.Open)
	st.addUse(j, s.Task.Step)
	if !j.Started {
		j.Started, j.State, j.WaitedMs = true, manager.GraphRunning, st.At.Sub(j.Accepted)
		if !j.isOccurrence() {
			st.pending[j.Queue]--
		}
	}
}

func (st *State) endRun(e End) {
	j, t := st.Task(e.Task)
	if t == nil || t.Open == nil || t.Open.Number != e.Run {
		return
	}
	instance, began := t.Open.Instance, t.Open.At
	if e.Unreported && !j.State.Ended() && st.At.Sub(began) <= CrashWindow {
		st.addExpired(e.Task, j, t, ExpiredRun{Instance: instance, VM: t.Open.VM, At: began})
	}
	delete(st.runs[instance], e.Task)
	if len(st.runs[instance]) == 0 {
		delete(st.runs, instance)
	}
	st.removeUse(j, e.Task.Step)
	st.resize(j, -openBytes(t.Open))
	t.Open, t.EndedAt = nil, st.At
	j.openRuns--
	j.openByStep[e.Task.Step]--
	if e.Saved != "" {
		st.save(j, t, e.Saved)
	}
	switch {
	case j.State.Ended():
	case j.Steps[e.Task.Step].Gang:
		t = st.endGangRun(j, e, instance, began)
	case e.How == manager.RunDone && !j.Steps[e.Task.Step].LongRunning:
		t.Done = true
		st.save(j, t, "")
		st.recordRunTime(j.Queue, j.Steps[e.Task.Step].EstimateMs, e.localTime(st.At.Sub(began)))
		j.remaining[e.Task.Step]--
	case e.How == manager.RunFailed:
		t.Failures++
		t.FailedOn = instance.Worker
	}
	st.checkJobEnd(j, e.Task.Step, t)
}

// checkJobEnd ends a job when all its tasks are done or a finite task, whose run has ended, has used up its attempts.
func (st *State) checkJobEnd(j *Job, step int, t *Task) {
	if j.State.Ended() {
		st.dropTasks(j)
		return
	}
	if !j.Steps[step].LongRunning && !t.Done && t.Failures >= st.maxAttempts(j.Queue) {
		st.endJob(j, manager.GraphFailed)
		return
	}
	for _, n := range j.remaining {
		if n > 0 {
			return
		}
	}
	st.completeIfDone(j)
}

// maxAttempts returns the number of attempts that a queue allows its tasks.
func (st *State) maxAttempts(id manager.QueueID) int {
	q, _ := st.Queue(id)
	return max(1, q.MaxAttempts)
}

func (st *State) endJob(j *Job, s manager.GraphState) {
	if !j.Started && !j.isOccurrence() {
		st.pending[j.Queue]--
	}
	j.State, j.EndedAt = s, st.At
	delete(st.active, j.Graph.Graph)
	st.Ended = append(st.Ended, j.Graph.Graph)
	st.dropTasks(j)
	st.endOccurrences(j)
}

// dropTasks frees the memory of an ended job once none of its runs is open.
func (st *State) dropTasks(j *Job) {
	if j.openRuns > 0 {
		return
	}
	for s := range j.Tasks {
		for i := range j.Tasks[s] {
			t := &j.Tasks[s][i]
			for len(t.Expired) > 0 {
				st.removeExpired(manager.TaskID{Graph: j.Graph.Graph, Step: s, Task: i}, j, t, t.Expired[0].Instance)
			}
		}
	}
	st.dropSpec(j)
	st.resize(j, j.measure()-j.bytes)
}

// dropExpired removes ended jobs after the retention period, unless a run of theirs is still open.
func (st *State) dropExpired() {
	for len(st.Ended) > 0 {
		j := st.Jobs[st.Ended[0]]
		if j != nil && (st.At.Sub(j.EndedAt) < DefaultEndedRetention || j.openRuns > 0) {
			return
		}
		delete(st.Jobs, st.Ended[0])
		if j != nil {
			st.bytes -= j.bytes
			st.unlinkOccurrences(j)
		}
		st.Ended = st.Ended[1:]
	}
}
