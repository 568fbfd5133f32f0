package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// At a surge of several times what the pool holds, serving by due time alone would bring every job in a
// little too late; those that can be in time are, and the others still get their turn.
func TestSurgeServesInTimeWhatItCan(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(200)
	const jobs = 20
	for i := range jobs {
		f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 6))
	}
	f.run(3 * manager.Second)
	began := 0
	for i := range jobs {
		if f.book.Jobs[manager.GraphID(fmt.Sprintf("j%02d", i))].Started {
			began++
		}
	}
	require.Less(t, began, jobs/2, "jobs are begun that delay those before them")
	f.run(2500)
	inTime := f.completed(jobs)
	// 8 cores run 8 tasks of a second at a time; the objective is 1.6 times a second and 3.6 s more.
	require.GreaterOrEqual(t, inTime, 5)
	f.run(12 * manager.Second)
	require.Equal(t, jobs, f.completed(jobs))
}

func (f *fleet) completed(jobs int) int {
	n := 0
	for i := range jobs {
		if j := f.book.Jobs[manager.GraphID(fmt.Sprintf("j%02d", i))]; j != nil && j.State == manager.GraphCompleted {
			n++
		}
	}
	return n
}

// What can't be served within three times its objective is refused at once, with a time to come back.
func TestHopelessBacklogIsRefused(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(6 * manager.Second)
	for i := range 15 {
		f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 4))
		f.run(50)
	}
	ticket := f.submit("late", task(1000, 4))
	f.step()
	require.True(t, manager.IsErrOverloaded(f.answers[ticket].Err))
	require.Nil(t, f.book.Jobs["late"])
	again := f.submit("late", task(1000, 4))
	f.run(200)
	require.True(t, manager.IsErrOverloaded(f.answers[again].Err), "a delayed copy of a refused submit was taken")
	require.Nil(t, f.book.Jobs["late"])
}

// A copy of a submit that came in the same step as the first one must not be refused: the first one runs.
func TestCopyOfAcceptedSubmitIsNotRefused(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(6 * manager.Second)
	refused := func(ticket dispatcher.CallID) bool { return manager.IsErrOverloaded(f.answers[ticket].Err) }
	for i := range 40 {
		id := manager.GraphID(fmt.Sprintf("j%02d", i))
		first, again := f.submit(id, task(1000, 4)), f.submit(id, task(1000, 4))
		f.run(50)
		require.Equal(t, refused(first), refused(again), id)
		if refused(first) {
			return
		}
	}
	require.Fail(t, "no submit was refused, so the test shows nothing")
}

// A new dispatcher has not heard all workers yet, so that it knows no reason to refuse.
func TestNewDispatcherRefusesNothing(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", pool, 2000)
	f.run(100)
	for i := range 30 {
		ticket := f.submit(manager.GraphID(fmt.Sprintf("j%02d", i)), task(1000, 4))
		f.run(50)
		require.NoError(t, f.answers[ticket].Err)
	}
}

// Jobs behind one that finds no room are still placed where they need less, in whichever resource.
func TestSmallerTasksArePlacedBehindOneWithoutRoom(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 1000)
	w.report.Capacity.MemoryMegaBytes = 1000
	w.work = manager.Minute
	f.run(4 * manager.Second)
	large, small, thin := task(900, 1), task(300, 1), task(950, 1)
	large.Room.MemoryMegaBytes, small.Room.MemoryMegaBytes, thin.Room.MemoryMegaBytes = 1200, 100, 100
	f.submit("a", large)
	f.submit("b", thin)
	f.submit("c", large)
	f.submit("d", small)
	f.run(500)
	require.Len(t, w.runs, 1, "one of the two that fit")
	require.Zero(t, f.book.Jobs["a"].OpenRuns())
	require.Zero(t, f.book.Jobs["c"].OpenRuns())
	w.report.Capacity.ProcessorMilliCores = 2000
	f.run(1 * manager.Second)
	require.Equal(t, 1, f.book.Jobs["b"].OpenRuns())
	require.Equal(t, 1, f.book.Jobs["d"].OpenRuns())
}
