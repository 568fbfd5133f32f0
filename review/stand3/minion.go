package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	beatPeriod  = 1500 * time.Millisecond // heartbeatMs
	beatTimeout = time.Second
	endPause    = 50 * time.Millisecond
	stopTime    = 300 * time.Millisecond
	mostHoldMs  = 10_000 // holdMaxMs
	listedEnds  = 500
)

type need struct{ cpu, mem int }

// job is a job of one step.
type job struct {
	id, spec  string
	count     int
	perMinion int // antiAffinity, 0 for none
	task      need
	work      time.Duration
	// every is the work between two checkpoints, 0 for none, and saved returns the checkpoint of a task after some work.
	every time.Duration
	saved func(task string, worked time.Duration) string
	// times is how often a timed job runs, first and interval when.
	times    int
	first    time.Time
	interval time.Duration
}

// body is the job as PROTOCOL.md writes it.
func (j *job) body() map[string]any {
	s := map[string]any{"count": j.count, "cpu": j.task.cpu, "memMb": j.task.mem, "estimatedMs": j.work.Milliseconds()}
	if j.every > 0 {
		s["savesProgress"] = true
	}
	if j.perMinion > 0 {
		s["antiAffinity"] = j.perMinion
	}
	b := map[string]any{"spec": j.spec, "steps": []map[string]any{s}}
	if j.times > 0 {
		b["repetitions"], b["firstMs"], b["intervalMs"] = j.times, j.first.UnixMilli(), j.interval.Milliseconds()
	}
	return b
}

// minion is one machine's minion that runs tasks as PROTOCOL.md says.
type minion struct {
	w                          *world
	id, machine, service, addr string
	zone                       string
	labels                     []string
	cpu, mem                   int
	client                     *http.Client

	mu       sync.Mutex
	born     int64
	seq      int
	ends     int
	running  map[string]*run
	ended    []endRow
	highest  map[string]uint64 // the highest run that was stopped or has ended, by task
	lease    time.Time
	token    uint64
	endedNew bool
	// away is until when the machine is down.
	away     time.Time
	refused  int
	lastNote string
}

type run struct {
	number  uint64
	job     *job
	began   time.Time
	resumed time.Duration // work that a checkpoint brought along
	stopAt  time.Time
	save    string
}

type endRow struct {
	n    int
	task string
	run  uint64
	how  string
	save string
	// lapsed means that the lease has lapsed since the end.
	lapsed bool
}

func (m *minion) start(ctx context.Context) {
	m.born = time.Now().UnixMilli()
	m.running, m.highest = map[string]*run{}, map[string]uint64{}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	go m.loop(ctx)
	go m.tick(ctx)
}

func (m *minion) isAway() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.away)
}

// restart ends the minion's life with all that runs; the next one, under the same id, begins after a while.
func (m *minion) restart(away time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task, r := range m.running {
		m.w.ended(m, task, r.number, "")
	}
	m.running, m.highest, m.ended, m.lease, m.token = map[string]*run{}, map[string]uint64{}, nil, time.Time{}, 0
	m.seq, m.ends = 0, 0
	m.away = time.Now().Add(away)
	m.born = m.away.UnixMilli()
}

func (m *minion) loop(ctx context.Context) {
	endpoint, next := m.w.nodes[0], 0
	for ctx.Err() == nil {
		if m.isAway() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		sent := time.Now()
		a, code, err := m.beat(ctx, endpoint)
		if m.isAway() {
			// The answer was for a life that is over.
			continue
		}
		if err != nil || code/100 != 2 {
			m.note(fmt.Sprintf("%s answered %d %v", endpoint, code, err), code)
			next++
			endpoint = m.w.nodes[next%len(m.w.nodes)]
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m.note("a node took the heartbeat", code)
		if a.HeartbeatEndpoint != "" {
			endpoint = a.HeartbeatEndpoint
		}
		m.follow(a, sent)
		pause := beatPeriod
		if a.RetryAfterMs > 0 {
			pause = time.Duration(a.RetryAfterMs) * time.Millisecond
		}
		m.rest(ctx, pause)
	}
}

// note counts heartbeats that got a 400, and writes down an answer of another kind than the one before.
func (m *minion) note(text string, code int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if code == http.StatusBadRequest {
		m.refused++
	}
	kind := text[max(0, strings.Index(text, " answered")):]
	if kind != m.lastNote {
		m.lastNote = kind
		m.w.rec.line("%s: %s (%d running, %d ends listed)", m.id, text, len(m.running), min(len(m.ended), listedEnds))
	}
}

// rest waits for the next heartbeat, which follows 50 ms after an end.
func (m *minion) rest(ctx context.Context, pause time.Duration) {
	until := time.Now().Add(pause)
	for time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		ended := m.endedNew
		m.endedNew = false
		m.mu.Unlock()
		if ended {
			time.Sleep(endPause)
			return
		}
	}
}

type answer struct {
	HoldMs            int64   `json:"holdMs"`
	AckSeq            int     `json:"ackSeq"`
	FencingToken      uint64  `json:"fencingToken"`
	ToStart           [][]any `json:"toStart"`
	Stop              [][]any `json:"stop"`
	RetryAfterMs      int64   `json:"retryAfterMs"`
	HeartbeatEndpoint string  `json:"heartbeatEndpoint"`
}

func (m *minion) beat(ctx context.Context, endpoint string) (answer, int, error) {
	var a answer
	body := m.report()
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+endpoint+"/instances/"+m.id, bytes.NewReader(body))
	if err != nil {
		return a, 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := m.client.Do(r)
	if err != nil {
		return a, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return a, response.StatusCode, nil
	}
	return a, response.StatusCode, json.NewDecoder(response.Body).Decode(&a)
}

func (m *minion) report() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	running, ended := [][]any{}, [][]any{}
	for task, r := range m.running {
		percent := int(min(100, 100*r.worked()/r.job.work))
		running = append(running, []any{task, r.number, r.save, percent, r.job.task.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), listedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.save})
	}
	data, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "labels": m.labels, "clockMs": time.Now().UnixMilli() - m.born,
		"sequence": m.seq, "machine": m.machine, "born": m.born, "running": running, "endedRuns": ended,
	})
	return data
}

// worked is the work that a run has done, with what its checkpoint brought along.
func (r *run) worked() time.Duration { return r.resumed + time.Since(r.began) }

func (m *minion) follow(a answer, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.FencingToken < m.token {
		return
	}
	m.token = a.FencingToken
	m.lapse(time.Now())
	for len(m.ended) > 0 && m.ended[0].n <= a.AckSeq {
		m.w.noted(m.ended[0])
		m.ended = m.ended[1:]
	}
	if a.HoldMs > 0 {
		if until := sent.Add(time.Duration(min(a.HoldMs, mostHoldMs)) * time.Millisecond); until.After(m.lease) {
			m.lease = until
		}
		for _, s := range a.ToStart {
			m.begin(s)
		}
	}
	for _, s := range a.Stop {
		task, _ := s[0].(string)
		number, _ := s[1].(float64)
		m.highest[task] = max(m.highest[task], uint64(number))
		if r := m.running[task]; r != nil && r.number == uint64(number) && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	}
}

func (m *minion) begin(s []any) {
	task, _ := s[0].(string)
	number, _ := s[1].(float64)
	spec, _ := s[2].(string)
	saved, _ := s[3].(string)
	n := uint64(number)
	if r := m.running[task]; r != nil && r.number == n {
		return
	}
	j := m.w.jobOf(task)
	if j == nil || j.spec != spec {
		m.w.broken("UNASKED: %s was told to start %s, which nobody sent", m.id, task)
		return
	}
	cpu, mem := j.task.cpu, j.task.mem
	for _, r := range m.running {
		cpu, mem = cpu+r.job.task.cpu, mem+r.job.task.mem
	}
	if n <= m.highest[task] || cpu > m.cpu || mem > m.mem {
		m.end(task, n, "refused", "")
		return
	}
	r := &run{number: n, job: j, began: time.Now(), save: saved}
	if saved != "" {
		r.resumed = m.w.workOf(task, saved)
	}
	m.running[task] = r
	m.w.started(m, task, n)
}

func (m *minion) end(task string, n uint64, how, save string) {
	m.ends++
	m.ended = append(m.ended, endRow{n: m.ends, task: task, run: n, how: how, save: save})
	m.highest[task] = max(m.highest[task], n)
	m.endedNew = true
	if r := m.running[task]; r != nil && r.number == n {
		delete(m.running, task)
		m.w.ended(m, task, n, how)
	}
}

// lapse ends everything once the lease is over.
func (m *minion) lapse(now time.Time) {
	if m.lease.IsZero() || now.Before(m.lease) {
		return
	}
	for i := range m.ended {
		m.ended[i].lapsed = true
	}
	if len(m.running) == 0 {
		return
	}
	m.w.rec.line("%s: the lease has lapsed, %d runs end", m.id, len(m.running))
	for _, task := range m.tasks() {
		m.end(task, m.running[task].number, "lapsed", m.running[task].save)
	}
}

func (m *minion) tasks() []string {
	var list []string
	for task := range m.running {
		list = append(list, task)
	}
	slices.Sort(list)
	return list
}

// tick makes checkpoints and ends what is over.
func (m *minion) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		now := time.Now()
		m.lapse(now)
		for _, task := range m.tasks() {
			m.advance(now, task, m.running[task])
		}
		m.mu.Unlock()
	}
}

func (m *minion) advance(now time.Time, task string, r *run) {
	worked := r.worked()
	if r.job.every > 0 && worked >= r.job.every {
		r.save = m.w.save(task, r.job, worked.Truncate(r.job.every))
	}
	switch {
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		if r.job.every > 0 {
			r.save = m.w.save(task, r.job, worked)
		}
		m.end(task, r.number, "stopped", r.save)
	case worked >= r.job.work:
		m.end(task, r.number, "done", "")
	}
}

// counts returns how many tasks run, how many ends wait for their ack and how many heartbeats got a 400.
func (m *minion) counts() (running, ends, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running), len(m.ended), m.refused
}
