package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// busyWorkers counts the workers of a pool with runs.
func (f *fleet) busyWorkers(p manager.PoolID) int {
	n := 0
	for _, w := range f.workers {
		if w.report.Pool == p && len(w.runs) > 0 {
			n++
		}
	}
	return n
}

// A worker whose VM was ordered to move gets no new starts. If the platform refuses the move for good, the worker stays in
// its pool and must get tasks again; it stood idle until the next change of the leader.
func TestWorkerOfRefusedMoveGetsTasks(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3"} {
		f.worker(id, pool, 4000)
	}
	f.run(4 * manager.Second)
	f.submit("first", task(100, 1))
	f.run(1 * manager.Second)
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	refused := 0
	for range 100 {
		f.run(50)
		for _, order := range f.platformOrders {
			require.Equal(t, spare, order.Pool)
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: dispatcher.OutcomeInvalid}})
			refused++
		}
		f.platformOrders = nil
	}
	require.NotZero(t, refused, "no VM is switched off")
	f.submit("a", task(3000, 3))
	f.run(700)
	require.Equal(t, 3, f.busyWorkers(pool))
}

// A worker that is chosen to move once it is idle gets no new finite tasks. If its VM is missing in the next list of VMs, as
// its entry can't be read, it is not chosen any more and must get tasks again.
func TestWorkerOfUnlistedVMGetsTasks(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3"} {
		f.worker(id, pool, 4000).taskTime = manager.Minute
	}
	f.worker("w4", other, 4000)
	f.run(4 * manager.Second)
	f.submit("a", task(2500, 3))
	f.run(1 * manager.Second)
	require.Equal(t, 3, f.busyWorkers(pool))
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	for _, id := range []manager.GraphID{"b", "c", "d", "e"} {
		f.send(dispatcher.Event{Submit: &manager.Graph{Graph: id, Queue: "covers", Steps: []manager.GraphStep{task(1000, 6)}}})
	}
	f.run(1 * manager.Second)
	require.Empty(t, f.platformOrders, "a VM with runs is moved")
	unread := map[manager.VMID]string{"vm-w1": "odd", "vm-w2": "odd", "vm-w3": "odd"}
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: map[manager.VMID]dispatcher.ListedVM{}, Unread: unread}})
	f.run(500)
	f.submit("f", task(1000, 3))
	f.run(700)
	for _, w := range f.workers[:3] {
		require.Len(t, w.runs, 2, "worker %s", w.report.Instance.Worker)
	}
}

// The platform may take longer to answer an order than the pause between two passes of pool balancing. VMs whose move is
// ordered must not count as workers that a pool keeps: a pool lent all of its VMs.
func TestPoolKeepsItsWorkersWhileMovesAreUnanswered(t *testing.T) {
	f := newFleet(t)
	for _, id := range []manager.WorkerID{"w1", "w2", "w3", "w4", "w5"} {
		f.worker(id, pool, 4000)
	}
	f.run(4 * manager.Second)
	f.submit("first", task(100, 1))
	f.run(1 * manager.Second)
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	f.run(3 * manager.Second)
	require.Len(t, f.state.Moves, 3, "a pool keeps two of its five workers")
}
