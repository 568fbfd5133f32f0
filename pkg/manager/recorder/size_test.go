package recorder_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// withOccurrences returns a state with a repeating job of which some occurrences have started.
func withOccurrences(n int, payload string) *recorder.State {
	s := withJob()
	g := graph("t")
	g.Payload, g.Repeat = payload, manager.Repeat{Count: 2 * n, FirstAt: 1, IntervalMs: 1}
	s.Apply(recorder.Changes{At: 3, Submit: []manager.Graph{g}})
	for k := range n {
		s.Apply(recorder.Changes{At: 4, Occur: []recorder.Occurrence{{Graph: "t", Number: k}}})
	}
	return s
}

func restored(t *testing.T, data []byte) *recorder.State {
	t.Helper()
	s := recorder.New()
	require.NoError(t, s.Restore(data))
	return s
}

func snapshot(t *testing.T, s *recorder.State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	require.NoError(t, err)
	return data
}

// Guards against snapshots and memory that grow by the whole job with each occurrence.
func TestOccurrencesShareTheSpecOfTheirJob(t *testing.T) {
	const n = 1000
	payload := strings.Repeat("x", manager.MaxPayloadBytes)
	s := withOccurrences(n, payload)
	data := snapshot(t, s)
	require.Less(t, len(data), n*manager.MaxPayloadBytes/4)
	again := restored(t, data)
	require.Equal(t, s.Bytes(), again.Bytes())
	require.Less(t, again.Bytes(), int64(n*manager.MaxPayloadBytes/2))
	o := again.Jobs["t#7"]
	require.Equal(t, payload, o.Payload)
	require.Equal(t, s.Jobs["t#7"].Steps, o.Steps)
	require.Same(t, &again.Jobs["t"].Steps[0], &o.Steps[0])
	require.JSONEq(t, string(data), string(snapshot(t, again)))
	again.Apply(recorder.Changes{At: 5, Cancel: []manager.GraphID{"t"}})
	require.Less(t, again.Bytes(), s.Bytes()-manager.MaxPayloadBytes, "a cancel gives room back")
}

// Guards against an upgrade that drops or miscounts the occurrences of a snapshot that holds them as whole jobs.
func TestSnapshotWithWholeOccurrencesIsRead(t *testing.T) {
	s := withOccurrences(20, "p")
	s.Apply(recorder.Changes{At: 5, Start: []recorder.Start{{Task: at("t#3", 0, 1), Run: 1, Instance: instance}}})
	data := snapshot(t, s)
	var whole map[string]any
	require.NoError(t, json.Unmarshal(data, &whole))
	jobs := whole["Jobs"].(map[string]any)
	for k := 1; k < 20; k++ {
		o := jobs[fmt.Sprintf("t#%d", k)].(map[string]any)
		require.Nil(t, o["Steps"])
		o["Payload"], o["Steps"] = "p", jobs["t"].(map[string]any)["Steps"]
	}
	old, err := json.Marshal(whole)
	require.NoError(t, err)
	again := restored(t, old)
	require.Equal(t, s.Bytes(), again.Bytes())
	require.JSONEq(t, string(data), string(snapshot(t, again)))
	require.Equal(t, 1, again.Jobs["t#3"].OpenRuns())
	require.True(t, again.Jobs["t#3"].StepReady(0))
}

// Guards against a size that differs between a replica that applied all entries and one that read a snapshot.
func TestSizeIsTheSameAfterARestart(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, now := withJob(), manager.Time(10)
		var open []recorder.Start
		for step := range 400 {
			now += manager.Time(r.IntN(2000))
			c := recorder.Changes{At: now}
			id := manager.GraphID(fmt.Sprintf("j%d", r.IntN(40)))
			occurrence := id.Occurrence(r.IntN(4))
			switch r.IntN(8) {
			case 0, 1:
				g := graph(id)
				g.Payload = strings.Repeat("\x01p", r.IntN(50))
				g.Steps[0].Gang = r.IntN(3) == 0
				if r.IntN(2) == 0 {
					g.Repeat = manager.Repeat{Count: 4, FirstAt: 1}
				}
				c.Submit = []manager.Graph{g}
			case 2:
				if j := s.Jobs[id]; j != nil {
					c.Occur = []recorder.Occurrence{{Graph: id, Number: j.Occurred}}
				}
			case 3, 4:
				if j := s.Jobs[occurrence]; j != nil && !j.State.Ended() {
					run := recorder.Start{Task: at(occurrence, 0, r.IntN(2)), Run: 1, Instance: instance, Permit: "a permit"}
					if _, task := s.Task(run.Task); task != nil {
						run.Run = task.LastRun + 1
					}
					c.Start = []recorder.Start{run}
					open = append(open, run)
				}
			case 5, 6:
				if len(open) > 0 {
					i := r.IntN(len(open))
					how := []manager.RunEnd{manager.RunDone, manager.RunFailed, manager.RunStopped, manager.RunLost}[r.IntN(4)]
					c.End = []recorder.End{{Task: open[i].Task, Run: open[i].Run, How: how, Saved: manager.Checkpoint(strings.Repeat("é\n", r.IntN(9)))}}
					open = append(open[:i], open[i+1:]...)
				}
			case 7:
				if r.IntN(4) == 0 {
					c.Cancel = []manager.GraphID{id}
				}
				c.Wave = []manager.MaintenanceRequest{{Wave: uint64(r.IntN(9)), VMs: []manager.VMID{"a", "b"}}}
				c.Configure = &manager.FleetConfiguration{Version: manager.Version(step + 4), Queues: s.Configuration.Queues, Document: make([]byte, r.IntN(99))}
			}
			s.Apply(c)
			require.Positive(t, s.Bytes())
			if step%20 == 0 {
				require.Equal(t, restored(t, snapshot(t, s)).Bytes(), s.Bytes(), "seed %d, step %d", seed, step)
			}
		}
	}
}
