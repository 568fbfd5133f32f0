package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// world is all that stands outside the system: minions, requesters, the operator and the infrastructure.
type world struct {
	rec   *record
	nodes []string // control addresses
	host  string

	mu      sync.Mutex
	jobs    map[string]*job
	work    map[string]time.Duration // the work that a checkpoint of a task stands for
	at      map[string]map[*minion]uint64
	done    map[string]bool // tasks of which an end done was taken note of
	problem []string
	minions []*minion
	cloud   *cloud
	client  *http.Client
}

func newWorld(rec *record) *world {
	return &world{
		rec: rec, host: "desk.example", jobs: map[string]*job{}, work: map[string]time.Duration{}, at: map[string]map[*minion]uint64{},
		done: map[string]bool{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// jobOf returns the job of a task, or nil if nobody handed it in.
func (w *world) jobOf(task string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return w.jobs[id]
}

func (w *world) save(task string, j *job, worked time.Duration) string {
	s := j.saved(task, worked)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work[s] = worked
	return s
}

// workOf returns what a checkpoint stands for; each names its task.
func (w *world) workOf(task, saved string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d, ok := w.work[saved]
	if !ok || !strings.Contains(saved, task) {
		w.problemf("UNASKED: a start of %s carries a checkpoint that isn't the task's", task)
	}
	return d
}

// problemf keeps a rule that was broken; mu is held.
func (w *world) problemf(format string, args ...any) {
	w.problem = append(w.problem, fmt.Sprintf(format, args...))
	w.rec.line(format, args...)
}

func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problemf(format, args...)
}

func (w *world) started(m *minion, task string, n uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at[task] == nil {
		w.at[task] = map[*minion]uint64{}
	}
	for other := range w.at[task] {
		if other != m {
			w.problemf("TWICE: %s runs on %s and %s", task, other.id, m.id)
		}
	}
	if w.done[task] {
		w.problemf("TWICE: %s was started after its end was taken note of", task)
	}
	w.at[task][m] = n
	w.rec.line("%s starts %s, run %d", m.id, task, n)
}

func (w *world) ended(m *minion, task string, n uint64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.at[task], m)
	w.rec.line("%s ends %s, run %d: %s", m.id, task, n, how)
}

func (w *world) noted(e endRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.how == "done" && !e.lapsed {
		w.done[e.task] = true
	}
}

// runningOf returns how many tasks of a job run, and how many have ended done.
func (w *world) runningOf(id string) (running, done int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, where := range w.at {
		if strings.HasPrefix(task, id+".") && len(where) > 0 {
			running++
		}
	}
	for task := range w.done {
		if strings.HasPrefix(task, id+".") {
			done++
		}
	}
	return running, done
}

// used returns the processors in use and all of them, in thousandths of a core.
func (w *world) used() (used, all int) {
	for _, m := range w.minions {
		m.mu.Lock()
		for _, r := range m.running {
			used += r.job.task.cpu
		}
		all += m.cpu
		m.mu.Unlock()
	}
	return used, all
}

// call sends a request and returns its status, 0 for no answer, and body.
func (w *world) call(method, address, path string, body any, limit time.Duration) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = w.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	response, err := w.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// insist repeats a call at one node after the other until it gets a 2xx or the patience ends.
func (w *world) insist(method string, addresses []string, path string, body any, patience time.Duration) (int, string) {
	end := time.Now().Add(patience)
	status, text := 0, ""
	for i := 0; time.Now().Before(end); i++ {
		status, text = w.call(method, addresses[i%len(addresses)], path, body, 3*time.Second)
		short := text
		if len(short) > 160 {
			short = short[:160]
		}
		w.rec.line("%s %s at %s: %d %s", method, path, addresses[i%len(addresses)], status, strings.TrimSpace(short))
		if status/100 == 2 {
			return status, text
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, text
}

func (w *world) configure(nodes []string, version int, prefix, service string, patience time.Duration) int {
	status, _ := w.insist(http.MethodPut, nodes, "/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": w.host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3600,
			"priority": 0, "service": service, "maxAttempts": 3, "stretchFactor": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}, patience)
	return status
}

func (w *world) submit(fronts []string, prefix string, j *job, patience time.Duration) int {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	status, _ := w.insist(http.MethodPost, fronts, prefix+j.id, j.body(), patience)
	return status
}

func (w *world) state(fronts []string, prefix, id string) (int, string) {
	status, text := w.insist(http.MethodGet, fronts, prefix+id, nil, 4*time.Second)
	var b struct{ State string }
	_ = json.Unmarshal([]byte(text), &b)
	return status, b.State
}

// cloud is the infrastructure: its list of machines, and their upkeep. There is one pool, so that no machine can change it.
type cloud struct {
	w *world

	mu sync.Mutex
	// slow is how long the list takes; it shows what was there when it was asked for.
	slow time.Duration
	down map[string]bool
	// begun holds the upkeeps that have begun, by wave and machine.
	begun map[string]bool
	lists int
}

const (
	maintenance = 2 * time.Second // maintenanceS
	usual       = 30 * time.Millisecond
)

func (w *world) serveCloud(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.cloud = &cloud{w: w, slow: usual, down: map[string]bool{}, begun: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/machines", w.cloud.list)
	mux.HandleFunc("/machine-upkeep", func(out http.ResponseWriter, r *http.Request) { w.cloud.upkeep(ctx, out, r) })
	mux.HandleFunc("/", func(out http.ResponseWriter, r *http.Request) {
		w.rec.line("the infrastructure refused %s %s", r.Method, r.URL.Path)
		out.WriteHeader(http.StatusBadRequest)
	})
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(l) }()
	go func() { <-ctx.Done(); s.Close() }()
	return l.Addr().String(), nil
}

func (c *cloud) set(slow time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = slow
}

func (c *cloud) list(out http.ResponseWriter, _ *http.Request) {
	c.w.mu.Lock()
	minions := slices.Clone(c.w.minions)
	c.w.mu.Unlock()
	c.mu.Lock()
	slow := c.slow
	rows := []map[string]any{}
	for _, m := range minions {
		state, id := "up", m.id
		if c.down[m.machine] {
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{
			"machine": m.machine, "pool": m.service, "state": state, "zone": m.zone, "labels": m.labels, "id": id,
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0},
		})
	}
	c.lists++
	n := c.lists
	c.mu.Unlock()
	c.w.rec.line("list %d of %d machines is asked for", n, len(rows))
	time.Sleep(slow)
	c.w.rec.line("list %d is answered", n)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

// upkeep takes a machine down for maintenanceS; a new life of its minion follows.
func (c *cloud) upkeep(ctx context.Context, out http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	c.w.mu.Lock()
	i := slices.IndexFunc(c.w.minions, func(m *minion) bool { return m.machine == order.Machine })
	c.w.mu.Unlock()
	if i < 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	key := fmt.Sprintf("%d %s", order.Wave, order.Machine)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.begun[key]:
	case c.down[order.Machine]:
		c.w.rec.line("upkeep of %s for wave %d: busy", order.Machine, order.Wave)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(http.StatusConflict)
		fmt.Fprint(out, `{"reason":"busy"}`)
		return
	default:
		c.begun[key], c.down[order.Machine] = true, true
		c.w.rec.line("upkeep of %s for wave %d begins", order.Machine, order.Wave)
		m := c.w.minions[i]
		m.restart(maintenance)
		time.AfterFunc(maintenance, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.down[order.Machine] = false
		})
	}
	out.WriteHeader(http.StatusOK)
}

func (c *cloud) hasBegun(wave int, machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun[fmt.Sprintf("%d %s", wave, machine)]
}

// add adds a machine, which is down until its minion has started.
func (w *world) add(ctx context.Context, m *minion, boot time.Duration) {
	m.w = w
	w.mu.Lock()
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	w.cloud.mu.Lock()
	w.cloud.down[m.machine] = true
	w.cloud.mu.Unlock()
	w.rec.line("machine %s is added, its minion starts in %v", m.machine, boot)
	time.AfterFunc(boot, func() {
		w.cloud.mu.Lock()
		w.cloud.down[m.machine] = false
		w.cloud.mu.Unlock()
		m.start(ctx)
	})
}
