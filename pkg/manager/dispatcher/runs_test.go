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
	second.Needs = []int{0}
	f.submit("a", task(1000, 3), second)
	f.run(900)
	require.Len(t, w.started, 3)
	require.Equal(t, manager.GraphRunning, f.state("a"))
	f.run(3 * manager.Second)
	require.Len(t, w.started, 5)
	require.Equal(t, manager.GraphCompleted, f.state("a"))
}

func TestSubmitAgainIsOneJob(t *testing.T) {
	f := newFleet(t)
	first, again := f.submit("a", task(1000, 1)), f.submit("a", task(1000, 1))
	f.step()
	third := f.submit("a", task(1000, 1))
	f.step()
	for _, ticket := range []dispatcher.CallID{first, again, third} {
		require.NoError(t, f.answers[ticket].Err)
	}
	require.Len(t, f.book.Jobs, 1)
}

func TestSubmitOfUnknownQueueIsRefused(t *testing.T) {
	f := newFleet(t)
	ticket := f.send(dispatcher.Event{Submit: &manager.Graph{Graph: "a", Queue: "none", Steps: []manager.GraphStep{task(1, 1)}}})
	f.step()
	require.True(t, manager.IsErrNotExist(f.answers[ticket].Err))
	require.Empty(t, f.book.Jobs)
}

func TestNothingRunsBeyondTheRoom(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 2500)
	f.submit("a", task(1000, 5))
	f.run(500)
	require.Len(t, w.started, 2)
	f.run(1 * manager.Second)
	require.Len(t, w.started, 4)
}

// The room of ended runs must be in use again with the answer to the report that brings the ends; a
// worker that has to report once more idles for the pause between two reports.
func TestEndedRoomIsGivenAwayWithTheSameReport(t *testing.T) {
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
	require.Equal(t, manager.GraphFailed, f.state("a"))
	require.Len(t, w.started, 2)
}

// A worker that is not heard keeps its task until its lease has ended by its own clock, which may be slow.
func TestTaskOfASilentWorkerWaitsForItsLease(t *testing.T) {
	f := newFleet(t)
	first := f.worker("w1", pool, 1000)
	first.work = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	require.Len(t, first.started, 1)
	second := f.worker("w2", pool, 1000)
	f.run(300)
	first.silent = true
	heard := first.reported
	f.run(leaseEnd - 600)
	require.Empty(t, second.started)
	f.run(1200)
	require.Len(t, second.started, 1)
	require.GreaterOrEqual(t, f.now.Sub(heard), leaseEnd)
}

// A new dispatcher does not know what its predecessor granted last.
func TestTakeoverWaitsForTheLeaseOfUnheardWorkers(t *testing.T) {
	f := newFleet(t)
	first := f.worker("w1", pool, 1000)
	first.work = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	first.silent = true
	second := f.worker("w2", pool, 1000)
	f.run(3 * manager.Second)
	f.lead(2)
	f.run(leaseEnd - 200)
	require.Empty(t, second.started)
	f.run(1 * manager.Second)
	require.Len(t, second.started, 1)
}

func TestTakeoverGoesOnWithWhatRuns(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	f.submit("a", task(1000, 2))
	f.run(300)
	f.lead(2)
	f.run(2 * manager.Second)
	require.Len(t, w.started, 2)
	require.Equal(t, manager.GraphCompleted, f.state("a"))
}

func TestAnotherLifeEndsTheRunsAtOnce(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.work = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	old := w.report
	w.report.Life.Born = f.now
	clear(w.runs)
	w.report.Sequence = 0
	f.run(300)
	require.Len(t, w.started, 2, "the task starts again in the new life")
	require.Equal(t, manager.RunNumber(2), w.started[1].Run)
	late := f.send(dispatcher.Event{Report: &old})
	f.step()
	require.Zero(t, f.answers[late].Orders.LeaseMs, "a late report of the old life gets no lease")
	require.NotNil(t, f.book.OpenRun(w.started[1].Task, 2))
}

func TestCancelStopsWhatRuns(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.work = manager.Minute
	f.submit("a", task(1000, 1))
	f.run(300)
	id := manager.GraphID("a")
	ticket := f.send(dispatcher.Event{Cancel: &id})
	f.run(1 * manager.Second)
	require.NoError(t, f.answers[ticket].Err)
	require.Equal(t, manager.GraphCancelled, f.state("a"))
	require.Empty(t, w.runs)
	require.Empty(t, f.book.Runs(w.report.Life))
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

func TestWorkerThatFailsEverythingIsLeftAlone(t *testing.T) {
	f := newFleet(t)
	bad, good := f.worker("w1", pool, 2000), f.worker("w2", pool, 2000)
	bad.fails = true
	bad.work = 100
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		f.submit(id, task(1000, 1))
		f.run(700)
	}
	f.run(2 * manager.Second)
	for _, id := range []manager.GraphID{"a", "b", "c", "d", "e", "f"} {
		require.Equal(t, manager.GraphCompleted, f.state(id), id)
	}
	require.LessOrEqual(t, len(bad.started), 4)
	require.NotEmpty(t, good.started)
}
