package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// testStateBytes is a limit that tests fill quickly.
const testStateBytes = 1 << 20

// newRoomFleet returns a fleet of three workers whose state has a small limit, after the warm-up of the dispatcher.
func newRoomFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.options.StateBytes = testStateBytes
	f.elect(2, 0)
	for i := range 3 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i+1)), pool, 8000)
	}
	f.runWithWall(6*manager.Second, 0)
	return f
}

// hopelessKinds are jobs that no VM of the fleet can do, of each kind that takes much of the state for a small request.
func hopelessKinds() map[string]func() manager.Graph {
	large, label := task(65_000, 1), task(1000, 1)
	label.Requires = "x"
	return map[string]func() manager.Graph{
		"payload": func() manager.Graph {
			return manager.Graph{Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{large}}
		},
		"payload that needs escapes": func() manager.Graph {
			return manager.Graph{Payload: strings.Repeat("\x01", manager.MaxPayloadBytes), Steps: []manager.GraphStep{label}}
		},
		"many tasks": func() manager.Graph {
			s := large
			s.Count = manager.MaxGraphTasks / 8
			return manager.Graph{Steps: []manager.GraphStep{s}}
		},
		"many steps": func() manager.Graph {
			g := manager.Graph{}
			for i := range manager.MaxGraphSteps {
				s := label
				s.Image = manager.ImageID(strings.Repeat("i", 200))
				for n := range i {
					s.DependsOn = append(s.DependsOn, n)
				}
				g.Steps = append(g.Steps, s)
			}
			return g
		},
		"a first step that can be done": func() manager.Graph {
			last := large
			last.DependsOn = []int{0}
			return manager.Graph{Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{task(10, 1), last}}
		},
		"long-running": func() manager.Graph {
			s := longRunning(65_000, 20, 1)
			return manager.Graph{Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{s}}
		},
		"gang": func() manager.Graph {
			s := task(8000, 40)
			s.Gang = true
			return manager.Graph{Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{s}}
		},
		"timed": func() manager.Graph {
			return manager.Graph{
				Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{large},
				Repeat: manager.Repeat{Count: manager.MaxOccurrences, FirstAt: 1, IntervalMs: 1},
			}
		},
		"due in years": func() manager.Graph {
			return manager.Graph{
				Payload: strings.Repeat("x", manager.MaxPayloadBytes), Steps: []manager.GraphStep{task(10, 1)},
				Repeat: manager.Repeat{Count: 1, FirstAt: 1 << 40},
			}
		},
		"timed, many tasks": func() manager.Graph {
			s := label
			s.Count = 100
			return manager.Graph{Steps: []manager.GraphStep{s}, Repeat: manager.Repeat{Count: manager.MaxOccurrences, FirstAt: 1, IntervalMs: 1}}
		},
	}
}

// Guards against work that can't be done and takes memory without a limit on each replica, and against one that leaves no room for
// other jobs.
func TestSoundJobsAreDoneBesideHopelessOnes(t *testing.T) {
	for kind, hopeless := range hopelessKinds() {
		t.Run(kind, func(t *testing.T) {
			f := newRoomFleet(t)
			var accepted, refused []manager.GraphID
			calls := map[dispatcher.CallID]manager.GraphID{}
			for i := range 800 {
				g := hopeless()
				g.Graph, g.Queue = manager.GraphID(fmt.Sprintf("h%d", i)), queue
				calls[f.send(dispatcher.Event{Submit: &g})] = g.Graph
				f.runWithWall(50, 0)
				require.LessOrEqual(t, f.state.Bytes(), int64(testStateBytes+testStateBytes/8))
				data, err := f.state.Snapshot()
				require.NoError(t, err)
				require.LessOrEqual(t, int64(len(data)), f.state.Bytes(), "a snapshot takes no more than the size that is counted")
				if i%100 != 99 {
					continue
				}
				id := manager.GraphID(fmt.Sprintf("s%d", i))
				call := f.submit(id, task(1000, 2))
				f.runWithWall(5*manager.Second, 0)
				require.NoError(t, f.answers[call].Err, "a sound job is refused after %d others", i)
				require.Equal(t, manager.GraphCompleted, f.jobState(id))
			}
			for call, id := range calls {
				if err := f.answers[call].Err; err != nil {
					require.True(t, manager.IsErrOverloaded(err), err)
					require.ErrorContains(t, err, "can't start at present")
					refused = append(refused, id)
					require.Nil(t, f.state.Jobs[id])
					continue
				}
				accepted = append(accepted, id)
				require.False(t, f.state.Jobs[id].State.Ended(), "an accepted job stays known")
			}
			require.NotEmpty(t, accepted)
			require.NotEmpty(t, refused)
			before := f.state.Bytes()
			f.restore()
			require.Equal(t, before, f.state.Bytes(), "a restart counts the same")
			f.elect(3, 100)
			f.runWithWall(6*manager.Second, 0)
			for _, id := range accepted {
				f.send(dispatcher.Event{Cancel: &id})
			}
			f.runWithWall(200, 0)
			require.Empty(t, f.state.Active())
			f.runWithWall(170*manager.Second, 0)
			f.submit("after", task(10, 1))
			f.runWithWall(3*manager.Second, 0)
			require.Less(t, f.state.Bytes(), int64(testStateBytes/100), "ended jobs give their room back")
			g := hopeless()
			g.Graph, g.Queue = refused[0], queue
			call := f.send(dispatcher.Event{Submit: &g})
			f.runWithWall(100, 0)
			require.NoError(t, f.answers[call].Err, "a job that was refused is accepted once there is room")
		})
	}
}

// Guards against jobs of a queue without workers that take all the room while its VMs are away.
func TestQueueWithoutWorkersLeavesRoom(t *testing.T) {
	f := newRoomFleet(t)
	refused := 0
	for i := range 600 {
		call := f.send(dispatcher.Event{Submit: &manager.Graph{
			Graph: manager.GraphID(fmt.Sprintf("a%d", i)), Queue: "covers", Payload: strings.Repeat("x", 3000), Steps: []manager.GraphStep{task(500, 1)},
		}})
		f.runCycle()
		if f.answers[call].Err != nil {
			refused++
		}
	}
	require.Positive(t, refused)
	require.Less(t, refused, 590)
	call := f.submit("s", task(1000, 2))
	f.runWithWall(5*manager.Second, 0)
	require.NoError(t, f.answers[call].Err)
	require.Equal(t, manager.GraphCompleted, f.jobState("s"))
	for i := range 4 {
		f.worker(manager.WorkerID(fmt.Sprintf("c%d", i)), other, 16_000).taskTime = 100
	}
	f.runWithWall(60*manager.Second, 0)
	require.Empty(t, f.state.Active(), "what was accepted is done once there are workers")
}

// Guards against occurrences that are lost, repeated or out of order when they come due while nothing can run them.
func TestOccurrencesThatWaitedRunOnceEachInOrder(t *testing.T) {
	f := newRoomFleet(t)
	const n = 300
	step := task(65_000, 1)
	call := f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{step}, Repeat: manager.Repeat{Count: n, FirstAt: f.now, IntervalMs: 10},
	}})
	f.runWithWall(10*manager.Second, 0)
	require.NoError(t, f.answers[call].Err)
	require.Less(t, len(f.state.Active()), 100, "occurrences that can't begin are recorded")
	f.restore()
	f.elect(3, 100)
	w := f.worker("large", pool, 65_000)
	w.taskTime = 50
	for end := f.now.Add(120 * manager.Second); f.now < end && len(f.state.Active()) > 0; {
		f.runWithWall(50, 0)
	}
	require.Equal(t, manager.GraphCompleted, f.jobState("t"))
	require.Len(t, w.started, n)
	for k, s := range w.started {
		id, number := s.Task.Graph.Split()
		require.Equal(t, manager.GraphID("t"), id)
		require.Equal(t, k, number)
	}
}

// Guards against occurrences of one job, all of them overdue, that keep the jobs of others waiting or have them refused.
func TestOverdueOccurrencesDelayNoOtherJobs(t *testing.T) {
	f := newRoomFleet(t)
	const n = 1000
	f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(2000, 1)},
		Repeat: manager.Repeat{Count: n, FirstAt: f.now.Add(-n * manager.Second), IntervalMs: 1000},
	}})
	f.runWithWall(3*manager.Second, 0)
	for i := range 30 {
		id := manager.GraphID(fmt.Sprintf("s%d", i))
		at := f.now
		call := f.submit(id, task(2000, 2))
		f.runWithWall(500, 0)
		require.NoError(t, f.answers[call].Err, "%s is refused", id)
		for f.jobState(id) != manager.GraphCompleted {
			require.Less(t, f.now.Sub(at), 5*manager.Second, "%s waits behind overdue occurrences", id)
			f.runWithWall(50, 0)
		}
	}
	done := f.state.Jobs["t"].Occurred
	require.Greater(t, done, 50, "overdue occurrences use what the others leave")
	f.runWithWall(5*manager.Second, 0)
	require.Greater(t, f.state.Jobs["t"].Occurred, done)
}

// Guards against one job whose occurrences take every cycle while those of others are due as well.
func TestDueOccurrencesOfAllJobsStartInTurn(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 800_000)
	w.taskTime = 50
	f.runWithWall(6*manager.Second, 0)
	for _, id := range []manager.GraphID{"a", "b", "c"} {
		f.send(dispatcher.Event{Submit: &manager.Graph{
			Graph: id, Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1, 1)}, Repeat: manager.Repeat{Count: manager.MaxOccurrences, FirstAt: 1, IntervalMs: 1},
		}})
	}
	f.runWithWall(3*manager.Second, 0)
	a, c := f.state.Jobs["a"].Occurred, f.state.Jobs["c"].Occurred
	require.Positive(t, c)
	require.InDelta(t, a, c, 64)
}

// Guards against checkpoints that fill the state after their jobs were accepted.
func TestCheckpointsStayWithinTheState(t *testing.T) {
	f := newRoomFleet(t)
	for i := range 3 {
		w := f.workers[i]
		w.report.Capacity = cores(2000_000)
		w.taskTime = 100_000
	}
	saved := manager.Checkpoint(strings.Repeat("\x02", manager.MaxCheckpointBytes))
	for i := range 6 {
		s := task(1, 100)
		s.Checkpoints = true
		f.submit(manager.GraphID(fmt.Sprintf("j%d", i)), s)
	}
	f.runWithWall(2*manager.Second, 0)
	for _, w := range f.workers {
		for _, id := range sortedTasks(w.runs) {
			w.end(id, manager.RunStopped)
			w.report.Ended[len(w.report.Ended)-1].Saved = saved
		}
	}
	f.runWithWall(2*manager.Second, 0)
	kept := 0
	for _, j := range f.state.Active() {
		for _, task := range j.Tasks[0] {
			if task.Saved != "" {
				kept++
			}
		}
	}
	require.Positive(t, kept)
	require.LessOrEqual(t, f.state.Bytes(), int64(testStateBytes+testStateBytes/2))
	require.Len(t, f.state.Active(), 6)
}
