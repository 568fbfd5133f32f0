package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxStarts is the number of starts that a task may have that crashes each worker that starts it.
const maxStarts = 5

// crashFleet returns a fleet in which the tasks with index 0 of the given jobs crash their workers.
func crashFleet(t *testing.T, workers int, deadly ...manager.GraphID) *fleet {
	t.Helper()
	f := newFleet(t)
	f.deadly = func(id manager.TaskID) bool {
		job, _ := id.Graph.Split()
		return id.Step == 0 && id.Task == 0 && slices.Contains(deadly, job)
	}
	for i := range workers {
		w := f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased, w.renamed = true, true
	}
	f.run(400)
	return f
}

// starts counts the starts of a task on all workers.
func (f *fleet) starts(id manager.TaskID) int {
	n := 0
	for _, w := range f.workers {
		for _, s := range w.started {
			if s.Task == id {
				n++
			}
		}
	}
	return n
}

// A task that crashes its worker was started again without end, and took its neighbours with it each time.
func TestTaskThatCrashesWorkersIsNotStartedWithoutEnd(t *testing.T) {
	f := crashFleet(t, 6, "bad")
	f.submit("bad", task(500, 3))
	for i := range 4 {
		f.submit(manager.GraphID(fmt.Sprintf("good%d", i)), task(500, 3))
	}
	f.run(90 * manager.Second)
	require.LessOrEqual(t, f.starts(manager.TaskID{Graph: "bad"}), maxStarts)
	require.Equal(t, manager.GraphFailed, f.jobState("bad"))
	for i := range 4 {
		require.Equal(t, manager.GraphCompleted, f.jobState(manager.GraphID(fmt.Sprintf("good%d", i))))
	}
}
