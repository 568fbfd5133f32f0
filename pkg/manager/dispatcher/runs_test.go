package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

func TestJobRunsStepAfterStep(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	second := task(1000, 2)
	second.DependsOn = []int{0}
	f.submit("a", task(1000, 3), second)
	f.run(900)
	require.Len(t, w.started, 3)
	require.Equal(t, manager.GraphRunning, f.jobState("a"))
	f.run(3 * manager.Second)
	require.Len(t, w.started, 5)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

func TestSubmitAgainIsOneJob(t *testing.T) {
	f := newFleet(t)
	first, again := f.submit("a", task(1000, 1)), f.submit("a", task(1000, 1))
	f.runCycle()
	third := f.submit("a", task(1000, 1))
	f.runCycle()
	for _, call := range []dispatcher.CallID{first, again, third} {
		require.NoError(t, f.answers[call].Err)
	}
	require.Len(t, f.state.Jobs, 1)
}

func TestSubmitOfUnknownQueueIsRefused(t *testing.T) {
	f := newFleet(t)
	call := f.send(dispatcher.Event{Submit: &manager.Graph{Graph: "a", Queue: "none", Steps: []manager.GraphStep{task(1, 1)}}})
	f.runCycle()
	require.True(t, manager.IsErrNotExist(f.answers[call].Err))
	require.Empty(t, f.state.Jobs)
}

func TestTasksStayWithinCapacity(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 2500)
	f.submit("a", task(1000, 5))
	f.run(500)
	require.Len(t, w.started, 2)
	f.run(1 * manager.Second)
	require.Len(t, w.started, 4)
}

// The capacity of ended runs must be in use again with the answer to the report of these ends. A worker that has to
// report once more is idle for the pause between two reports.
func TestFreedCapacityIsAssignedInAnswerToSameReport(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	f.submit("a", task(1000, 2))
	f.run(500)
	require.Len(t, w.started, 1)
	for len(w.report.Ended) == 0 {
		f.run(50)
	}
	ended := f.now
	for len(w.started) < 2 {
		f.run(50)
	}
	require.LessOrEqual(t, f.now.Sub(ended), 200*manager.Millisecond)
}

func TestFailedTaskEndsTheJobAfterItsAttempts(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.fails = true
	f.submit("a", task(1000, 1))
	f.run(6 * manager.Second)
	require.Equal(t, manager.GraphFailed, f.jobState("a"))
	require.Len(t, w.started, 2)
}

// A silent worker keeps its task until its lease has expired by its own clock, which may be slow.
func TestTaskOfSilentWorkerWaitsForLeaseExpiry(t *testing.T) {
	f := newFleet(t)
	first := f.worker("w1", pool, 1000)
	first.taskTime = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	require.Len(t, first.started, 1)
	second := f.worker("w2", pool, 1000)
	f.run(300)
	first.silent = true
	heard := first.reported
	f.run(leaseTimeout - 600)
	require.Empty(t, second.started)
	f.run(1200)
	require.Len(t, second.started, 1)
	require.GreaterOrEqual(t, f.now.Sub(heard), leaseTimeout)
}

// A new dispatcher doesn't know the latest leases that its predecessor granted.
func TestNewDispatcherWaitsForLeasesOfSilentWorkers(t *testing.T) {
	f := newFleet(t)
	first := f.worker("w1", pool, 1000)
	first.taskTime = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	first.silent = true
	second := f.worker("w2", pool, 1000)
	f.run(3 * manager.Second)
	f.startDispatcher(2)
	f.run(leaseTimeout - 200)
	require.Empty(t, second.started)
	f.run(1 * manager.Second)
	require.Len(t, second.started, 1)
}

func TestNewDispatcherKeepsRunningTasks(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.submit("a", task(1000, 2))
	f.run(300)
	f.startDispatcher(2)
	f.run(2 * manager.Second)
	require.Len(t, w.started, 2)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

func TestNewInstanceEndsOldRunsAtOnce(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.taskTime = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	old := w.report
	w.report.Instance.StartedAt = f.now
	clear(w.runs)
	w.report.Sequence = 0
	f.run(300)
	require.Len(t, w.started, 2, "the task does not start again in the new instance")
	require.Equal(t, manager.RunNumber(2), w.started[1].Run)
	late := f.send(dispatcher.Event{Report: &old})
	f.runCycle()
	require.Zero(t, f.answers[late].Orders.LeaseMs, "a late report of the old instance got a lease")
	require.NotNil(t, f.state.OpenRun(w.started[1].Task, 2))
}

func TestCancelStopsWhatRuns(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.taskTime = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	id := manager.GraphID("a")
	call := f.send(dispatcher.Event{Cancel: &id})
	f.run(1 * manager.Second)
	require.NoError(t, f.answers[call].Err)
	require.Equal(t, manager.GraphCancelled, f.jobState("a"))
	require.Empty(t, w.runs)
	require.Empty(t, f.state.Runs(w.report.Instance))
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.run(100)
	w.report.Draining, w.report.RemainingMs = true, 5000
	f.run(1 * manager.Second)
	f.submit("a", task(1000, 1))
	f.run(1 * manager.Second)
	require.Empty(t, w.started)
}

func TestWorkerThatFailsAllRunsIsExcluded(t *testing.T) {
	f := newFleet(t)
	bad, good := f.worker("w1", pool, 2000), f.worker("w2", pool, 2000)
	bad.fails = true
	bad.taskTime = 100
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		f.submit(id, task(1000, 1))
		f.run(700)
	}
	f.run(2 * manager.Second)
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		require.Equal(t, manager.GraphCompleted, f.jobState(id), id)
	}
	require.LessOrEqual(t, len(bad.started), 4)
	require.NotEmpty(t, good.started)
}
