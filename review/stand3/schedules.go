package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// schedules: among 160 sound jobs come 4 timed jobs that can never be done. Each was due once a second since the morning.
func schedules(b *bench) (bool, error) {
	const sound, timed, runs = 160, 4, 10_000
	var minions []*minion
	for i := range 12 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%d", i+1), machine: fmt.Sprintf("m-%d", i+1), service: service, addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			zone: fmt.Sprintf("zone-%d", i%3), labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, cpu: 64000, mem: 262144,
		})
	}
	if err := b.begin(3, 1, minions); err != nil {
		return false, err
	}
	w, fronts := b.w, b.c.fronts()
	kills := b.c.keepMemory(b.ctx, b.root)
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	began := time.Now()
	for i := range sound {
		j := &job{id: fmt.Sprintf("%016x", i+1), spec: "float", count: 2, task: need{4600, 1000}, work: 640 * time.Millisecond}
		calls.Go(func() {
			if w.submit(fronts[i%len(fronts):], prefix, j, 3*time.Second)/100 == 2 {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j.id)
			}
		})
		if i < timed {
			t := &job{
				id: fmt.Sprintf("%016x", 0x1000+i), spec: strings.Repeat("0123456789abcdef", 250), count: 1, task: need{4600, 1000}, work: 640 * time.Millisecond,
				times: runs, first: began.Add(-runs * time.Second), interval: time.Second,
			}
			if b.trouble {
				t.task.cpu = 65_000 // no minion has as much
			} else {
				t.times = 1
			}
			calls.Go(func() { w.submit(fronts, prefix, t, 3*time.Second) })
		}
		b.sleep(time.Until(began.Add(time.Duration(i+1) * 200 * time.Millisecond)))
	}
	calls.Wait()
	w.rec.say("the traffic has ended; %d of %d sound jobs were accepted", len(accepted), sound)
	b.sleep(finish)
	lost := 0
	for _, id := range accepted {
		if lost > 5 || b.ctx.Err() != nil {
			break
		}
		status, text := w.call(http.MethodGet, fronts[0], prefix+id, nil, 3*time.Second)
		if status != http.StatusOK || !strings.Contains(text, "completed") {
			lost++
			w.rec.say("the accepted job %s is asked for: %d %s", id, status, strings.TrimSpace(text))
		}
	}
	often := 0
	for name, n := range kills() {
		w.rec.say("%s ended %d times, as it used more than %d MB", name, n, memoryMb)
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.rec.say("Fault: processes of half of the core ended by themselves three times")
	}
	return often >= 2 || len(w.problems()) > 0, nil
}
