package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

var instance = manager.WorkerInstance{Worker: "w1", StartedAt: 7}

func graph(id manager.GraphID) manager.Graph {
	return manager.Graph{Graph: id, Queue: "q", Payload: "p", Steps: []manager.GraphStep{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
}

func at(g manager.GraphID, step, task int) manager.TaskID {
	return manager.TaskID{Graph: g, Step: step, Task: task}
}

func withJob() *recorder.State {
	s := recorder.New()
	s.Apply(recorder.Changes{At: 1, Configure: &manager.FleetConfiguration{
		Version: 3, Queues: []manager.QueueSettings{{Queue: "q", Pool: "p", MaxAttempts: 2}}, Document: []byte("three"),
	}})
	s.Apply(recorder.Changes{At: 2, Submit: []manager.Graph{graph("a")}})
	return s
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := withJob()
	for _, version := range []manager.Version{2, 3} {
		s.Apply(recorder.Changes{At: 3, Configure: &manager.FleetConfiguration{Version: version, Document: []byte("other")}})
		require.Equal(t, "three", string(s.Configuration.Document))
	}
	s.Apply(recorder.Changes{At: 4, Configure: &manager.FleetConfiguration{Version: 9, Document: []byte("nine")}})
	require.Equal(t, "nine", string(s.Configuration.Document))
}

func TestStartIsIgnoredUnlessTaskIsReady(t *testing.T) {
	s := withJob()
	starts := []recorder.Start{
		{Task: at("a", 1, 0), Run: 1, Instance: instance},
		{Task: at("a", 0, 0), Run: 2, Instance: instance},
		{Task: at("a", 0, 9), Run: 1, Instance: instance},
		{Task: at("none", 0, 0), Run: 1, Instance: instance},
	}
	s.Apply(recorder.Changes{At: 3, Start: starts})
	require.Empty(t, s.Runs(instance))
	require.Equal(t, 1, s.Pending("q"))
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: instance}}})
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 2, Instance: instance}}})
	require.Equal(t, manager.RunNumber(1), s.Runs(instance)[at("a", 0, 0)].Number)
	require.Zero(t, s.Pending("q"))
}

func TestLateEndOfAnEarlierRunChangesNothing(t *testing.T) {
	s := withJob()
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: instance}}})
	s.Apply(recorder.Changes{At: 4, End: []recorder.End{{Task: at("a", 0, 0), Run: 1, How: manager.RunLost}}})
	s.Apply(recorder.Changes{At: 5, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 2, Instance: instance}}})
	s.Apply(recorder.Changes{At: 6, End: []recorder.End{{Task: at("a", 0, 0), Run: 1, How: manager.RunDone}}})
	_, task := s.Task(at("a", 0, 0))
	require.False(t, task.Done)
	require.NotNil(t, s.OpenRun(at("a", 0, 0), 2))
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	s := withJob()
	n := manager.RunNumber(0)
	end := func(how manager.RunEnd) {
		n++
		s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: n, Instance: instance}}})
		s.Apply(recorder.Changes{At: 3, End: []recorder.End{{Task: at("a", 0, 0), Run: n, How: how}}})
	}
	for _, how := range []manager.RunEnd{manager.RunStopped, manager.RunLeaseExpired, manager.RunLost, manager.RunRefused, manager.RunFailed} {
		end(how)
		require.Equal(t, manager.GraphRunning, s.Jobs["a"].State, how)
	}
	end(manager.RunFailed)
	require.Equal(t, manager.GraphFailed, s.Jobs["a"].State)
}

func TestSnapshotRestoresState(t *testing.T) {
	s := withJob()
	s.Apply(recorder.Changes{At: 3, Start: []recorder.Start{{Task: at("a", 0, 0), Run: 1, Instance: instance}}})
	s.Apply(recorder.Changes{At: 3, Submit: []manager.Graph{graph("b")}, Wave: []manager.MaintenanceRequest{{Wave: 1, VMs: []manager.VMID{"v"}, Cap: 1}}})
	s.Apply(recorder.Changes{At: 3, Move: []recorder.Move{{VM: "v", Pool: "p", From: "s"}}, Maintenance: []recorder.MaintenanceChange{{Wave: 1, VM: "v", State: recorder.MaintenanceOrdered, InstanceStart: 5}}})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := recorder.New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, s, restored)
	require.Error(t, restored.Restore(data[:len(data)/2]))
}

func TestEndedJobIsRetained(t *testing.T) {
	s := withJob()
	s.Apply(recorder.Changes{At: 10, Cancel: []manager.GraphID{"a"}})
	later := manager.Time(10).Add(recorder.DefaultEndedRetention)
	s.Apply(recorder.Changes{At: later - 1, Submit: []manager.Graph{graph("b")}})
	require.Equal(t, manager.GraphCancelled, s.Jobs["a"].State)
	s.Apply(recorder.Changes{At: later, Submit: []manager.Graph{graph("c")}})
	require.Nil(t, s.Jobs["a"])
}
