package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// estimateAfter returns the expected duration of a task after runs of it near its data and remote from it.
func estimateAfter(t *testing.T, gang bool, slowdowns ...float64) manager.Duration {
	t.Helper()
	s := recorder.New()
	step := manager.GraphStep{Count: 1, Gang: gang}
	now := manager.Time(1)
	s.Apply(recorder.Changes{At: now, Configure: &manager.FleetConfiguration{Version: 3, Queues: []manager.QueueSettings{{Queue: "q", Pool: "p"}}}})
	for i, f := range slowdowns {
		id := manager.GraphID(string(rune('a' + i)))
		s.Apply(recorder.Changes{At: now, Submit: []manager.Graph{{Graph: id, Queue: "q", Steps: []manager.GraphStep{step}}}})
		s.Apply(recorder.Changes{At: now, Start: []recorder.Start{{Task: at(id, 0, 0), Run: 1, Instance: instance}}})
		now = now.Add(manager.DurationOf(800 * max(1, f)))
		data, err := recorder.Encode(recorder.Changes{At: now, End: []recorder.End{{Task: at(id, 0, 0), Run: 1, How: manager.RunDone, Slowdown: f}}})
		require.NoError(t, err)
		require.NoError(t, s.ApplyEntry(data))
	}
	return s.Times["q"].Estimate(step)
}

// Guards against remote runs that inflate the estimate of a local one.
func TestRemoteRunsDontInflateTheEstimate(t *testing.T) {
	for _, gang := range []bool{false, true} {
		require.Equal(t, manager.Duration(800), estimateAfter(t, gang, 0, 0, 0))
		require.Equal(t, manager.Duration(800), estimateAfter(t, gang, 3, 0, 1.5, 3))
	}
}

// Guards against a log entry of an earlier version that is applied in another way: it has no Slowdown.
func TestEndWithoutSlowdownIsEncodedAsBefore(t *testing.T) {
	data, err := recorder.Encode(recorder.Changes{At: 3, End: []recorder.End{{Task: at("a", 0, 0), Run: 1, How: manager.RunDone}}})
	require.NoError(t, err)
	require.NotContains(t, string(data), "Slowdown")
}
