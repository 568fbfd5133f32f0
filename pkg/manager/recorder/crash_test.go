package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// A replica that starts from a snapshot must count and index crashes like the others.
func TestCrashesSurviveASnapshot(t *testing.T) {
	s := withJob()
	id := at("a", 0, 0)
	later := manager.WorkerInstance{Worker: "w2", StartedAt: 9}
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: id, Run: 1, Instance: instance, VM: "vm1"}}})
	s.Apply(recorder.Changes{
		At: 4, Crash: []recorder.Crash{{Instance: instance, VM: "vm1", Tasks: []manager.TaskID{id}, Suspects: []manager.TaskID{id}}},
		End: []recorder.End{{Task: id, Run: 1, How: manager.RunLost}}, Start: []recorder.Start{{Task: id, Run: 2, Instance: later, VM: "vm2"}},
	})
	s.Apply(recorder.Changes{At: 5, End: []recorder.End{{Task: id, Run: 2, How: manager.RunLost, Unreported: true}}})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := recorder.New()
	require.NoError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	for _, state := range []*recorder.State{s, restored} {
		_, task := state.Task(id)
		require.Equal(t, 1, task.Crashes)
		require.Equal(t, []manager.VMID{"vm1"}, task.CrashedOn)
		require.Equal(t, 2, task.Suspicion(), "the worker whose lease expired may have crashed too")
		require.Len(t, state.Expired(later), 1)
		require.Equal(t, manager.VMID("vm2"), state.VMOf(later))
		require.True(t, state.Jobs["a"].HasSuspects())
		state.Apply(recorder.Changes{At: 6, ForgetExpired: []manager.WorkerInstance{later}, ClearCrashes: []manager.TaskID{id}})
		require.Empty(t, state.Expired(later))
		require.False(t, state.Jobs["a"].HasSuspects())
	}
}

func TestGivenUpJobFailsAndIsForgotten(t *testing.T) {
	s := withJob()
	id := at("a", 0, 0)
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: id, Run: 1, Instance: instance, VM: "vm1"}}})
	s.Apply(recorder.Changes{At: 4, End: []recorder.End{{Task: id, Run: 1, How: manager.RunLost, Unreported: true}}})
	s.Apply(recorder.Changes{At: 5, GiveUp: []manager.GraphID{"a", "none"}})
	require.Equal(t, manager.GraphFailed, s.Jobs["a"].State)
	require.Empty(t, s.Expired(instance))
	s.Apply(recorder.Changes{At: 6, GiveUp: []manager.GraphID{"a"}, Crash: []recorder.Crash{{Instance: instance, Tasks: []manager.TaskID{id}}}})
	require.Equal(t, manager.Time(5), s.Jobs["a"].EndedAt)
}

// Only the order of the latest move or maintenance tells a planned restart from a crash.
func TestOrdersBeforeTheRunDoNotExplainACrash(t *testing.T) {
	s := withJob()
	s.Apply(recorder.Changes{At: 10, Move: []recorder.Move{{VM: "vm1", Pool: "p", From: "q"}}})
	require.True(t, s.OrderedSince("vm1", 20), "the move has not ended")
	s.Apply(recorder.Changes{At: 11, Move: []recorder.Move{{VM: "vm1"}}})
	require.False(t, s.OrderedSince("vm1", 20))
	require.True(t, s.OrderedSince("vm1", 5))
	require.False(t, s.OrderedSince("vm2", 5))
}
