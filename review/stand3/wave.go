package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// wave: an operator adds three machines to twelve, one after the other, and orders a wave of each, while the infrastructure's answers take
// 50 times as long and another wave is under way.
func wave(b *bench) (bool, error) {
	const boot, slowFor = 2 * time.Second, 5 * time.Second
	newMinion := func(i int) *minion {
		return &minion{
			id: fmt.Sprintf("i-%d", i), machine: fmt.Sprintf("m-%d", i), service: service, addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			zone: fmt.Sprintf("zone-%d", i%3), labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, cpu: 16000, mem: 32768,
		}
	}
	var minions []*minion
	for i := 1; i <= 12; i++ {
		minions = append(minions, newMinion(i))
	}
	if err := b.begin(3, 1, minions); err != nil {
		return false, err
	}
	w := b.w
	if b.trouble {
		w.rec.say("the infrastructure's answers take 50 times as long")
		w.cloud.set(50 * usual)
		time.AfterFunc(slowFor, func() {
			w.rec.say("the infrastructure's answers take as long as usual again")
			w.cloud.set(usual)
		})
	}
	order := func(n int, machines ...string) error {
		status, _ := w.insist(http.MethodPost, w.nodes, "/wave-start", map[string]any{"wave": n, "machines": machines, "durationS": 25, "cap": 1}, 5*time.Second)
		if status/100 != 2 {
			return fmt.Errorf("wave %d was not accepted: %d", n, status)
		}
		return nil
	}
	if err := order(1, "m-1", "m-2", "m-3"); err != nil {
		return false, err
	}
	b.sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
	var added []*minion
	for i := 13; i < 16; i++ {
		m := newMinion(i)
		added = append(added, m)
		w.add(b.ctx, m, boot)
		if err := order(i, m.machine); err != nil {
			return false, err
		}
		b.sleep(700 * time.Millisecond)
	}
	open, broken := len(added), false
	for end := time.Now().Add(40 * time.Second); open > 0 && time.Now().Before(end); b.sleep(500 * time.Millisecond) {
		for k, m := range added {
			if m == nil {
				continue
			}
			n := 13 + k
			begun := w.cloud.hasBegun(n, m.machine)
			status, text := w.insist(http.MethodGet, w.nodes, fmt.Sprintf("/wave-get/%d", n), nil, 4*time.Second)
			var answer struct{ State string }
			_ = json.Unmarshal([]byte(text), &answer)
			if status/100 != 2 || answer.State != "completed" {
				continue
			}
			w.rec.say("wave %d is completed; the upkeep of %s has begun: %t", n, m.machine, begun)
			if !begun {
				w.rec.say("MIXED: the wave is said to be completed, and its only machine, which stays, hasn't begun its upkeep")
				broken = true
			}
			added[k] = nil
			open--
		}
	}
	w.rec.say("%d waves are not completed", open)
	return broken, nil
}
