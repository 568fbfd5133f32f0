package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// maxEntry is the size above which an entry is not committed, maxAnswer that of an answer which a worker drops.
const (
	maxEntry  = 1 << 20
	maxAnswer = 4 << 20
)

// Tasks without any need fit on one worker in any number.
func TestTinyTasksExceedNeitherEntryNorAnswer(t *testing.T) {
	f := newFleet(t)
	w := f.worker("w1", pool, 4000)
	w.taskTime = 5 * manager.Second
	f.run(200)
	payload := strings.Repeat("\x01", manager.MaxPayloadBytes)
	for i := range 5 {
		f.send(dispatcher.Event{Submit: &manager.Graph{
			Graph: manager.GraphID(fmt.Sprintf("%016x", i)), Queue: queue, Payload: payload, Steps: []manager.GraphStep{{Count: 4096, EstimateMs: 900}},
		}})
	}
	check := func(c recorder.Changes) {
		data, err := recorder.Encode(c)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxEntry)
	}
	started := map[manager.TaskID]bool{}
	for range 400 {
		w.tick()
		check(f.runCycle())
		for a := range f.answers {
			if o := f.answers[a].Orders; o != nil {
				size := 0
				for _, s := range o.Start {
					// Each byte of such a payload takes six in JSON.
					size += 6*len(s.Payload) + 100
					started[s.Task] = true
				}
				require.LessOrEqual(t, size, maxAnswer)
			}
		}
		f.now = f.now.Add(50)
	}
	require.NotEmpty(t, started)
	w.silent = true
	for range 400 {
		check(f.runCycle())
		f.now = f.now.Add(50)
	}
	require.Empty(t, f.state.Runs(w.report.Instance), "the runs of the silent worker have ended")
}

// All occurrences of a repeating job may be due at once, and the tasks of each take memory on every replica.
func TestOccurrencesThatAreAllDueStayWithinMemory(t *testing.T) {
	f := newFleet(t)
	f.d.SetWall(f.now, 1_700_000_000_000)
	f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "a", Queue: queue, Steps: []manager.GraphStep{{Count: 4096, PerTask: manager.Resources{ProcessorMilliCores: 1000}, EstimateMs: 900}},
		Repeat: manager.Repeat{Count: manager.MaxOccurrences, FirstAt: 1},
	}})
	f.send(dispatcher.Event{Submit: &manager.Graph{
		Graph: "b", Queue: queue, Steps: []manager.GraphStep{{Count: 1, EstimateMs: 900}}, Repeat: manager.Repeat{Count: 50, FirstAt: 1},
	}})
	for range 10 {
		f.d.SetWall(f.now, 1_700_000_000_000)
		f.runCycle()
		f.now = f.now.Add(50)
	}
	tasks := 0
	for _, j := range f.state.Active() {
		for s := range j.Tasks {
			tasks += len(j.Tasks[s])
		}
	}
	require.LessOrEqual(t, tasks, 6*4096)
	require.Equal(t, 50, f.state.Jobs["b"].Occurred, "a small job is not held up")
	w := f.worker("w1", pool, 4_096_000)
	w.taskTime = 100
	for range 20 {
		f.d.SetWall(f.now, 1_700_000_000_000)
		f.run(500)
	}
	require.Greater(t, f.state.Jobs["a"].Occurred, 6, "later occurrences follow")
}
