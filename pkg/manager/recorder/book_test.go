package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

var life = manager.WorkerLife{Worker: "w1", Born: 7}

func graph(id manager.GraphID) manager.Graph {
	return manager.Graph{Graph: id, Queue: "q", Payload: "p", Steps: []manager.GraphStep{{Count: 2}, {Count: 1, Needs: []int{0}}}}
}

func at(g manager.GraphID, step, task int) manager.TaskID {
	return manager.TaskID{Graph: g, Step: step, Task: task}
}

func withJob() *recorder.State {
	b := recorder.New()
	b.Apply(recorder.Changes{At: 1, Configure: &manager.FleetConfiguration{
		Version: 3, Queues: []manager.QueueSettings{{Queue: "q", Pool: "p", MaxAttempts: 2}}, Document: []byte("three"),
	}})
	b.Apply(recorder.Changes{At: 2, Submit: []manager.Graph{graph("a")}})
	return b
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	b := withJob()
	for _, version := range []manager.Version{2, 3} {
		b.Apply(recorder.Changes{At: 3, Configure: &manager.FleetConfiguration{Version: version, Document: []byte("other")}})
		require.Equal(t, "three", string(b.Configuration.Document))
	}
	b.Apply(recorder.Changes{At: 4, Configure: &manager.FleetConfiguration{Version: 9, Document: []byte("nine")}})
	require.Equal(t, "nine", string(b.Configuration.Document))
}

func TestStartIsRefusedUnlessItsTurnHasCome(t *testing.T) {
	b := withJob()
	starts := []recorder.Start{
		{Task: at("a", 1, 0), Run: 1, Instance: life},
		{Task: at("a", 0, 0), Run: 2, Instance: life},
		{Task: at("a", 0, 9), Run: 1, Instance: life},
		{Task: at("none", 0, 0), Run: 1, Instance: life},
	}
	b.Apply(recorder.Changes{At: 3, Start: starts})
	require.Empty(t, b.Runs(life))
	require.Equal(t, 1, b.Pending("q"))
	b.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: life}}})
	b.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 2, Instance: life}}})
	require.Equal(t, manager.RunNumber(1), b.Runs(life)[at("a", 0, 0)].Number)
	require.Zero(t, b.Pending("q"))
}

func TestLateEndOfAnEarlierRunChangesNothing(t *testing.T) {
	b := withJob()
	b.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: life}}})
	b.Apply(recorder.Changes{At: 4, End: []recorder.End{{Task: at("a", 0, 0), Run: 1, How: manager.RunLost}}})
	b.Apply(recorder.Changes{At: 5, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 2, Instance: life}}})
	b.Apply(recorder.Changes{At: 6, End: []recorder.End{{Task: at("a", 0, 0), Run: 1, How: manager.RunDone}}})
	_, task := b.Task(at("a", 0, 0))
	require.False(t, task.Done)
	require.NotNil(t, b.OpenRun(at("a", 0, 0), 2))
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	b := withJob()
	n := manager.RunNumber(0)
	end := func(how manager.RunEnd) {
		n++
		b.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: n, Instance: life}}})
		b.Apply(recorder.Changes{At: 3, End: []recorder.End{{Task: at("a", 0, 0), Run: n, How: how}}})
	}
	for _, how := range []manager.RunEnd{manager.RunStopped, manager.RunLapsed, manager.RunLost, manager.RunRefused, manager.RunFailed} {
		end(how)
		require.Equal(t, manager.GraphRunning, b.Jobs["a"].State, how)
	}
	end(manager.RunFailed)
	require.Equal(t, manager.GraphFailed, b.Jobs["a"].State)
}

func TestSnapshotKeepsEverything(t *testing.T) {
	b := withJob()
	b.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: life}}})
	b.Apply(recorder.Changes{At: 3, Submit: []manager.Graph{graph("b")}, Wave: []manager.UpkeepWave{{Wave: 1, VMs: []manager.VMID{"v"}, Cap: 1}}})
	b.Apply(recorder.Changes{At: 3, Move: []recorder.Move{{VM: "v", Pool: "p", From: "s"}}, Maintenance: []recorder.MaintenanceChange{{Wave: 1, VM: "v", State: recorder.MaintenanceOrdered, InstanceStart: 5}}})
	data, err := b.Snapshot()
	require.NoError(t, err)
	restored := recorder.New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, b, restored)
	require.Error(t, restored.Restore(data[:len(data)/2]))
}

func TestEndedJobIsKnownForAWhile(t *testing.T) {
	b := withJob()
	b.Apply(recorder.Changes{At: 10, Cancel: []manager.GraphID{"a"}})
	later := manager.Time(10).Add(recorder.DefaultEndedRetention)
	b.Apply(recorder.Changes{At: later - 1, Submit: []manager.Graph{graph("b")}})
	require.Equal(t, manager.GraphCancelled, b.Jobs["a"].State)
	b.Apply(recorder.Changes{At: later, Submit: []manager.Graph{graph("c")}})
	require.Nil(t, b.Jobs["a"])
}
