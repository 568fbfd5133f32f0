package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// crashRack crashes all workers of a rack, which come back together.
func (f *fleet) crashRack(rack manager.Label) {
	for _, w := range f.workers {
		if w.report.Rack == rack {
			w.crash()
		}
	}
}

// Racks that lose power again and again take the same sound tasks with them, as a job whose task crashes its workers does. Such
// jobs were given up, and the tasks that still ran were stopped.
func TestRackThatCrashesAgainAndAgainIsNoEvidence(t *testing.T) {
	f := newFleet(t)
	for i := range 8 {
		w := f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 16000)
		w.leased, w.downTime = true, manager.Second
		w.report.Rack = manager.Label(fmt.Sprintf("r%d", i/4))
		w.report.Labels = []manager.Label{"a", w.report.Rack}
	}
	f.run(400)
	f.submit("lasting", longRunning(500, 6, 1))
	f.submit("other", longRunning(500, 5, 1))
	for i := range 24 {
		f.run(2700)
		f.crashRack(manager.Label(fmt.Sprintf("r%d", i%2)))
	}
	f.run(30 * manager.Second)
	for id, j := range f.state.Jobs {
		require.NotEqual(t, manager.GraphFailed, j.State, id)
	}
	require.Zero(t, f.notRunning("lasting"))
	require.Zero(t, f.notRunning("other"))
}

// The first workers of a rack that report back count their crash; it is taken back once the third one does.
func TestCrashesOfARackAreRetracted(t *testing.T) {
	st := recorder.New()
	instance := manager.WorkerInstance{Worker: "w", StartedAt: 1}
	id := manager.TaskID{Graph: "j"}
	crash := recorder.Crash{Instance: instance, VM: "vm", Tasks: []manager.TaskID{id}, Suspects: []manager.TaskID{id}}
	st.Apply(recorder.Changes{At: 1, Submit: []manager.Graph{{Graph: "j", Queue: queue, Steps: []manager.GraphStep{task(500, 1)}}}})
	st.Apply(recorder.Changes{At: 2, Crash: []recorder.Crash{crash}})
	require.True(t, st.Jobs["j"].HasSuspects())
	st.Apply(recorder.Changes{At: 3, RetractCrash: []recorder.Crash{crash}})
	_, task := st.Task(id)
	require.Zero(t, task.Crashes+task.Suspected+len(task.CrashedOn))
	require.False(t, st.Jobs["j"].HasSuspects())
	st.Apply(recorder.Changes{At: 4, RetractCrash: []recorder.Crash{crash}})
	require.Zero(t, task.Crashes)
}

// All tasks of a job crash their workers at the same moment, in one rack: the job is the cause, not the rack.
func TestJobThatCrashesItsRackIsGivenUp(t *testing.T) {
	f := crashFleet(t, 4, "bad")
	f.deadly = func(id manager.TaskID) bool { return id.Graph == "bad" }
	for _, w := range f.workers {
		w.report.Rack, w.report.Labels = "r1", []manager.Label{"a", "r1"}
	}
	f.run(400)
	f.submit("bad", task(2000, 8))
	f.run(90 * manager.Second)
	require.Equal(t, manager.GraphFailed, f.jobState("bad"))
	for i := range 8 {
		require.LessOrEqual(t, f.starts(manager.TaskID{Graph: "bad", Task: i}), maxStarts, i)
	}
}
