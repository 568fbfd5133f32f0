package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// With a load of several times the pool's capacity, ordering by latest start alone would make every job a little late.
// Jobs that can be completed in time must be, and the others must still run afterwards.
func TestOverloadedPoolCompletesJobsInTimeWherePossible(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(200)
	const jobs = 20
	for i := range jobs {
		f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 6))
	}
	f.run(3 * manager.Second)
	began := 0
	for i := range jobs {
		if f.state.Jobs[manager.GraphID(fmt.Sprintf("j%02d", i))].Started {
			began++
		}
	}
	require.Less(t, began, jobs/2, "too many jobs started, so that they delay each other")
	f.run(2500)
	inTime := f.completed(jobs)
	// 8 cores run 8 tasks of a second at a time; the objective is 1.6 times a second and 3.6 s more.
	require.GreaterOrEqual(t, inTime, 5)
	f.run(12 * manager.Second)
	require.Equal(t, jobs, f.completed(jobs))
}

func (f *fleet) completed(jobs int) int {
	n := 0
	for i := range jobs {
		if j := f.state.Jobs[manager.GraphID(fmt.Sprintf("j%02d", i))]; j != nil && j.State == manager.GraphCompleted {
			n++
		}
	}
	return n
}

// A job that can't be served within three times its objective is refused at once, with the time of a retry.
func TestJobIsRefusedWhenBacklogIsTooLarge(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(6 * manager.Second)
	for i := range 15 {
		f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 4))
		f.run(50)
	}
	call := f.submit("late", task(1000, 4))
	f.runCycle()
	require.True(t, manager.IsErrOverloaded(f.answers[call].Err))
	require.Nil(t, f.state.Jobs["late"])
	again := f.submit("late", task(1000, 4))
	f.run(200)
	require.True(t, manager.IsErrOverloaded(f.answers[again].Err), "a delayed duplicate of a refused submit was accepted")
	require.Nil(t, f.state.Jobs["late"])
}

// A duplicate of a submit in the same cycle must not be refused, as the first one is accepted.
func TestCopyOfAcceptedSubmitIsNotRefused(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(6 * manager.Second)
	refused := func(call dispatcher.CallID) bool { return manager.IsErrOverloaded(f.answers[call].Err) }
	for i := range 40 {
		id := manager.GraphID(fmt.Sprintf("j%02d", i))
		first, again := f.submit(id, task(1000, 4)), f.submit(id, task(1000, 4))
		f.run(50)
		require.Equal(t, refused(first), refused(again), id)
		if refused(first) {
			return
		}
	}
	require.Fail(t, "no submit was refused, so the duplicate of a refused one was not tested")
}

// A new dispatcher has not heard all workers yet, so it has no reason to refuse a job.
func TestNewDispatcherRefusesNothing(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(100)
	for i := range 30 {
		call := f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 4))
		f.run(50)
		require.NoError(t, f.answers[call].Err)
	}
}

// Jobs behind one that finds no worker are still placed if they need less of any resource.
func TestSmallerTasksArePlacedBehindOneThatDoesNotFit(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.report.Capacity.MemoryMegaBytes = 1000
	w.taskTime = manager.Minute
	f.run(4 * manager.Second)
	large, small, thin := task(900, 1), task(300, 1), task(950, 1)
	large.PerTask.MemoryMegaBytes, small.PerTask.MemoryMegaBytes, thin.PerTask.MemoryMegaBytes = 1200, 100, 100
	f.submit("a", large)
	f.submit("b", thin)
	f.submit("c", large)
	f.submit("d", small)
	f.run(500)
	require.Len(t, w.runs, 1, "only one of the two tasks that fit may start")
	require.Zero(t, f.state.Jobs["a"].OpenRuns())
	require.Zero(t, f.state.Jobs["c"].OpenRuns())
	w.report.Capacity.ProcessorMilliCores = 2000
	f.run(1 * manager.Second)
	require.Equal(t, 1, f.state.Jobs["b"].OpenRuns())
	require.Equal(t, 1, f.state.Jobs["d"].OpenRuns())
}

// A pool that is small for a moment must not refuse a job for much longer than that.
func TestJobIsAcceptedSoonAfterPoolHasGrownAgain(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 40_000)
	f.run(6 * manager.Second)
	w.report.Capacity = cores(100)
	f.run(1 * manager.Second)
	f.submit("a", task(100, 400))
	f.run(1 * manager.Second)
	refused := f.submit("b", task(100, 4))
	f.runCycle()
	require.True(t, manager.IsErrOverloaded(f.answers[refused].Err))
	w.report.Capacity = cores(40_000)
	f.run(10 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	again := f.submit("b", task(100, 4))
	f.run(4 * manager.Second)
	require.NoError(t, f.answers[again].Err)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}
