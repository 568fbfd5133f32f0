package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// What is too large for the room that lasting tasks leave of each worker would wait for ever at a low load.
func TestTaskTooLargeBesideLastingOnesGetsAVM(t *testing.T) {
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
		f.answerDuty = true
		for _, id := range []manager.WorkerID{"w1", "w2", "w3"} {
			f.worker(id, pool, 4000)
		}
		f.run(700)
		// Each worker keeps 2,500 milli-cores free.
		f.submit("lasting", lasting(1500, 3, 1))
		f.run(4 * manager.Second)
		off := manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20}
		f.list(map[manager.VMID]dispatcher.ListedVM{
			"vm-w8": {Pool: spare, Up: true, Capacity: off}, "vm-w9": {Pool: spare, Up: true, Capacity: off, Labels: []manager.Label{"b"}},
		})
		f.submit("large", c.step)
		f.run(3 * manager.Second)
		require.NotEmpty(t, f.duties, c.what)
		require.Equal(t, c.want, f.duties[0].VM, c.what)
		require.Equal(t, pool, f.duties[0].Pool, c.what)
	}
}

// A task that has room where others run now only waits for them.
func TestTaskThatFitsLaterIsNotStranded(t *testing.T) {
	f := newFleet(t)
	f.answerDuty = true
	w := f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	w.work = 4000
	f.run(4 * manager.Second)
	f.list(map[manager.VMID]dispatcher.ListedVM{"vm-w8": {Pool: spare, Up: true, Capacity: w.report.Capacity}})
	f.submit("a", task(3000, 2))
	f.run(200)
	f.submit("b", task(3000, 1))
	f.run(2500)
	for _, duty := range f.duties {
		require.NotEqual(t, pool, duty.Pool)
	}
}

// The objective of an occurrence counts from its due time, not from the time when its job was handed in.
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
	require.NotEqual(t, manager.GraphID("t"), w.started[3].Task.Graph, "the occurrence went behind all others")
}
