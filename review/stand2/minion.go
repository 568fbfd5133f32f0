package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the sheet of the small sites.
const (
	heartbeatMs   = 1500
	holdMaxMs     = 10000
	stopMs        = 900
	gangTimeoutMs = 3000
	answerMs      = 1000
)

// spec is what the stand-ins read from a job's spec: how long the tasks of each step work, in milliseconds.
type spec struct {
	WorkMs []int `json:"workMs"`
	// Lasts says that the tasks run until they are stopped.
	Lasts bool `json:"lasts"`
	// Gangs holds, for each step, how many tasks work only together.
	Gangs []int `json:"gangs"`
	CPU   []int `json:"cpu"`
	MemMb []int `json:"memMb"`
}

// gangs holds the present members of each run of a gang.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]*running
}

// running is a run on a minion.
type running struct {
	task    string
	run     uint64
	spec    spec
	step    int
	saved   string
	started time.Time
	// worksAt is when the run began to work: at once, or when all members of its gang were there.
	worksAt time.Time
	stopAt  time.Time
	// broken is set when another member of the gang has ended.
	broken bool
	gang   string
}

// ended is an entry of endedRuns.
type ended struct {
	n    int
	task string
	run  uint64
	how  string
}

// machine is a machine of the platform; while it is up, one minion lives on it.
type machine struct {
	id, zone, kind, rack, address string
	cpu, mem                      int

	mu    sync.Mutex
	pool  string
	state string
	life  *minion
}

// minion is one life of a machine.
type minion struct {
	m       *machine
	id      string
	pool    string
	born    int64
	fleet   *fleet
	ctx     context.Context
	cancel  context.CancelFunc
	start   time.Time
	nodes   []string
	nextAt  int
	runs    map[string]*running
	ends    []ended
	count   int
	highest map[string]uint64
	token   uint64
	lease   time.Time
	mu      sync.Mutex
}

// fleet holds the machines and what the stand-ins have seen.
type fleet struct {
	record   *record
	nodes    []string
	gangs    gangs
	ledger   ledger
	mu       sync.Mutex
	machines []*machine
	lives    int
}

func (f *fleet) add(m *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
}

func (f *fleet) list() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*machine(nil), f.machines...)
}

// boot begins a life of a machine in its pool.
func (f *fleet) boot(m *machine) {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("i-%06x", 0x1000*f.lives+f.lives)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &minion{
		m: m, id: id, pool: m.pool, born: now.UnixMilli(), fleet: f, ctx: ctx, cancel: cancel, start: now, nodes: f.nodes,
		nextAt: len(id) + f.lives, runs: map[string]*running{}, highest: map[string]uint64{},
	}
	m.state, m.life = "up", n
	f.record.write("minion %s boots on %s in %s", id, m.id, m.pool)
	go n.live()
}

// crash ends a machine's life at once and without a word.
func (f *fleet) crash(m *machine, state string) {
	m.mu.Lock()
	n := m.life
	m.life, m.state = nil, state
	m.mu.Unlock()
	if n == nil {
		return
	}
	n.cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, r := range n.runs {
		names = append(names, r.task)
		f.ledger.end(r.task, r.run, "gone")
		f.leaveGang(r)
	}
	sort.Strings(names)
	n.runs = map[string]*running{}
	f.record.write("minion %s on %s in %s crashes with %s", n.id, m.id, m.pool, strings.Join(names, " "))
}

// up returns the minion that lives on a machine, or nil.
func (m *machine) up() *minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

func (n *minion) live() {
	http := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second}}
	defer http.CloseIdleConnections()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	type result struct {
		sent time.Time
		a    *answer
		err  error
	}
	results := make(chan result, 1)
	endpoint, direct := n.nodes[n.nextAt%len(n.nodes)], false
	outstanding, sequence := false, 0
	due := time.Now()
	for {
		select {
		case <-n.ctx.Done():
			return
		case r := <-results:
			outstanding = false
			switch {
			case r.err != nil:
				n.nextAt++
				endpoint, direct = n.nodes[n.nextAt%len(n.nodes)], false
				due = time.Now().Add(50 * time.Millisecond)
			default:
				due = time.Now().Add(n.follow(r.a, r.sent))
				if r.a.Endpoint != "" {
					endpoint, direct = r.a.Endpoint, true
				}
			}
		case <-tick.C:
			if n.advance(time.Now()) && due.After(time.Now().Add(50*time.Millisecond)) {
				due = time.Now().Add(50 * time.Millisecond)
			}
			if outstanding || time.Now().Before(due) {
				continue
			}
			_ = direct
			outstanding = true
			sequence++
			body, sent, to := n.beat(sequence), time.Now(), endpoint
			go func() {
				a, err := put(n.ctx, http, to, n.id, body)
				results <- result{sent, a, err}
			}()
		}
	}
}

// answer is what a node says to a heartbeat.
type answer struct {
	HoldMs   *int64  `json:"holdMs"`
	AckSeq   int     `json:"ackSeq"`
	Token    uint64  `json:"fencingToken"`
	ToStart  [][]any `json:"toStart"`
	Stop     [][]any `json:"stop"`
	RetryMs  int64   `json:"retryAfterMs"`
	Endpoint string  `json:"heartbeatEndpoint"`
}

func put(ctx context.Context, c *http.Client, to, id string, body []byte) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerMs*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// beat returns the body of a heartbeat.
func (n *minion) beat(sequence int) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows, ends := [][]any{}, [][]any{}
	for _, r := range n.runs {
		percent := 0
		if !r.worksAt.IsZero() {
			percent = 100
			if work := r.work(); !r.spec.Lasts && work > 0 {
				percent = min(99, int(100*time.Since(r.worksAt)/work))
			}
		}
		rows = append(rows, []any{r.task, r.run, r.saved, percent, 0})
	}
	for _, e := range n.ends[:min(500, len(n.ends))] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{
		"machine": n.m.id, "born": n.born, "service": n.pool, "address": n.m.address, "zone": n.m.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": n.m.cpu, "memMb": n.m.mem, "gpu": 0},
		"labels": []string{n.m.kind, n.m.rack}, "clockMs": time.Since(n.start).Milliseconds(), "sequence": sequence,
		"running": rows, "endedRuns": ends,
	})
	return data
}

func (r *running) work() time.Duration {
	if r.step < len(r.spec.WorkMs) {
		return time.Duration(r.spec.WorkMs[r.step]) * time.Millisecond
	}
	return time.Second
}

func at(list []int, i int) int {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// follow does what an answer says and returns the pause until the next heartbeat.
func (n *minion) follow(a *answer, sent time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := time.Duration(heartbeatMs) * time.Millisecond
	if a.Token < n.token || n.ctx.Err() != nil {
		return pause
	}
	n.token = a.Token
	if a.RetryMs > 0 {
		pause = time.Duration(a.RetryMs) * time.Millisecond
	}
	for len(n.ends) > 0 && n.ends[0].n <= a.AckSeq {
		n.fleet.ledger.noted(n.ends[0].task, n.ends[0].run)
		n.ends = n.ends[1:]
	}
	now := time.Now()
	if a.HoldMs != nil && *a.HoldMs > 0 {
		if until := sent.Add(time.Duration(min(*a.HoldMs, holdMaxMs)) * time.Millisecond); until.After(n.lease) {
			n.lease = until
		}
		for _, row := range a.ToStart {
			n.take(row, now)
		}
	}
	for _, row := range a.Stop {
		if len(row) < 2 {
			continue
		}
		task, _ := row[0].(string)
		number, _ := row[1].(float64)
		n.highest[task] = max(n.highest[task], uint64(number))
		if r := n.runs[task]; r != nil && r.run <= uint64(number) && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopMs / 3 * time.Millisecond)
		}
	}
	return pause
}

// take starts a run, or refuses it if it does not fit.
func (n *minion) take(row []any, now time.Time) {
	if len(row) < 4 {
		return
	}
	task, _ := row[0].(string)
	number, _ := row[1].(float64)
	text, _ := row[2].(string)
	saved, _ := row[3].(string)
	run := uint64(number)
	if n.runs[task] != nil && n.runs[task].run == run {
		return
	}
	r := &running{task: task, run: run, saved: saved, started: now}
	_ = json.Unmarshal([]byte(text), &r.spec)
	parts := strings.Split(task, ".")
	if len(parts) >= 4 {
		r.step, _ = strconv.Atoi(parts[2])
	}
	cpu, mem := at(r.spec.CPU, r.step), at(r.spec.MemMb, r.step)
	usedCPU, usedMem := 0, 0
	for _, o := range n.runs {
		usedCPU += at(o.spec.CPU, o.step)
		usedMem += at(o.spec.MemMb, o.step)
	}
	if run <= n.highest[task] || n.runs[task] != nil || usedCPU+cpu > n.m.cpu || usedMem+mem > n.m.mem {
		n.finish(r, "refused")
		return
	}
	n.runs[task] = r
	n.fleet.ledger.start(task, run, n.id)
	if size := at(r.spec.Gangs, r.step); size > 0 {
		r.gang = strings.Join(parts[:3], ".") + "#" + strconv.FormatUint(run, 10)
		n.fleet.joinGang(r, size, now)
		return
	}
	r.worksAt = now
}

func (f *fleet) joinGang(r *running, size int, now time.Time) {
	g := &f.gangs
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = map[string]map[string]*running{}
	}
	if g.members[r.gang] == nil {
		g.members[r.gang] = map[string]*running{}
	}
	g.members[r.gang][r.task] = r
	if len(g.members[r.gang]) < size {
		return
	}
	for _, o := range g.members[r.gang] {
		o.worksAt = now
	}
}

// leaveGang breaks the other members of a run's gang.
func (f *fleet) leaveGang(r *running) {
	if r.gang == "" {
		return
	}
	g := &f.gangs
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members[r.gang], r.task)
	for _, o := range g.members[r.gang] {
		o.broken = true
	}
}

// advance ends the runs that are over and reports whether there was one.
func (n *minion) advance(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.count
	for _, r := range n.runs {
		g := &n.fleet.gangs
		g.mu.Lock()
		worksAt, broken := r.worksAt, r.broken
		g.mu.Unlock()
		switch {
		case now.After(n.lease):
			n.finish(r, "lapsed")
		case !worksAt.IsZero() && !r.spec.Lasts && now.Sub(worksAt) >= r.work():
			n.finish(r, "done")
		case broken:
			n.finish(r, "broken")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			n.finish(r, "stopped")
		case worksAt.IsZero() && now.Sub(r.started) > gangTimeoutMs*time.Millisecond:
			n.finish(r, "alone")
		}
	}
	return n.count > before
}

// finish ends a run; mu is held.
func (n *minion) finish(r *running, how string) {
	n.count++
	n.ends = append(n.ends, ended{n.count, r.task, r.run, how})
	if n.runs[r.task] == r {
		delete(n.runs, r.task)
		n.fleet.ledger.end(r.task, r.run, how)
		if how != "done" {
			n.fleet.leaveGang(r)
		}
	} else {
		n.fleet.record.write("minion %s refuses %s run %d", n.id, r.task, r.run)
	}
	n.highest[r.task] = max(n.highest[r.task], r.run)
}

// usage returns what the minion runs.
func (n *minion) usage() (tasks []string, cpu int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		tasks = append(tasks, r.task)
		cpu += at(r.spec.CPU, r.step)
	}
	return tasks, cpu
}
