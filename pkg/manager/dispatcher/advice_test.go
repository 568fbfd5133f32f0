package dispatcher_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newAdvisedFleet has three workers and a queue whose steps need permits with the given validity.
func newAdvisedFleet(t *testing.T, valid manager.Duration) *fleet {
	t.Helper()
	f := newFleet(t)
	f.send(dispatcher.Event{Configure: &manager.FleetConfiguration{
		Version: 2,
		Queues: []manager.QueueSettings{{
			Queue: queue, Host: "h", Prefix: "/q/", Pool: pool, TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 2,
			Advice: manager.AdviceSettings{DecisionMs: 100, PerWorkerMs: 2, ValidMs: valid},
		}},
		Pools: []manager.PoolSettings{{Pool: pool}},
	}})
	for _, id := range []manager.WorkerID{"w1", "w2", "w3"} {
		f.worker(id, pool, 2000)
	}
	f.run(700)
	return f
}

// answer answers the request under way: only the given workers may run the step.
func (f *fleet) answer(may ...manager.WorkerID) dispatcher.AdviceRequest {
	list := f.d.AdviceRequests()
	require.Len(f.t, list, 1, "one call at a time")
	permits := map[manager.WorkerID]manager.Permit{}
	for _, l := range list[0].Workers {
		if slices.Contains(may, l.Worker) {
			permits[l.Worker] = manager.Permit("permit-" + l.Worker)
		}
	}
	f.send(dispatcher.Event{Advice: &dispatcher.AdviceResult{Request: list[0], Permits: permits}})
	return list[0]
}

func TestAdvisedTasksStartOnlyWithPermits(t *testing.T) {
	f := newAdvisedFleet(t, 30*manager.Second)
	f.submit("a", task(1000, 4))
	f.run(500)
	for _, w := range f.workers {
		require.Empty(t, w.started, "a task started before there was advice")
	}
	r := f.answer("w2")
	require.Len(t, r.Workers, 3)
	f.run(5 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	require.Len(t, f.workers[1].started, 4)
	for _, s := range f.workers[1].started {
		require.Equal(t, manager.Permit("permit-w2"), s.Permit)
	}
	require.Empty(t, f.d.AdviceRequests(), "permits were requested again for denied workers")
}

// Advice is requested again after a failed call, and for a worker whose permit has expired or which has a new instance.
func TestAdviceIsAskedAgainWhereItIsNeeded(t *testing.T) {
	f := newAdvisedFleet(t, 4*manager.Second)
	f.submit("a", task(1000, 2))
	f.run(200)
	failed := f.d.AdviceRequests()
	require.Len(t, failed, 1)
	f.run(500)
	require.Empty(t, f.d.AdviceRequests(), "a second call was made while the first one was under way")
	f.send(dispatcher.Event{Advice: &dispatcher.AdviceResult{Request: failed[0], Failed: true}})
	f.run(600)
	f.answer("w1")
	f.workers[0].taskTime = manager.Minute
	f.run(600)
	require.Len(t, f.workers[0].started, 2)
	f.workers[0].restart()
	f.run(1 * manager.Second)
	r := f.answer("w1")
	require.Equal(t, []manager.WorkerInstance{f.workers[0].report.Instance}, r.Workers, "the new instance needs its own permit")
	f.workers[0].taskTime = 500
	f.run(3 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

func TestExpiredPermitIsNotUsed(t *testing.T) {
	f := newAdvisedFleet(t, 3*manager.Second)
	f.submit("a", task(2000, 4))
	f.run(200)
	f.answer("w1")
	f.run(4 * manager.Second)
	require.NotEmpty(t, f.workers[0].started)
	require.Less(t, len(f.workers[0].started), 3, "a task started after the permit had expired")
	require.NotEmpty(t, f.d.AdviceRequests())
}
