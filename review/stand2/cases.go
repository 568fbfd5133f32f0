package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

func job(sp spec, steps ...map[string]any) map[string]any {
	data, _ := json.Marshal(sp)
	return map[string]any{"spec": string(data), "steps": steps}
}

// inUse returns the processor that the minions of a pool have and use.
func (s *stage) inUse(pool string) (capacity, used int) {
	for _, m := range s.fleet.list() {
		n := m.up()
		if n == nil || n.pool != pool {
			continue
		}
		_, cpu := n.usage()
		capacity, used = capacity+m.cpu, used+cpu
	}
	return capacity, used
}

// playGang hands in a gang that no fleet of this size can run, then a load peak of sound jobs. All sound jobs that were
// accepted must get on once the peak is over.
func playGang(s *stage) error {
	const sound, tasks, cpu, workMs = 72, 6, 4000, 3000
	if s.trouble {
		gang := job(spec{WorkMs: []int{7000}, Gangs: []int{40}, CPU: []int{16000}, MemMb: []int{256}},
			map[string]any{"count": 40, "cpu": 16000, "memMb": 256, "estimatedMs": 7000, "gang": true})
		s.caller.submit(hostName, "/batch/"+id(1), gang)
	}
	time.Sleep(8 * time.Second)
	accepted := make([]bool, sound)
	done := make(chan int, sound)
	for i := range sound {
		go func() {
			one := job(spec{WorkMs: []int{workMs}, CPU: []int{cpu}, MemMb: []int{256}},
				map[string]any{"count": tasks, "cpu": cpu, "memMb": 256, "estimatedMs": workMs})
			accepted[i] = s.caller.submit(hostName, "/quote/"+id(100+i), one)
			done <- i
		}()
		time.Sleep(125 * time.Millisecond)
	}
	for range sound {
		<-done
	}
	// The end of the traffic; finish_s is 14, and the peak itself takes no longer than a few seconds more.
	time.Sleep(30 * time.Second)
	waiting := func() map[string]bool {
		list := map[string]bool{}
		for i := range sound {
			if !accepted[i] {
				continue
			}
			open, finished := 0, 0
			for k := range tasks {
				o, _, d := s.fleet.ledger.tally(fmt.Sprintf("%s.0.0.%d", id(100+i), k))
				open, finished = open+o, finished+min(1, d)
			}
			if open == 0 && finished < tasks {
				list[id(100+i)] = true
			}
		}
		return list
	}
	// A job counts that has nothing running for 3 s while under half of the service's capacity is in use.
	stuck := waiting()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		capacity, used := s.inUse(poolMain)
		if used*2 >= capacity || capacity-used < 2*tasks*cpu {
			s.record.write("%d of %d thousandths of a core are in use", used, capacity)
			stuck = nil
		}
		now := waiting()
		for k := range stuck {
			if !now[k] {
				delete(stuck, k)
			}
		}
	}
	count := 0
	for i := range sound {
		if accepted[i] {
			count++
			s.caller.state(hostName, "/quote/"+id(100+i))
		}
	}
	capacity, used := s.inUse(poolMain)
	s.record.write("%d of %d sound jobs were accepted; %d have had nothing running for 4 s, with %d of %d thousandths of a core in use", count, sound, len(stuck), used, capacity)
	if count < sound/2 {
		return fmt.Errorf("only %d jobs were accepted", count)
	}
	if len(stuck) > 0 {
		return fmt.Errorf("%w: LOST: %d accepted jobs have nothing running for 4 s while %d of %d thousandths of a core are in use", errBroken, len(stuck), used, capacity)
	}
	return nil
}

// playCrashes hands in a job whose tasks last, and crashes the minion that runs its first task now and then, one at a time. The
// minion is back after 2 s. Of the other tasks, which are at work on sound minions, no two may be stopped at once: one may be
// unavailable, and nobody cancels the job.
func playCrashes(s *stage) error {
	const tasks, mayBeAway, crashes, period, down = 3, 1, 6, 11 * time.Second, 2 * time.Second
	path := "/watch/" + id(1)
	watch := job(spec{Lasts: true, CPU: []int{2000}, MemMb: []int{256}}, map[string]any{
		"count": tasks, "cpu": 2000, "memMb": 256, "estimatedMs": 500, "perpetual": true, "maxUnavailable": mayBeAway, "antiAffinity": 1,
	})
	if !s.caller.submit(hostName, path, watch) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	names := make([]string, tasks)
	for i := range names {
		names[i] = fmt.Sprintf("%s.0.0.%d", id(1), i)
	}
	for i := range crashes {
		if m := s.runs(names[0]); s.trouble && m != nil {
			s.record.write("crash %d of %d", i+1, crashes)
			s.fleet.crash(m, "down")
			time.AfterFunc(down, func() { s.fleet.boot(m) })
		}
		time.Sleep(period)
		state := s.caller.state(hostName, path)
		if n := s.fleet.ledger.stops(names[1:]); n > mayBeAway {
			return fmt.Errorf("%w: AVAIL: %d tasks at work on sound minions were stopped where %d may be away; the job is shown as %s", errBroken, n, mayBeAway, state)
		}
	}
	return nil
}

// runs returns the machine that runs a task, or nil.
func (s *stage) runs(task string) *machine {
	for _, m := range s.fleet.list() {
		n := m.up()
		if n == nil {
			continue
		}
		list, _ := n.usage()
		for _, t := range list {
			if t == task {
				return m
			}
		}
	}
	return nil
}

// playKinds loses one of the two machines of a kind for good, and then hands in small jobs that need that kind. The other machine has
// plenty of room for them: it runs one task of a long job.
func playKinds(s *stage) error {
	const small = 3
	watch := job(spec{Lasts: true, CPU: []int{1000}, MemMb: []int{12000}}, map[string]any{
		"count": 7, "cpu": 1000, "memMb": 12000, "estimatedMs": 500, "perpetual": true, "antiAffinity": 1,
	})
	long := job(spec{WorkMs: []int{60000}, CPU: []int{2000}, MemMb: []int{22000}}, map[string]any{
		"count": 1, "cpu": 2000, "memMb": 22000, "estimatedMs": 15000, "requirements": "b",
	})
	if !s.caller.submit(hostName, "/watch/"+id(1), watch) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if !s.caller.submit(hostName, "/batch/"+id(2), long) {
		return fmt.Errorf("the long job was not accepted")
	}
	time.Sleep(3 * time.Second)
	other := s.runs(id(2) + ".0.0.0")
	if other == nil || other.kind != "b" {
		return fmt.Errorf("the long job does not run")
	}
	for _, m := range s.fleet.list() {
		if n := m.up(); s.trouble && n != nil && m.kind == "b" && m != other {
			s.fleet.crash(m, "down")
		}
	}
	time.Sleep(17 * time.Second)
	for i := range small {
		one := job(spec{WorkMs: []int{1000}, CPU: []int{1000}, MemMb: []int{512}},
			map[string]any{"count": 1, "cpu": 1000, "memMb": 512, "estimatedMs": 1000, "requirements": "b"})
		if !s.caller.submit(hostName, "/quote/"+id(100+i), one) {
			return fmt.Errorf("a small job was not accepted")
		}
	}
	// The end of the traffic; finish_s is 14.
	time.Sleep(14 * time.Second)
	stuck := map[int]bool{}
	for i := range small {
		stuck[i] = true
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range small {
			if open, _, done := s.fleet.ledger.tally(id(100+i) + ".0.0.0"); open > 0 || done > 0 {
				delete(stuck, i)
			}
		}
		if n := other.up(); n == nil {
			stuck = nil
		} else if _, cpu := n.usage(); other.cpu-cpu < 2*1000 {
			stuck = nil
		}
		if capacity, used := s.inUse(poolMain); used*2 >= capacity {
			stuck = nil
		}
	}
	for i := range small {
		s.caller.state(hostName, "/quote/"+id(100+i))
	}
	capacity, used := s.inUse(poolMain)
	tasks, _ := other.up().usage()
	s.record.write("%d of %d small jobs have had nothing running for 4 s; %s runs %v; the service uses %d of %d thousandths of a core", len(stuck), small, other.id, tasks, used, capacity)
	if len(stuck) > 0 {
		return fmt.Errorf("%w: LOST: %d accepted jobs have nothing running for 4 s, 14 s after the end of the traffic, while a minion has room for them", errBroken, len(stuck))
	}
	return nil
}

// openStart starts the whole system for the first time, the first seed 0.28 s after the others. Before that, the machine of the
// third seed is gone for good; an empty one comes 2 s later at another address.
func openStart(s *stage, root, folder string) error {
	if err := s.stand(root, folder); err != nil {
		return err
	}
	first, third := s.nodes.list[0], s.nodes.list[2]
	for _, n := range s.nodes.list[1:] {
		if err := s.nodes.start(n, true); err != nil {
			return err
		}
	}
	time.Sleep(250 * time.Millisecond)
	if s.trouble {
		s.record.write("the machine of %s is removed", third.name)
		if err := third.process.Process.Kill(); err != nil {
			return err
		}
	}
	time.Sleep(30 * time.Millisecond)
	if err := s.nodes.start(first, true); err != nil {
		return err
	}
	if s.trouble {
		time.Sleep(2 * time.Second)
		// Only the first start of the whole system has bootstrap set.
		if err := s.nodes.start(s.nodes.replace(third), false); err != nil {
			return err
		}
	}
	s.fleet.nodes = s.nodes.controls()
	s.caller.fronts = s.nodes.fronts()
	s.bootAll()
	return nil
}

// playStart sends the first manifest again and again for a minute, and jobs from the tenth second on.
func playStart(s *stage) error {
	acked := make(chan error, 1)
	go func() { acked <- configure(s.record, s.nodes.controls(), manifest(), 60*time.Second) }()
	time.Sleep(10 * time.Second)
	served := 0
	for i := range 25 {
		one := job(spec{WorkMs: []int{500}, CPU: []int{1000}, MemMb: []int{256}},
			map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500})
		if status, _ := s.caller.call("POST", hostName, "/quote/"+id(100+i), one); status == 200 {
			served++
		}
		time.Sleep(2 * time.Second)
	}
	err := <-acked
	s.record.write("%d of 25 requests were served; the manifest: %v", served, err)
	if served == 0 {
		return fmt.Errorf("%w: Fault: no request of a minute is served, and the first manifest has no ack", errBroken)
	}
	return nil
}

// playManifest sends a manifest of a higher version whose body has one closing brace too many. It must be refused, must not be
// read back and must not be obeyed: it drops a route.
func playManifest(s *stage) error {
	one := job(spec{WorkMs: []int{500}, CPU: []int{1000}, MemMb: []int{256}},
		map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500})
	if !s.caller.submit(hostName, "/quote/"+id(1), one) {
		return fmt.Errorf("the first job was not accepted")
	}
	acked := false
	if s.trouble {
		next := manifest()
		next["version"] = 10
		next["routes"] = next["routes"].([]any)[1:]
		data, err := json.Marshal(next)
		if err != nil {
			return err
		}
		data = append(data, '}')
		if json.Valid(data) {
			return fmt.Errorf("the body is valid")
		}
		for _, to := range s.nodes.controls()[:3] {
			status, _ := operate(s.record, http.MethodPut, to, data)
			if acked = status/100 == 2; acked || status/100 == 4 {
				break
			}
		}
	}
	// configApplyMs is 2000.
	time.Sleep(3 * time.Second)
	unreadable, readings := 0, 0
	for _, to := range s.nodes.controls() {
		if status, text := operate(s.record, http.MethodGet, to, nil); status == http.StatusOK {
			readings++
			if !json.Valid(text) {
				unreadable++
			}
		}
	}
	if readings == 0 {
		return fmt.Errorf("the manifest could not be read back")
	}
	status, _ := s.caller.call(http.MethodPost, hostName, "/quote/"+id(2), one)
	if acked || unreadable > 0 || status == http.StatusNotFound {
		return fmt.Errorf("%w: CONFIG: a manifest that can't be read in full: acknowledged %t, read back from %d of %d nodes, and a request of the route that it drops got %d",
			errBroken, acked, unreadable, readings, status)
	}
	return nil
}

// playLosses adds a machine to the core, and removes another one of it for good 12 s later, without notice. 0.4 s after that, one
// that is left loses its disk.
func playLosses(s *stage) error {
	path := "/watch/" + id(1)
	watch := job(spec{Lasts: true, CPU: []int{1000}, MemMb: []int{256}},
		map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "perpetual": true})
	if !s.caller.submit(hostName, path, watch) {
		return fmt.Errorf("the job was not accepted")
	}
	voters := append([]*node(nil), s.nodes.list[:3]...)
	if err := s.nodes.start(s.nodes.add(zones[0]), false); err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	leader := s.nodes.leader()
	if leader == nil || !slices.Contains(voters, leader) {
		return fmt.Errorf("no leader among the first machines")
	}
	if err := s.nodes.remove(leader); err != nil {
		return err
	}
	s.caller.fronts = s.nodes.fronts()
	if s.trouble {
		time.Sleep(400 * time.Millisecond)
		other := voters[0]
		if other == leader {
			other = voters[1]
		}
		if err := s.nodes.wipe(other); err != nil {
			return err
		}
	}
	// recoveryS is 12.
	time.Sleep(30 * time.Second)
	state := s.caller.state(hostName, path)
	read := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && read == 0; time.Sleep(500 * time.Millisecond) {
		for _, to := range s.nodes.controls() {
			if status, _ := operate(s.record, http.MethodGet, to, nil); status == http.StatusOK {
				read++
			}
		}
	}
	if state != "running" && read == 0 {
		return fmt.Errorf("%w: LOST: 30 s after the losses the accepted job gets %q, and no node can read back the manifest", errBroken, state)
	}
	if state != "running" {
		return fmt.Errorf("%w: LOST: the accepted job gets %q", errBroken, state)
	}
	return nil
}

// playForeign sends one heartbeat of another writer, whose bytes are no JSON text. It bears the machine and the address of a minion
// that works, and a later start. It must name no minion: no task may run twice.
func playForeign(s *stage) error {
	const tasks = 4
	one := job(spec{WorkMs: []int{12000}, CPU: []int{2000}, MemMb: []int{256}},
		map[string]any{"count": tasks, "cpu": 2000, "memMb": 256, "estimatedMs": 12000})
	if !s.caller.submit(hostName, "/quote/"+id(1), one) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	m := s.runs(id(1) + ".0.0.0")
	if m == nil {
		return fmt.Errorf("the job does not run")
	}
	if s.trouble {
		data, err := json.Marshal(map[string]any{
			"machine": m.id, "born": time.Now().UnixMilli(), "service": poolMain, "address": m.address, "zone": m.zone, "version": "v1",
			"slots": 8, "state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0},
			"labels": []string{m.kind, m.rack}, "clockMs": 5, "sequence": 1, "running": []any{}, "endedRuns": []any{},
		})
		if err != nil {
			return err
		}
		a, err := put(context.Background(), http.DefaultClient, s.fleet.nodes[0], "i-other", append(data, '}'))
		s.record.write("the odd heartbeat: %+v %v", a, err)
	}
	most := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		twice := 0
		for k := range tasks {
			if open, _, _ := s.fleet.ledger.tally(fmt.Sprintf("%s.0.0.%d", id(1), k)); open > 1 {
				twice++
			}
		}
		most = max(most, twice)
	}
	if most > 0 {
		return fmt.Errorf("%w: TWICE: %d tasks ran twice at the same time, on minions that are up", errBroken, most)
	}
	return nil
}
