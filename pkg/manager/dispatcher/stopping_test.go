package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// loseAnswers drops every answer to a worker for some time. Its reports still arrive.
func (f *fleet) loseAnswers(w *fakeWorker, d manager.Duration) {
	for end := f.now.Add(d); f.now < end; {
		w.loseAnswer = true
		f.run(50)
	}
	w.loseAnswer = false
}

// The start order of a job that is cancelled was lost. Its run must not use capacity for good.
func TestCancelledRunThatNeverBeganFreesItsCapacity(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	f.run(200)
	f.submit("a", task(1000, 1))
	f.loseAnswers(w, 300)
	require.Len(t, f.state.Runs(w.report.Instance), 1)
	id := manager.GraphID("a")
	f.send(dispatcher.Event{Cancel: &id})
	f.submit("b", task(1000, 1))
	f.run(10 * manager.Second)
	require.Empty(t, w.numbers[manager.TaskID{Graph: "a"}])
	require.Empty(t, f.state.Runs(w.report.Instance))
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}

// Ended jobs are dropped in the order in which they ended, so a run that stays open would keep all later ones.
func TestCancelledRunThatNeverBeganDoesNotKeepEndedJobs(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	f.run(200)
	f.submit("a", task(1000, 1))
	f.loseAnswers(w, 300)
	id := manager.GraphID("a")
	f.send(dispatcher.Event{Cancel: &id})
	f.run(1 * manager.Second)
	f.worker("w2", pool, 1000)
	f.submit("b", task(1000, 1))
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
	f.run(recorder.DefaultEndedRetention)
	f.submit("c", task(1000, 1))
	f.run(3 * manager.Second)
	require.Nil(t, f.state.Jobs["a"])
	require.Nil(t, f.state.Jobs["b"])
}
