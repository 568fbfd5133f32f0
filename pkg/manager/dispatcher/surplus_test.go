package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// trickle submits a small job each 250 ms for some time.
func (f *fleet) trickle(name string, d manager.Duration) {
	const pause = 250 * manager.Millisecond
	for i := range int(d / pause) {
		f.submit(manager.GraphID(fmt.Sprintf("%s%d", name, i)), task(1000, 1))
		f.run(pause)
	}
}

// working returns the number of workers with runs.
func (f *fleet) working() int {
	n := 0
	for _, w := range f.workers {
		if len(w.runs) > 0 {
			n++
		}
	}
	return n
}

// A load peak is over, and a few tasks a second go on arriving: spread over all VMs, they would keep each of them
// switched on.
func TestSurplusVMsAreSwitchedOffWhileTasksArrive(t *testing.T) {
	f := newLendingFleet(t)
	for i := range 6 {
		f.worker(manager.WorkerID(fmt.Sprintf("p%d", i)), pool, 4000)
	}
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	for i := range 8 {
		f.submit(manager.GraphID(fmt.Sprintf("peak%d", i)), task(1000, 4))
	}
	f.run(1 * manager.Second)
	require.Equal(t, 8, f.working())
	f.trickle("rest", 4*manager.Second)
	off := 0
	for _, order := range f.platformOrders {
		if order.Pool == spare {
			off++
		}
	}
	require.GreaterOrEqual(t, off, 4, "VMs stay switched on for a few tasks")
	f.run(2 * manager.Second)
	for i := range 16 {
		require.Equal(t, manager.GraphCompleted, f.jobState(manager.GraphID(fmt.Sprintf("rest%d", i))))
	}
}

// The next pool's peak begins while the tasks of the last one still run: VMs that are switched off arrive sooner than
// those that have to finish their tasks.
func TestVMsThatArriveSoonAreLentFirst(t *testing.T) {
	f := newLendingFleet(t)
	for i := range 7 {
		f.worker(manager.WorkerID(fmt.Sprintf("c%d", i)), other, 4000)
	}
	for _, w := range f.workers[2:] {
		w.taskTime = 3 * manager.Second
	}
	rest := task(1000, 8)
	rest.MaxPerWorker = 1
	f.send(dispatcher.Event{Submit: &manager.Graph{Graph: "last", Queue: "covers", Payload: "p", Steps: []manager.GraphStep{rest}}})
	f.run(300)
	f.sendListing(offVMs(2))
	f.overload(1)
	f.run(300)
	require.Len(t, f.platformOrders, 2, "VMs that could arrive soon are not ordered")
	for _, order := range f.platformOrders {
		require.Equal(t, pool, order.Pool)
	}
}

// Few tasks in a large pool use few of its VMs.
func TestFiniteTasksArePackedOnFewWorkers(t *testing.T) {
	f := newFleet(t)
	for i := range 5 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
	}
	f.run(700)
	f.submit("a", task(1000, 4))
	f.run(300)
	require.Equal(t, 1, f.working())
}

// A VM that is to be switched off is no worse for a long-running task than a VM that would have to be switched on for it.
func TestLongRunningTaskStartsOnSurplusVM(t *testing.T) {
	f := newLendingFleet(t)
	for i := range 3 {
		f.worker(manager.WorkerID(fmt.Sprintf("p%d", i)), pool, 4000)
	}
	for _, w := range f.workers {
		w.taskTime = 5 * manager.Second
	}
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	f.submit("a", task(2500, 5))
	f.run(1 * manager.Second)
	f.submit("watch", longRunning(1000, 5, 1))
	f.run(1 * manager.Second)
	require.Zero(t, f.notRunning("watch"), "a task waits although each worker has enough free capacity")
}

// A long-running task arrives while idle VMs are ordered to the standby pool: the move would end a task that starts there.
func TestLongRunningTaskAvoidsVMWithOrderedMove(t *testing.T) {
	f := newLendingFleet(t)
	f.acceptOrders = false
	for i := range 4 {
		f.worker(manager.WorkerID(fmt.Sprintf("p%d", i)), pool, 4000)
	}
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
	f.run(300)
	require.NotEmpty(t, f.platformOrders)
	f.submit("watch", longRunning(10, 6, 1))
	f.run(1 * manager.Second)
	ordered := map[manager.VMID]bool{}
	for _, order := range f.platformOrders {
		ordered[order.VM] = true
	}
	for _, w := range f.workers {
		require.False(t, ordered[w.report.VM] && len(w.runs) > 0, "a task starts on %s, which is ordered away", w.report.VM)
	}
}

// The first jobs of a fleet are long-running, with a task for each worker: VMs that are idle for want of any work so far
// must not be switched off before the tasks are placed, as they would come back one by one.
func TestVMsStayUntilLongRunningTasksArePlaced(t *testing.T) {
	for offset := manager.Duration(0); offset < 200; offset += 50 {
		f := newFleet(t)
		f.acceptOrders = true
		for i := range 6 {
			f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		}
		f.sendListing(map[manager.VMID]dispatcher.ListedVM{})
		f.run(4*manager.Second + offset)
		f.submit("watch", longRunning(1000, 6, 1))
		f.run(1 * manager.Second)
		require.Zero(t, f.notRunning("watch"), "offset %d", offset)
		require.Empty(t, f.platformOrders, "offset %d", offset)
	}
}
