package coordinator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

func newEventBox() *eventBox {
	b := &eventBox{wake: make(chan struct{}, 1)}
	b.open()
	return b
}

func TestEventsOfACycleFitIntoItsEntry(t *testing.T) {
	b := newEventBox()
	payload := strings.Repeat("\x01", manager.MaxPayloadBytes)
	for range 200 {
		require.NoError(t, b.add(dispatcher.Event{Submit: &manager.Graph{Graph: "a", Payload: payload}}, nil))
	}
	taken, last := 0, dispatcher.CallID(0)
	for taken < 200 {
		<-b.wake
		list := b.takeCycle()
		require.NotEmpty(t, list)
		size := 0
		for _, e := range list {
			require.Equal(t, last+1, e.event.Call, "events are taken in order")
			last, size = e.event.Call, size+e.size
		}
		require.Greater(t, size, len(list)*manager.MaxPayloadBytes)
		require.LessOrEqual(t, size, maxCycleBytes)
		taken += len(list)
	}
	require.Empty(t, b.takeCycle())
	require.Empty(t, b.wake)
}

func TestEventThatFitsIntoNoEntryFailsAlone(t *testing.T) {
	b := newEventBox()
	large := manager.Graph{Graph: "a", Steps: []manager.GraphStep{{Count: 1, Requires: manager.Label(strings.Repeat("x", 2<<20))}}}
	require.True(t, manager.IsErrInvalid(b.add(dispatcher.Event{Submit: &large}, nil)))
	require.True(t, manager.IsErrInvalid(b.add(dispatcher.Event{Configure: &manager.FleetConfiguration{Document: make([]byte, 1<<20)}}, nil)))
	require.NoError(t, b.add(dispatcher.Event{Configure: &manager.FleetConfiguration{Document: make([]byte, 700<<10)}}, nil))
	require.NoError(t, b.add(dispatcher.Event{Submit: &manager.Graph{Graph: "b"}}, nil))
	require.Len(t, b.takeCycle(), 1)
	require.Len(t, b.takeCycle(), 1)
}

func reportOf(n int, saved string) *manager.WorkerReport {
	r := &manager.WorkerReport{Instance: manager.WorkerInstance{Worker: "w1", StartedAt: 1}}
	for i := range n {
		r.Ended = append(r.Ended, manager.EndedRun{
			Number: uint64(n - i), Task: manager.TaskID{Graph: "0123456789abcdef", Task: i}, Run: 1, How: manager.RunLeaseExpired, Saved: manager.Checkpoint(saved),
		})
	}
	return r
}

// Guards against ends that are counted before their characters are escaped: their entry is then refused by the log, and nothing is
// committed any more.
func TestEndsAreCountedAsTheyAreEncoded(t *testing.T) {
	for _, saved := range []string{"0123456789abcdef", "<a b=\"c\">&</a>\n", "\x01\xff", ""} {
		e := dispatcher.Event{Report: reportOf(100, strings.Repeat(saved, manager.MaxCheckpointBytes/16))}
		size, err := entryBytes(e)
		require.NoError(t, err)
		c := recorder.Changes{}
		for _, e := range e.Report.Ended {
			c.End = append(c.End, recorder.End{Task: e.Task, Run: e.Run, How: e.How, Saved: e.Saved, Slowdown: 1.25, Unreported: true})
		}
		data, err := recorder.Encode(c)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), size+100, "%q", saved)
	}
}

// Guards against a report that is refused for good, as its ends don't fit into one log entry, and against a size that is counted
// before characters are escaped, so that nothing is committed any more.
func TestReportIsTakenAsFarAsItFits(t *testing.T) {
	for name, saved := range map[string]string{"plain": "0123456789abcdef", "markup": "<a b=\"c\">&</a>\n", "control": "\x01\xff", "none": ""} {
		saved = strings.Repeat(saved, manager.MaxCheckpointBytes/16)
		reported := reportOf(500, saved)
		left := reported
		for round := 0; len(left.Ended) > 0; round++ {
			require.Less(t, round, 100, name)
			b := newEventBox()
			require.NoError(t, b.add(dispatcher.Event{Report: left}, nil), name)
			taken := b.takeCycle()[0].event.Report.Ended
			require.NotEmpty(t, taken, name)
			c := recorder.Changes{}
			highest := uint64(0)
			for _, e := range taken {
				c.End = append(c.End, recorder.End{Task: e.Task, Run: e.Run, How: e.How, Saved: e.Saved, Slowdown: 1.25, Unreported: true})
				highest = max(highest, e.Number)
			}
			data, err := recorder.Encode(c)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), storer.MaxEntryBytes/4+1024, name)
			next := &manager.WorkerReport{Instance: left.Instance}
			for _, e := range left.Ended {
				if e.Number > highest {
					next.Ended = append(next.Ended, e)
				}
			}
			require.Len(t, next.Ended, len(left.Ended)-len(taken), "no end is acknowledged that was not taken")
			left = next
		}
		require.Len(t, reported.Ended, 500, "the report itself is unchanged")
	}
}
