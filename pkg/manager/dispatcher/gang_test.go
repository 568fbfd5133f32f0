package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// gangTimeout is how long a task of a gang waits for the others.
const gangTimeout = 3 * manager.Second

func gang(cores manager.MilliCores, count int) manager.GraphStep {
	s := task(cores, count)
	s.Gang = true
	return s
}

// runNumbers returns the run numbers of a job's first step, by task.
func (f *fleet) runNumbers(id manager.GraphID) map[int]manager.RunNumber {
	numbers := map[int]manager.RunNumber{}
	for _, w := range f.workers {
		for _, s := range w.started {
			if s.Task.Graph == id {
				numbers[s.Task.Task] = max(numbers[s.Task.Task], s.Run)
			}
		}
	}
	return numbers
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	f := newFleet(t)
	first := f.worker("w1", pool, 3000)
	second := f.worker("w2", pool, 3000)
	first.taskTime, second.taskTime = 3000, 3000
	f.run(200)
	f.submit("a", task(1000, 3))
	f.run(300)
	f.submit("g", gang(1000, 4))
	f.run(1 * manager.Second)
	require.Empty(t, f.runNumbers("g"), "only a part of the gang started")
	f.run(8 * manager.Second)
	require.Equal(t, map[int]manager.RunNumber{0: 1, 1: 1, 2: 1, 3: 1}, f.runNumbers("g"))
	require.Equal(t, manager.GraphCompleted, f.jobState("g"))
}

// The reports of a pool with a backlog are answered at once, so the reports of a gang's workers are never held
// together.
func TestGangStartsOnWorkersThatReportInTurn(t *testing.T) {
	f := newFleet(t)
	for i, id := range []manager.WorkerID{"w1", "w2", "w3"} {
		w := f.worker(id, pool, 3000)
		w.taskTime = manager.Duration(1000 + 100*i)
	}
	f.run(700)
	f.submit("a", task(1000, 9))
	f.run(300)
	f.submit("g", gang(1000, 8))
	f.run(4 * manager.Second)
	require.Len(t, f.runNumbers("g"), 8)
}

// A gang that has waited for some time gets the capacity that smaller tasks would otherwise take one after the other.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(200)
	f.submit("a", task(1000, 4))
	f.run(500)
	f.submit("g", gang(1000, 4))
	for i := range 12 {
		f.submit(manager.GraphID("small"+string(rune('a'+i))), task(1000, 1))
		f.run(300)
	}
	f.run(5 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("g"))
}

// The loss of one task ends the gang's run. The next run has one higher number for all tasks and starts only once no
// task of the old run can be running.
func TestGangRestartsOnceAllTasksHaveEnded(t *testing.T) {
	f := newFleet(t)
	first, second := f.worker("w1", pool, 2000), f.worker("w2", pool, 2000)
	first.taskTime, second.taskTime = manager.Minute, manager.Minute
	f.submit("g", gang(1000, 4))
	f.run(500)
	require.Len(t, f.runNumbers("g"), 4)
	first.restart()
	f.run(1 * manager.Second)
	require.Equal(t, map[int]manager.RunNumber{0: 1, 1: 1, 2: 1, 3: 1}, f.runNumbers("g"), "a task of the old run is still running")
	for id := range second.runs {
		second.end(id, manager.RunGangEnded)
	}
	first.taskTime, second.taskTime = 500, 500
	f.run(3 * manager.Second)
	require.Equal(t, map[int]manager.RunNumber{0: 2, 1: 2, 2: 2, 3: 2}, f.runNumbers("g"))
	require.Equal(t, manager.GraphCompleted, f.jobState("g"))
}

// A gang that fails has used one attempt, no matter how many of its tasks report the failure.
func TestGangFailsAfterItsAttempts(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime, w.fails = 200, true
	f.submit("g", gang(1000, 3))
	f.run(6 * manager.Second)
	require.Equal(t, manager.GraphFailed, f.jobState("g"))
	require.Equal(t, map[int]manager.RunNumber{0: 2, 1: 2, 2: 2}, f.runNumbers("g"))
}

// The end of one task counts for the whole gang: the steps that depend on it may start, and no task of it starts again.
func TestEndOfOneTaskEndsTheGang(t *testing.T) {
	f := newFleet(t)
	first, second := f.worker("w1", pool, 1000), f.worker("w2", pool, 1000)
	first.taskTime, second.taskTime = 300, manager.Minute
	// The next step fits only on the first worker.
	after := task(500, 1)
	after.DependsOn = []int{0}
	f.submit("g", gang(900, 2), after)
	f.run(800)
	second.silent = true
	f.run(1 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("g"))
	f.run(8 * manager.Second)
	require.Equal(t, map[int]manager.RunNumber{0: 1, 1: 1}, f.runNumbers("g"))
}

func TestGangStaysInOneRackWhereItCan(t *testing.T) {
	f := newFleet(t)
	for i, id := range []manager.WorkerID{"w1", "w2", "w3", "w4"} {
		w := f.worker(id, pool, 2000)
		w.report.Rack = manager.Label([]string{"r1", "r2"}[i%2])
	}
	f.run(200)
	s := gang(1000, 4)
	s.PreferSameRack = true
	f.submit("g", s)
	f.run(500)
	racks := map[manager.Label]bool{}
	for _, w := range f.workers {
		if len(w.started) > 0 {
			racks[w.report.Rack] = true
		}
	}
	require.Len(t, racks, 1)
	require.Len(t, f.runNumbers("g"), 4)
}

// runWithWall runs the fleet with a wall clock that is ahead of the fleet's clock.
func (f *fleet) runWithWall(d, ahead manager.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.d.SetWall(f.now, f.now.Add(ahead))
		f.run(50)
	}
}

func TestOccurrencesBeginWhenTheyAreDue(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime = 200
	const epoch = 1_700_000_000_000
	f.runWithWall(200, epoch)
	first := f.now.Add(epoch + 1000)
	call := f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1000, 2)},
		Repeat: manager.Repeat{Count: 3, FirstAt: first, IntervalMs: 2000},
	}})
	f.runWithWall(900, epoch)
	require.NoError(t, f.answers[call].Err)
	require.Empty(t, w.started, "a task started before it was due")
	f.runWithWall(600, epoch)
	require.Len(t, w.started, 2)
	f.runWithWall(1500, epoch)
	require.Len(t, w.started, 2, "the second occurrence started before it was due")
	f.runWithWall(3500, epoch)
	require.Len(t, w.started, 6)
	require.Equal(t, "t.2.0.1", w.started[5].Task.String())
	require.Equal(t, manager.GraphCompleted, f.jobState("t"))
}

// A wall clock that jumps ahead for some seconds starts nothing early.
func TestWallClockJumpStartsNothingEarly(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.runWithWall(2*manager.Second, 0)
	f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1000, 1)},
		Repeat: manager.Repeat{Count: 1, FirstAt: f.now.Add(2500)},
	}})
	f.runWithWall(2*manager.Second, 2400)
	require.Empty(t, w.started)
	f.runWithWall(2*manager.Second, 0)
	require.Len(t, w.started, 1)
}

// A repeating job ends in the state of its first unsuccessful occurrence, and cancelling it ends all started
// occurrences.
func TestEndOfRepeatingJob(t *testing.T) {
	for _, c := range []struct {
		what   string
		fails  bool
		cancel bool
		want   manager.GraphState
	}{{"an occurrence fails", true, false, manager.GraphFailed}, {"the job is cancelled", false, true, manager.GraphCancelled}} {
		f := newFleet(t)
		w := f.worker("w1", pool, 4000)
		w.taskTime = 300
		f.send(dispatcher.Event{Submit: &manager.Graph{
			Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1000, 1)},
			Repeat: manager.Repeat{Count: 4, FirstAt: f.now.Add(100), IntervalMs: 1000},
		}})
		f.runWithWall(1*manager.Second, 0)
		w.taskTime, w.fails = 2000, c.fails
		f.runWithWall(500, 0)
		if c.cancel {
			id := manager.GraphID("t")
			f.send(dispatcher.Event{Cancel: &id})
		}
		f.runWithWall(9*manager.Second, 0)
		require.Equal(t, c.want, f.jobState("t"), c.what)
		require.Empty(t, f.state.Active(), c.what)
		require.Empty(t, w.runs, c.what)
		require.Zero(t, f.state.Pending(queue), c.what)
	}
}

// A worker whose capacity has shrunk refuses its task of a gang. The others must not wait until they end by themselves.
func TestRestOfGangIsStoppedWhenOneTaskIsRefused(t *testing.T) {
	f := newFleet(t)
	first, second := f.worker("w1", pool, 2000), f.worker("w2", pool, 2000)
	first.taskTime, second.taskTime = manager.Minute, manager.Minute
	second.onStart = func(o manager.StartOrder) bool { return o.Run > 1 }
	f.run(200)
	f.submit("g", gang(1000, 4))
	f.run(1500)
	require.Equal(t, map[int]manager.RunNumber{0: 2, 1: 2, 2: 2, 3: 2}, f.runNumbers("g"), "the tasks that started wait for those that were refused")
	require.Len(t, first.runs, 2)
	require.Len(t, second.runs, 2)
}
