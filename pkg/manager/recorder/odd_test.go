package recorder_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// A job is accepted with any ID that Validate lets through; its entries must be readable at every restart.
func TestEntryOfAnAcceptedJobIsReadable(t *testing.T) {
	for _, id := range []manager.GraphID{"5c0e", "a.b", ".", "a.0.1.2", "a/b", "a b", "\x00", "ä", "a\xff"} {
		g := manager.Graph{Graph: id, Queue: "q", Steps: []manager.GraphStep{{Count: 1}}, Repeat: manager.Repeat{Count: 2}}
		if g.Validate() != nil {
			continue
		}
		for k := range 2 {
			at := manager.TaskID{Graph: id.Occurrence(k), Task: 0}
			entries := []recorder.Changes{
				{At: 1, Submit: []manager.Graph{g}},
				{At: 2, Occur: []recorder.Occurrence{{Graph: id, Number: 0}, {Graph: id, Number: 1}}},
				{At: 3, Start: []recorder.Start{{Task: at, Run: 1, Instance: manager.WorkerInstance{Worker: "w", StartedAt: 1}}}},
			}
			state := recorder.New()
			for _, c := range entries {
				data, err := recorder.Encode(c)
				require.NoError(t, err)
				require.NoError(t, state.ApplyEntry(data), "%q", id)
			}
			require.NotNil(t, state.Jobs[id], "%q is stored under another ID", id)
			require.NotNil(t, state.OpenRun(at, 1), "%q", id)
			data, err := state.Snapshot()
			require.NoError(t, err)
			restored := recorder.New()
			require.NoError(t, restored.Restore(data))
			require.NotNil(t, restored.OpenRun(at, 1), "%q", id)
		}
	}
}

func TestJobIDThatEntriesCanNotHoldIsRefused(t *testing.T) {
	for _, id := range []manager.GraphID{"a\xff", manager.GraphID(strings.Repeat("a", 257)), "a#1"} {
		g := manager.Graph{Graph: id, Steps: []manager.GraphStep{{Count: 1}}}
		require.True(t, manager.IsErrInvalid(g.Validate()), "%q", id)
	}
}
