package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	beatPeriod  = 1500 * time.Millisecond
	beatTimeout = time.Second
	endPause    = 50 * time.Millisecond
	stopTime    = 300 * time.Millisecond
	startupTime = 500 * time.Millisecond
	holdMax     = 10 * time.Second
)

// minion is a server of the pool: it heartbeats, runs what it is told to start and guards its capacity.
type minion struct {
	id, machine, pool, address string
	cpu                        int
	nodes                      []string
	client                     *http.Client
	ledger                     *ledger
	record                     *record
	// needs returns the processors and the work of a task; no work means that it lasts.
	needs func(task string) (cpu int, work time.Duration)
	// fails tells whether a run that is through fails; nil stands for no failure.
	fails func(task string) bool

	mu       sync.Mutex
	up       bool
	draining bool
	drainEnd time.Time
	acked    bool
	born     int64
	sequence int
	ends     int
	ended    [][]any
	running  map[string]*runState
	highest  map[string]uint64
	token    uint64
	lease    time.Time
	wake     chan struct{}
	stopBeat context.CancelFunc
}

type runState struct {
	run    uint64
	span   *span
	from   time.Time
	stopAt time.Time
	cpu    int
	work   time.Duration
}

type answer struct {
	HoldMs            int                 `json:"holdMs"`
	AckSeq            int                 `json:"ackSeq"`
	FencingToken      uint64              `json:"fencingToken"`
	ToStart           [][]json.RawMessage `json:"toStart"`
	Stop              [][]json.RawMessage `json:"stop"`
	RetryAfterMs      int                 `json:"retryAfterMs"`
	HeartbeatEndpoint string              `json:"heartbeatEndpoint"`
}

// boot begins a life of the minion.
func (m *minion) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up, m.draining, m.acked, m.drainEnd = true, false, false, time.Time{}
	m.born, m.sequence, m.ends, m.ended, m.token, m.lease = time.Now().UnixMilli(), 0, 0, nil, 0, time.Time{}
	m.running, m.highest, m.wake = map[string]*runState{}, map[string]uint64{}, make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	m.stopBeat = cancel
	m.record.add("minion %s boots, born %d", m.id, m.born)
	go m.beats(ctx, m.wake)
	go m.tick(ctx)
}

// crash ends the life: everything that runs on the minion terminates.
func (m *minion) crash(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.stopBeat()
	for task, r := range m.running {
		m.ledger.end(r.span)
		m.record.add("minion %s %s: %s run %d ends with it", m.id, why, task, r.run)
	}
	m.running = map[string]*runState{}
	m.record.add("minion %s is down (%s)", m.id, why)
}

func (m *minion) drain(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining, m.drainEnd = true, time.Now().Add(d)
	m.record.add("minion %s says that it is draining", m.id)
	m.nudge()
}

func (m *minion) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *minion) finish(task string, how string) {
	r := m.running[task]
	delete(m.running, task)
	m.ledger.end(r.span)
	m.ends++
	m.ended = append(m.ended, []any{m.ends, task, r.run, how, ""})
	m.record.add("minion %s: %s run %d ends %s", m.id, task, r.run, how)
	m.nudge()
}

// tick ends runs that are done, stopped or whose lease has lapsed.
func (m *minion) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		now := time.Now()
		if ctx.Err() == nil {
			for task, r := range m.running {
				switch {
				case !m.lease.IsZero() && now.After(m.lease):
					m.finish(task, "lapsed")
				case !r.stopAt.IsZero() && now.After(r.stopAt):
					m.finish(task, "stopped")
				case r.work > 0 && r.stopAt.IsZero() && now.After(r.from.Add(r.work)):
					how := "done"
					if m.fails != nil && m.fails(task) {
						how = "failed"
					}
					m.finish(task, how)
				}
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) body() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	running := [][]any{}
	for task, r := range m.running {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*time.Since(r.from)/r.work))
		} else if time.Since(r.from) < startupTime {
			percent = 0
		}
		running = append(running, []any{task, r.run, "", percent, 0})
	}
	b := map[string]any{
		"machine": m.machine, "born": m.born, "service": m.pool, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": m.cpu, "memMb": 32768, "gpu": 0},
		"labels": []string{"a", "r1"}, "clockMs": time.Now().UnixMilli() - m.born, "sequence": m.sequence,
		"running": running, "endedRuns": m.ended,
	}
	if m.ended == nil {
		b["endedRuns"] = [][]any{}
	}
	if m.draining {
		b["state"], b["remainingMs"] = "draining", max(0, time.Until(m.drainEnd).Milliseconds())
	}
	data, _ := json.Marshal(b)
	return data
}

// beats sends heartbeats until the life ends.
func (m *minion) beats(ctx context.Context, wake chan struct{}) {
	next, endpoint := 0, m.nodes[0]
	for ctx.Err() == nil {
		sent := time.Now()
		m.mu.Lock()
		draining := m.draining
		m.mu.Unlock()
		a, err := m.beat(ctx, endpoint)
		if ctx.Err() != nil {
			return
		}
		pause := beatPeriod
		if err != nil {
			next++
			endpoint = m.nodes[next%len(m.nodes)]
			pause = 50 * time.Millisecond
		} else {
			if draining {
				m.mu.Lock()
				m.acked = true
				m.mu.Unlock()
			}
			if a.HeartbeatEndpoint != "" {
				endpoint = a.HeartbeatEndpoint
			}
			m.follow(a, sent)
			if a.RetryAfterMs > 0 {
				pause = time.Duration(a.RetryAfterMs) * time.Millisecond
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-wake:
			time.Sleep(endPause)
		}
	}
}

func (m *minion) beat(ctx context.Context, endpoint string) (answer, error) {
	var a answer
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+endpoint+"/instances/"+m.id, bytes.NewReader(m.body()))
	if err != nil {
		return a, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := m.client.Do(r)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return a, err
	}
	if response.StatusCode/100 != 2 {
		return a, fmt.Errorf("status %d", response.StatusCode)
	}
	return a, json.Unmarshal(data, &a)
}

// follow carries out the orders of an answer to a heartbeat.
func (m *minion) follow(a answer, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || a.FencingToken < m.token {
		return
	}
	m.token = a.FencingToken
	if a.HoldMs > 0 {
		if until := sent.Add(min(holdMax, time.Duration(a.HoldMs)*time.Millisecond)); until.After(m.lease) {
			m.lease = until
		}
	}
	for len(m.ended) > 0 && m.ended[0][0].(int) <= a.AckSeq {
		m.ended = m.ended[1:]
	}
	for _, row := range a.Stop {
		var task string
		var run uint64
		_ = json.Unmarshal(row[0], &task)
		_ = json.Unmarshal(row[1], &run)
		m.highest[task] = max(m.highest[task], run)
		if r := m.running[task]; r != nil && r.run == run && r.stopAt.IsZero() {
			m.record.add("minion %s is told to stop %s run %d", m.id, task, run)
			r.stopAt = time.Now().Add(stopTime)
			if time.Since(r.from) > startupTime {
				m.ledger.stop(r.span)
			}
		}
	}
	if a.HoldMs <= 0 {
		return
	}
	for _, row := range a.ToStart {
		m.start(row)
	}
}

func (m *minion) start(row []json.RawMessage) {
	var task string
	var run uint64
	_ = json.Unmarshal(row[0], &task)
	_ = json.Unmarshal(row[1], &run)
	if r := m.running[task]; r != nil {
		return
	}
	cpu, work := m.needs(task)
	used := 0
	for _, r := range m.running {
		used += r.cpu
	}
	if run <= m.highest[task] || used+cpu > m.cpu {
		m.ends++
		m.ended = append(m.ended, []any{m.ends, task, run, "refused", ""})
		m.record.add("minion %s refuses %s run %d", m.id, task, run)
		m.nudge()
		return
	}
	m.highest[task] = run
	m.running[task] = &runState{run: run, span: m.ledger.begin(task, m.id, run), from: time.Now(), cpu: cpu, work: work}
	m.record.add("minion %s starts %s run %d", m.id, task, run)
}

// leave sends DELETE to an address; it returns whether it was acknowledged.
func (m *minion) leave(endpoint string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+endpoint+"/instances/"+m.id, nil)
	if err != nil {
		return false
	}
	m.record.add("minion %s sends DELETE /instances/%s", m.id, m.id)
	response, err := m.client.Do(r)
	if err != nil {
		m.record.add("minion %s gets no answer to its DELETE", m.id)
		return false
	}
	response.Body.Close()
	m.record.add("minion %s gets %d for its DELETE", m.id, response.StatusCode)
	return response.StatusCode/100 == 2
}
