// Command stand2 plays the script cases of review 2: it starts the project's program as the deploy file says, stands in for the
// platform, the minions, the requesters and the operator, and judges what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var zones = []string{"ee-north-a", "ee-north-b", "ee-north-c"}

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// limit is the longest that a case may take.
const limit = 115 * time.Second

type caseFunc func(s *stage) error

var cases = map[string]caseFunc{
	"losses": playLosses, "gang": playGang, "manifest": playManifest, "kinds": playKinds, "start": playStart,
	"crashes": playCrashes, "foreign": playForeign,
}

// openers open the stage of a case in another way.
var openers = map[string]func(s *stage, root, folder string) error{"start": openStart}

// stage is what a case plays on.
type stage struct {
	trouble bool
	record  *record
	fleet   *fleet
	cloud   *cloud
	nodes   *nodes
	caller  *caller
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE ROOT RECORD")
		os.Exit(2)
	}
	open := openers[os.Args[1]]
	if open == nil {
		open = (*stage).open
	}
	os.Exit(play(open, cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(open func(s *stage, root, folder string) error, f caseFunc, root, file string) int {
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	r, err := openRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, _ = filepath.Abs(root)
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", record: r}
	r.write("trouble: %t", s.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	result := make(chan error, 1)
	go func() {
		err := open(s, root, folder)
		if err == nil {
			err = f(s)
		}
		result <- err
	}()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("the case was ended by a signal")
	case <-time.After(limit):
		err = errors.New("the case took too long")
	}
	if s.nodes != nil {
		s.nodes.close()
	}
	switch {
	case err == nil:
		r.write("verdict: the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.write("verdict: %v", err)
		fmt.Println(err)
		return 1
	}
	r.write("verdict: the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// Services of the deployment: the pool under test, a second one, and the spare pool, whose machines are off.
const (
	poolMain  = "pricing"
	poolOther = "cover"
	poolSpare = "ledger"
	hostName  = "desk.example"
)

// route is an entry of the manifest.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3600,
		"priority": 0, "service": service, "maxAttempts": 3, "stretchFactor": 1.6,
	}
}

func service(name string, standby bool) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "standby": standby,
	}
}

func manifest() map[string]any {
	watch := route("r-watch", "/watch/", poolMain)
	watch["targetLatencyMs"], watch["stretchFactor"], watch["maxAttempts"] = 3000, 2.2, 4
	return map[string]any{
		"version": 3,
		"routes":  []any{route("r-quote", "/quote/", poolMain), route("r-batch", "/batch/", poolMain), watch, route("r-cover", "/cover/", poolOther)},
		"services": []any{
			service(poolMain, false), service(poolOther, false), service(poolSpare, true),
		},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// stand starts the stand-ins and names the nodes.
func (s *stage) stand(root, folder string) error {
	s.fleet = &fleet{record: s.record}
	s.fleet.ledger.init(s.record)
	var err error
	if s.cloud, err = startCloud(s.fleet, map[string]bool{poolSpare: true}, s.record); err != nil {
		return err
	}
	if s.nodes, err = newNodes(root, folder, s.cloud.address(), 3, 2, s.record); err != nil {
		return err
	}
	s.caller = newCaller(s.record, s.nodes.fronts())
	s.fleet.nodes = s.nodes.controls()
	return nil
}

// open starts a small deployment: 3 machines with a disk and 2 without, 9 minions in each of two services, 8 spare machines. Two
// machines of the first service are of another kind.
func (s *stage) open(root, folder string) error {
	if err := s.stand(root, folder); err != nil {
		return err
	}
	for _, n := range s.nodes.list {
		if err := s.nodes.start(n, true); err != nil {
			return err
		}
	}
	if err := configure(s.record, s.nodes.controls(), manifest(), 30*time.Second); err != nil {
		return err
	}
	s.bootAll()
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	return nil
}

// bootAll boots the minions.
func (s *stage) bootAll() {
	for p, pool := range []string{poolMain, poolOther, poolSpare} {
		count := 9
		if pool == poolSpare {
			count = 8
		}
		for i := count - 1; i >= 0; i-- {
			kind := "a"
			if pool == poolMain && (i == 0 || i == 8) {
				kind = "b"
			}
			m := &machine{
				id: fmt.Sprintf("m-%d%02d", p, i), zone: zones[i%len(zones)], kind: kind, rack: fmt.Sprintf("r%d-%d", p, i/4),
				address: fmt.Sprintf("127.1.%d.%d:8080", p, i+1), cpu: 16000, mem: 32768, pool: pool, state: "up",
			}
			s.fleet.add(m)
			if pool != poolSpare {
				s.fleet.boot(m)
			}
		}
	}
}

func id(k int) string { return fmt.Sprintf("5c0e7a21d94b%04x", k) }
