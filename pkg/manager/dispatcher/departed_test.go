package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// replaceQueues changes the queues of the configuration in force.
func (f *fleet) replaceQueues(list ...manager.QueueSettings) {
	next := *f.state.Configuration
	next.Version, next.Queues = next.Version+1, list
	next.Index()
	f.send(dispatcher.Event{Configure: &next})
}

// While its queue was out of the configuration, an accepted job had one attempt instead of those of its queue, and was shown as
// failed once the queue was back.
func TestJobOfRemovedQueueKeepsItsAttempts(t *testing.T) {
	f := newFleet(t)
	queues := f.state.Configuration.Queues
	w := f.worker("w", pool, 4000)
	f.run(200)
	f.submit("a", task(1000, 1))
	f.runCycle()
	f.replaceQueues(queues[1:]...)
	w.fails = true
	f.run(1300)
	require.Equal(t, manager.GraphRunning, f.jobState("a"), "the job has lost its attempts")
	require.Equal(t, 1, f.state.Jobs["a"].Tasks[0][0].Failures)
	w.fails = false
	f.startDispatcher(2)
	f.run(4 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"), "the job has no pool any more")
	f.replaceQueues(queues[1:]...)
	f.runCycle()
	require.Empty(t, f.state.Departed.Queues)
}

// A job whose queue got another name stayed running with nothing that runs.
func TestJobOfRenamedQueueGoesOn(t *testing.T) {
	f := newFleet(t)
	queues := f.state.Configuration.Queues
	f.submit("a", task(1000, 2))
	f.runCycle()
	renamed := queues[0]
	renamed.Queue = "renamed"
	f.replaceQueues(renamed, queues[1])
	f.runCycle()
	f.worker("w", pool, 4000)
	f.run(4 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	call := f.submit("b", task(1000, 1))
	f.runCycle()
	require.True(t, manager.IsErrNotExist(f.answers[call].Err), "a removed queue takes jobs")
}
