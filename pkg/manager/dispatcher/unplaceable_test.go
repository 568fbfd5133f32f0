package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// A task that is too large for the capacity beside the long-running tasks of each worker would wait forever at a low
// load.
func TestTaskTooLargeBesideLongRunningOnesGetsVM(t *testing.T) {
	labelled := gang(2000, 2)
	labelled.Requires = "b"
	for _, c := range []struct {
		what string
		step manager.GraphStep
		// want is the VM that comes.
		want manager.VMID
	}{
		{"a task", task(3000, 1), "vm-w8"},
		{"a gang", gang(2000, 5), "vm-w8"},
		{"a label", labelled, "vm-w9"},
	} {
		f := newFleet(t)
		f.acceptOrders = true
		for _, id := range []manager.WorkerID{"w1", "w2", "w3"} {
			f.worker(id, pool, 4000)
		}
		f.run(700)
		// Each worker keeps 2,500 milli-cores free.
		f.submit("lasting", longRunning(1500, 3, 1))
		f.run(4 * manager.Second)
		off := manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20}
		f.sendListing(map[manager.VMID]dispatcher.ListedVM{
			"vm-w8": {Pool: spare, Up: true, Capacity: off}, "vm-w9": {Pool: spare, Up: true, Capacity: off, Labels: []manager.Label{"b"}},
		})
		f.submit("large", c.step)
		f.run(3 * manager.Second)
		require.NotEmpty(t, f.platformOrders, c.what)
		require.Equal(t, c.want, f.platformOrders[0].VM, c.what)
		require.Equal(t, pool, f.platformOrders[0].Pool, c.what)
	}
}

// A task that fits once the running tasks have ended only has to wait for them.
func TestTaskThatFitsLaterIsNotUnplaceable(t *testing.T) {
	f := newFleet(t)
	f.acceptOrders = true
	w := f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	w.taskTime = 4000
	f.run(4 * manager.Second)
	f.sendListing(map[manager.VMID]dispatcher.ListedVM{"vm-w8": {Pool: spare, Up: true, Capacity: w.report.Capacity}})
	f.submit("a", task(3000, 2))
	f.run(200)
	f.submit("b", task(3000, 1))
	f.run(2500)
	for _, order := range f.platformOrders {
		require.NotEqual(t, pool, order.Pool)
	}
}

// The objective of an occurrence counts from its due time, not from the time when its job was submitted.
func TestOccurrenceIsNotLateWhenItBegins(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	f.runWithWall(500, 0)
	f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "t", Queue: queue, Payload: "p", Steps: []manager.GraphStep{task(1000, 1)},
		Repeat: manager.Repeat{Count: 1, FirstAt: f.now.Add(9000)},
	}})
	f.runWithWall(8900, 0)
	f.submit("x", task(1000, 1))
	f.runWithWall(400, 0)
	f.submit("y", task(1000, 1))
	f.submit("z", task(1000, 1))
	f.runWithWall(4800, 0)
	require.Contains(t, f.runNumbers("t"), 0)
	require.Len(t, w.started, 4)
	require.NotEqual(t, manager.GraphID("t"), w.started[3].Task.Graph, "the occurrence was placed after all other jobs")
}
