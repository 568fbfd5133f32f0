package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// placeUnsent accepts a job and commits its starts but sends no order, as when the leader loses its connections.
func (f *fleet) placeUnsent(id manager.GraphID, step manager.GraphStep) {
	f.submit(id, step)
	f.runCycle()
	c, _ := f.d.RunCycle(f.now, f.events)
	f.events = nil
	f.state.Apply(c)
	require.Len(f.t, c.Start, step.Count)
}

// An order is lost, and the worker's capacity shrinks before the order is repeated.
func TestLostOrderIsNotRepeatedBeyondShrunkCapacity(t *testing.T) {
	memory := task(100, 3)
	memory.PerTask.MemoryMegaBytes = 1 << 18
	accelerators := task(100, 3)
	accelerators.PerTask.Accelerators = 1
	fill := memory
	fill.BestEffort = true
	for name, c := range map[string]struct {
		step   manager.GraphStep
		shrunk manager.Resources
	}{
		"processors":   {task(1000, 3), cores(1500)},
		"memory":       {memory, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 18, Accelerators: 4}},
		"accelerators": {accelerators, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20, Accelerators: 1}},
		"best effort":  {fill, manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 18, Accelerators: 4}},
		"long running": {longRunning(1000, 1, 1), cores(500)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			w := f.worker("w1", pool, 4000)
			w.report.Capacity.Accelerators = 4
			check := checkCapacity(w)
			f.run(200)
			f.submit("a", c.step)
			f.loseAnswers(w, 300)
			require.Len(t, f.state.Runs(w.report.Instance), c.step.Count)
			require.Empty(t, w.started)
			w.report.Capacity = c.shrunk
			f.loseAnswers(w, shrinkGrace+500)
			f.run(6 * manager.Second)
			require.Empty(t, check.exceeded)
			w.report.Capacity = manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20, Accelerators: 4}
			f.run(6 * manager.Second)
			require.Empty(t, check.exceeded)
			if c.step.LongRunning {
				require.Zero(t, f.notRunning("a"))
				return
			}
			require.Equal(t, manager.GraphCompleted, f.jobState("a"))
		})
	}
}

// A task whose order no longer fits goes to another worker, although its first worker never grows again.
func TestTaskOfShrunkWorkerGoesToAnotherOne(t *testing.T) {
	for name, step := range map[string]manager.GraphStep{"finite": task(3000, 1), "long running": longRunning(3000, 1, 1)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			w := f.worker("w1", pool, 4000)
			check := checkCapacity(w)
			f.run(200)
			f.submit("a", step)
			f.loseAnswers(w, 300)
			w.report.Capacity = cores(1000)
			f.loseAnswers(w, shrinkGrace+500)
			second := f.worker("w2", pool, 4000)
			f.run(5 * manager.Second)
			require.Empty(t, check.exceeded)
			require.Empty(t, w.started)
			require.Len(t, second.started, 1)
		})
	}
}

// A start is committed, its order is never sent, and the next dispatcher is elected after the capacity has shrunk.
func TestNewDispatcherSendsNoOrderBeyondShrunkCapacity(t *testing.T) {
	for name, step := range map[string]manager.GraphStep{"finite": task(1000, 4), "long running": longRunning(3000, 1, 1), "gang": gang(1000, 4)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			w := f.worker("w1", pool, 4000)
			check := checkCapacity(w)
			f.run(200)
			f.placeUnsent("a", step)
			w.report.Capacity = cores(2000)
			// The worker reports to nodes that know no leader.
			check.recordReport(w.report)
			f.elect(2, shrinkGrace+700)
			f.run(6 * manager.Second)
			require.Empty(t, check.exceeded)
			w.report.Capacity = cores(4000)
			f.run(6 * manager.Second)
			require.Empty(t, check.exceeded)
			if step.LongRunning {
				require.Zero(t, f.notRunning("a"))
				return
			}
			require.Equal(t, manager.GraphCompleted, f.jobState("a"))
		})
	}
}

// A gang whose order for one worker no longer fits starts again as a whole, and no task of it waits for the others.
func TestGangOfShrunkWorkerStartsAgain(t *testing.T) {
	f := newFleet(t)
	first, second := f.worker("w1", pool, 2000), f.worker("w2", pool, 2000)
	first.taskTime, second.taskTime = manager.Minute, manager.Minute
	check := checkCapacity(second)
	f.run(200)
	f.submit("g", lasting(gang(1000, 4), manager.Minute))
	f.loseAnswers(second, 300)
	require.Len(t, first.runs, 2)
	second.report.Capacity = cores(500)
	f.loseAnswers(second, shrinkGrace+500)
	third := f.worker("w3", pool, 2000)
	third.taskTime = manager.Minute
	f.run(4 * manager.Second)
	require.Empty(t, check.exceeded)
	require.Empty(t, second.runs)
	require.Len(t, first.runs, 2)
	require.Len(t, third.runs, 2)
	require.Equal(t, map[int]manager.RunNumber{0: 2, 1: 2, 2: 2, 3: 2}, f.runNumbers("g"))
}
