package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of the platform, as in the sheet of the small sites.
const (
	migrationTime   = 1500 * time.Millisecond
	maintenanceTime = 2000 * time.Millisecond
)

// cloud is the platform's API for machines.
type cloud struct {
	fleet    *fleet
	standby  map[string]bool
	record   *record
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	fences map[string]uint64
}

func startCloud(f *fleet, standby map[string]bool, r *record) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{fleet: f, standby: standby, record: r, listener: l, fences: map[string]uint64{}}
	c.server = &http.Server{Handler: c}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

func (c *cloud) address() string { return c.listener.Addr().String() }

// ServeHTTP answers a call of the system.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		c.machines(w)
	case "POST /machine-move":
		c.order(w, r, true)
	case "POST /machine-upkeep":
		c.order(w, r, false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) machines(w http.ResponseWriter) {
	rows := []map[string]any{}
	for _, m := range c.fleet.list() {
		m.mu.Lock()
		id := ""
		if m.life != nil {
			id = m.life.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "id": id,
		})
		m.mu.Unlock()
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": ""})
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request, move bool) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    uint64 `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	var m *machine
	for _, o := range c.fleet.list() {
		if o.id == body.Machine {
			m = o
		}
	}
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.fences[m.id] {
		reply(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	}
	c.fences[m.id] = token
	m.mu.Lock()
	state, pool := m.state, m.pool
	m.mu.Unlock()
	switch {
	case move && pool == body.Pool && (state == "up" || state == "moving"):
		reply(w, http.StatusOK, struct{}{})
		return
	case state != "up":
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	c.record.write("order for %s: pool %q wave %d token %d from %s", m.id, body.Pool, body.Wave, token, r.Header.Get("Lease-Holder"))
	away, next := maintenanceTime, "upkeep"
	if move {
		away, next = migrationTime, "moving"
	}
	c.fleet.crash(m, next)
	m.mu.Lock()
	if move {
		m.pool = body.Pool
	}
	m.mu.Unlock()
	time.AfterFunc(away, func() {
		if c.standby[m.pool] {
			m.mu.Lock()
			m.state = "up"
			m.mu.Unlock()
			return
		}
		c.fleet.boot(m)
	})
	reply(w, http.StatusOK, struct{}{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
