package soaker

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// writeForeignBeat sends the heartbeat of another writer to some node: it names the machine and address of a worker, and a
// field is missing.
func (s *soak) writeForeignBeat() {
	w := s.fleet.Workers[s.foreign.IntN(len(s.fleet.Workers))]
	beat := map[string]any{
		"machine": w.Machine, "born": time.Now().UnixMilli(), "service": w.Pool, "address": w.Address, "zone": "z", "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": 4000, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r1"},
		"clockMs": 1, "sequence": 1, "running": []any{}, "endedRuns": []any{},
	}
	missing := slices.Sorted(maps.Keys(beat))[s.foreign.IntN(len(beat))]
	delete(beat, missing)
	n, id := s.fleet.Nodes[s.foreign.IntN(len(s.fleet.Nodes))], [2]string{w.ID, "other"}[s.foreign.IntN(2)]
	data, err := json.Marshal(beat)
	if err != nil {
		s.watch.fail("heartbeat not encoded: %v", err)
		return
	}
	s.work.Go(func() {
		r, err := http.NewRequestWithContext(s.watch.ctx, http.MethodPut, "http://"+n.At(portControl)+"/instances/"+id, bytes.NewReader(data))
		if err != nil {
			s.watch.fail("heartbeat not sent: %v", err)
			return
		}
		response, err := (&http.Client{Timeout: time.Second}).Do(r)
		if err != nil {
			// The node is down or cut off.
			return
		}
		defer response.Body.Close()
		if response.StatusCode/100 == 2 {
			s.watch.fail("%s takes a heartbeat without %s", n.Name, missing)
		}
	})
}
