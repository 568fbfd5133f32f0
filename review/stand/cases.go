package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const service = "pricing"

// maxUnavailable is how many tasks of a step the system may make unavailable at the same time.
const maxUnavailable = 1

func lasting(string) (int, time.Duration) { return 1000, 0 }

// foreignBeat lets another writer send one heartbeat with fields missing, at the address of a minion that works.
func foreignBeat(s *stage) (int, error) {
	s.addMinions(service, 6, 16000, lasting)
	s.bootMinions()
	if err := s.client.configure(1, service); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	if err := s.client.submit(service, id, map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "perpetual": true}); err != nil {
		return unable, err
	}
	if err := wait(15*time.Second, "three tasks at work", func() bool { return len(s.ledger.running()) == 3 }); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second)
	m := s.minion(s.ledger.running()[0].minion)
	if s.trouble {
		s.foreign(m)
	}
	time.Sleep(8 * time.Second)
	s.client.state(service, id)
	return s.verdict(), nil
}

// foreign sends a heartbeat that names the address of a minion, but no machine, capacity, labels, zone, slots or sequence.
func (s *stage) foreign(m *minion) {
	body, _ := json.Marshal(map[string]any{"service": m.pool, "address": m.address, "state": "ready", "born": time.Now().UnixMilli()})
	for _, n := range s.nodes.list {
		r, err := http.NewRequest(http.MethodPut, "http://"+n.at(controlPort)+"/instances/agent-1", bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Content-Type", "application/json")
		response, err := s.client.http.Do(r)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		s.record.add("another writer: PUT /instances/agent-1 %s is answered %d %s", body, response.StatusCode, bytes.TrimSpace(answer))
		return
	}
}

// link is the way from the nodes back to one minion; while it is deaf, what the nodes send is lost.
type link struct {
	deaf atomic.Bool
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *link
}

// Read drops what arrives while the link is deaf.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.link.deaf.Load() {
			return n, err
		}
	}
}

// client returns a client whose connections use the link.
func (l *link) client() *http.Client {
	d := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: c, link: l}, nil
	}}}
}

// lostLeave lets a minion leave while a long task runs on it, and loses the ack of its DELETE.
func lostLeave(s *stage) (int, error) {
	const work = 25 * time.Second
	s.addMinions(service, 6, 16000, func(string) (int, time.Duration) { return 1000, work })
	ways := map[string]*link{}
	for _, m := range s.minions {
		ways[m.id] = &link{}
		m.client = ways[m.id].client()
	}
	s.bootMinions()
	if err := s.client.configure(1, service); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	if err := s.client.submit(service, id, map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 25000}); err != nil {
		return unable, err
	}
	if err := wait(15*time.Second, "three tasks run", func() bool { return len(s.ledger.running()) == 3 }); err != nil {
		return unable, err
	}
	time.Sleep(time.Second)
	m := s.minion(s.ledger.running()[0].minion)
	m.drain(5 * time.Second)
	if err := wait(5*time.Second, "the drain is acknowledged", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.acked }); err != nil {
		return unable, err
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		s.record.add("minion %s is cut off one way: what it sends arrives, and no answer reaches it", m.id)
		ways[m.id].deaf.Store(true)
	}
	acked := false
	for i := 0; i < 3 && !acked; i++ {
		acked = m.leave(m.nodes[i])
	}
	if !acked {
		// Without an ack it exits anyway, some seconds later.
		time.Sleep(time.Second)
	}
	m.crash("exits")
	time.Sleep(4 * time.Second)
	s.client.state(service, id)
	return s.verdict(), nil
}

// crashes lets the minion that runs one task crash, up to five times.
func crashes(s *stage) (int, error) {
	s.addMinions(service, 8, 16000, lasting)
	s.bootMinions()
	if err := s.client.configure(1, service); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	if err := s.client.submit(service, id, map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "perpetual": true, "maxUnavailable": maxUnavailable}); err != nil {
		return unable, err
	}
	task := id + ".0.0.0"
	find := func() *span {
		for _, r := range s.ledger.running() {
			if r.task == task {
				return r
			}
		}
		return nil
	}
	const count = 5
	for i := range count {
		if err := wait(15*time.Second, "task 0 runs", func() bool { return find() != nil }); err != nil {
			if st := s.client.state(service, id); st == "failed" {
				break
			}
			return unable, err
		}
		time.Sleep(2 * time.Second)
		r := find()
		if r == nil || !s.trouble {
			continue
		}
		m := s.minion(r.minion)
		s.record.add("crash %d of %d", i+1, count)
		m.crash("crashes")
		time.Sleep(time.Second)
		m.boot()
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if st := s.client.state(service, id); st == "failed" {
		s.record.add("job %s is shown as failed, and no run of it has ended failed", id)
	}
	stops := s.ledger.stops()
	for _, r := range stops {
		s.record.add("%s run %d on %s was at work and is ended by an order", r.task, r.run, r.minion)
	}
	if len(stops) > maxUnavailable {
		s.record.add("AVAIL: %d tasks of the step are ended by orders at the same time, and %d may be unavailable", len(stops), maxUnavailable)
		return broken, nil
	}
	return held, nil
}

// droppedRoute removes a queue from the manifest and restores it, while a job of the queue runs.
func droppedRoute(s *stage) (int, error) {
	const id = "5c0e7a21d94b36f8"
	const failing = id + ".0.0.0"
	var fails atomic.Int32
	s.addMinions(service, 6, 16000, func(string) (int, time.Duration) { return 1000, 6 * time.Second })
	s.addMinions("cover", 2, 16000, lasting)
	for _, m := range s.minions {
		m.fails = func(task string) bool { return task == failing && fails.Add(1) == 1 }
	}
	s.bootMinions()
	if err := s.client.configure(1, service, "cover"); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	if err := s.client.submit(service, id, map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 6000}); err != nil {
		return unable, err
	}
	if err := wait(15*time.Second, "three tasks run", func() bool { return len(s.ledger.running()) == 3 }); err != nil {
		return unable, err
	}
	if s.trouble {
		time.Sleep(time.Second)
		if err := s.client.configure(2, "cover"); err != nil {
			return unable, err
		}
	}
	if err := wait(15*time.Second, "the first run of task 0 fails", func() bool { return fails.Load() > 0 }); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		if err := s.client.configure(3, service, "cover"); err != nil {
			return unable, err
		}
	}
	for range 20 {
		time.Sleep(time.Second)
		switch s.client.state(service, id) {
		case "completed":
			return held, nil
		case "failed":
			s.record.add("LOST: job %s is shown as failed after 1 of its 4 attempts", id)
			return broken, nil
		}
	}
	return unable, errors.New("the job does not end")
}

// mixedJob runs a job whose first step ends and whose second step lasts; a lasting task fails four times.
func mixedJob(s *stage) (int, error) {
	const id = "5c0e7a21d94b36f8"
	const failing = id + ".0.1.0"
	const failures = 4
	var fails atomic.Int32
	s.addMinions(service, 6, 16000, func(task string) (int, time.Duration) {
		switch {
		case !strings.HasPrefix(task, id+".0.1."):
			return 1000, 500 * time.Millisecond
		case s.trouble && task == failing && fails.Load() < failures:
			return 1000, 1500 * time.Millisecond
		}
		return 1000, 0
	})
	for _, m := range s.minions {
		m.fails = func(task string) bool { return task == failing && fails.Add(1) <= failures }
	}
	s.bootMinions()
	if err := s.client.configure(1, service); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	err := s.client.submit(service, id,
		map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500},
		map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "dependsOn": []int{0}, "perpetual": true, "maxUnavailable": maxUnavailable})
	if err != nil {
		return unable, err
	}
	if err := wait(15*time.Second, "three lasting tasks run", func() bool { return len(s.ledger.running()) == 3 }); err != nil {
		return unable, err
	}
	if s.trouble {
		if err := wait(60*time.Second, "four runs of the task fail", func() bool { return fails.Load() >= failures }); err != nil {
			return unable, err
		}
	}
	time.Sleep(8 * time.Second)
	state := s.client.state(service, id)
	s.record.add("runs under way: %d", len(s.ledger.running()))
	if state == "failed" {
		s.record.add("LOST: job %s is shown as failed; its tasks that last have no limit of attempts", id)
		return broken, nil
	}
	if state != "running" {
		return unable, errors.New("the job is " + state)
	}
	return held, nil
}

const (
	// catchUp is how long a new machine counts as lost.
	catchUp = 4 * time.Second
	// recovery is the time after which the system has to serve again, whatever was lost within the tolerance.
	recovery = 12 * time.Second
)

// repair replaces a machine of the core as planned; after that another one loses its disk.
func repair(s *stage) (int, error) {
	const id = "5c0e7a21d94b36f8"
	s.addMinions(service, 6, 16000, lasting)
	s.bootMinions()
	if err := s.client.configure(1, service); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	if err := s.client.submit(service, id, map[string]any{"count": 3, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "perpetual": true}); err != nil {
		return unable, err
	}
	if err := wait(15*time.Second, "three tasks run", func() bool { return len(s.ledger.running()) == 3 }); err != nil {
		return unable, err
	}
	pause := time.Second
	if d, err := time.ParseDuration(os.Getenv("PAUSE")); err == nil {
		pause = d
	}
	second, third := s.nodes.list[1], s.nodes.list[2]
	s.record.add("a machine with an empty disk is added: front-5")
	if _, err := s.nodes.add("front-5"); err != nil {
		return unable, err
	}
	time.Sleep(3 * catchUp)
	s.record.add("SIGTERM to %s, which is removed for good", third.name)
	s.nodes.remove(third)
	s.record.add("%s has ended", third.name)
	if s.trouble {
		time.Sleep(pause)
		s.record.add("%s loses its disk", second.name)
		second.kill()
		if err := os.RemoveAll(second.disk); err != nil {
			return unable, err
		}
		time.Sleep(time.Second)
		if err := s.nodes.start(second, false); err != nil {
			return unable, err
		}
		s.record.add("%s is back at its address with an empty disk", second.name)
	}
	time.Sleep(catchUp + recovery)
	return s.readBack(id), nil
}

// readBack asks every node for the manifest and a job, again and again.
func (s *stage) readBack(id string) int {
	_, manifest, err := s.client.every(controlPort, http.MethodGet, "/config", nil, 20*time.Second, 200)
	if err != nil {
		s.record.add("CONFIG: the manifest doesn't come: %v", err)
	} else {
		s.record.add("GET /config is answered 200 with %d bytes", len(manifest))
	}
	state := s.client.state(service, id)
	s.record.add("runs under way: %d", len(s.ledger.running()))
	if state != "running" || err != nil {
		s.record.add("LOST: job %s gets no answer in time, or isn't known", id)
		return broken
	}
	return held
}
