package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// mixedSteps returns the steps of a job in which a long-running step follows a finite one, or comes first.
func mixedSteps(longRunningFirst bool) []manager.GraphStep {
	finite, lasting := task(1000, 1), longRunning(1000, 2, 1)
	if longRunningFirst {
		return []manager.GraphStep{lasting, finite}
	}
	lasting.DependsOn = []int{0}
	return []manager.GraphStep{finite, lasting}
}

// failStep lets the runs of a step fail after a while.
func (f *fleet) failStep(step int) {
	for _, w := range f.workers {
		for id, at := range w.runs {
			if id.Step == step && f.now.Sub(at) >= 500 {
				w.end(id, manager.RunFailed)
			}
		}
	}
}

// Guards against the end of a job whose long-running tasks fail more often than finite ones may, wherever their step is.
func TestLongRunningTasksFailWithoutLimit(t *testing.T) {
	for name, first := range map[string]bool{"first step": true, "later step": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4"} {
				f.worker(id, pool, 4000)
			}
			f.run(200)
			f.submit("a", mixedSteps(first)...)
			step := 1
			if first {
				step = 0
			}
			for range 600 {
				f.run(50)
				f.failStep(step)
			}
			require.Greater(t, f.state.Jobs["a"].Tasks[step][0].LastRun, manager.RunNumber(6))
			require.Equal(t, manager.GraphRunning, f.jobState("a"))
			f.run(5 * manager.Second)
			require.Equal(t, 2, f.state.Jobs["a"].OpenRunsIn(step))
		})
	}
}

// Guards against finite tasks without a limit of attempts, because another step of their job runs until it is cancelled.
func TestFiniteTasksKeepTheirLimitBesideLongRunningOnes(t *testing.T) {
	for name, first := range map[string]bool{"long-running step first": true, "finite step first": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			for _, id := range []manager.WorkerID{"w1", "w2"} {
				f.worker(id, pool, 4000).fails = true
			}
			f.run(200)
			f.submit("a", mixedSteps(first)...)
			started := 0
			for range 400 {
				f.run(50)
			}
			for _, w := range f.workers {
				for _, s := range w.started {
					if (s.Task.Step == 1) == first {
						started++
					}
				}
			}
			require.Equal(t, 2, started, "MaxAttempts is 2")
			require.Equal(t, manager.GraphFailed, f.jobState("a"))
		})
	}
}

// Guards against refusals because of long-running steps behind finite ones: they are no work that later jobs wait for.
func TestLongRunningStepOfAMixedJobIsNoBacklog(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2"} {
		f.worker(id, pool, 4000)
	}
	f.run(8 * manager.Second)
	const jobs = 30
	for i := range jobs {
		steps := mixedSteps(false)
		steps[0].PerTask.ProcessorMilliCores, steps[1].PerTask.ProcessorMilliCores = 100, 100
		steps[1].EstimateMs = manager.Hour
		f.submit(manager.GraphID(fmt.Sprint("a", i)), steps...)
	}
	f.run(10 * manager.Second)
	for i := range jobs {
		require.Equal(t, 2, f.state.Jobs[manager.GraphID(fmt.Sprint("a", i))].OpenRunsIn(1))
	}
	call := f.submit("b", task(500, 2))
	f.run(200)
	require.NoError(t, f.answers[call].Err)
	f.run(6 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}

// A long-running task that has to be restarted comes before the finite tasks of other jobs, also long after the objective
// of its own job's finite steps.
func TestLongRunningStepOfAMixedJobComesFirst(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 2000)
	f.run(200)
	steps := mixedSteps(false)
	steps[1].Count = 1
	f.submit("a", steps...)
	f.run(40 * manager.Second)
	require.Equal(t, 1, f.state.Jobs["a"].OpenRunsIn(1))
	f.send(dispatcher.Event{Submit: &manager.Graph{Graph: "b", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1000, 30)}}})
	f.run(500)
	w.end(manager.TaskID{Graph: "a", Step: 1}, manager.RunFailed)
	f.run(3 * manager.Second)
	require.Equal(t, 1, f.state.Jobs["a"].OpenRunsIn(1), "finite tasks of another job took its place")
}
