package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMb is what a node may use.
	memoryMb = 284
	// restartDelay is how long a process that was killed is away.
	restartDelay = 500 * time.Millisecond
)

// cluster is the nodes of the system, each the program of the deploy file as a process of its own.
type cluster struct {
	rec    *record
	folder string
	nodes  []*node
	ports  []int
}

type node struct {
	name, address        string
	front, ready, ctl    string
	settings, dataFolder string
	cmd                  *exec.Cmd
	log                  *os.File
}

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// freePorts returns ports that are free on all the addresses.
func freePorts(addresses []string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
next:
	for try := 0; len(ports) < n && try < 200; try++ {
		port := 20000 + rand.IntN(12000)
		for _, a := range addresses {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				continue next
			}
			open = append(open, l)
		}
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return ports, nil
}

// startCluster starts nodes with a disk and others without, on loopback addresses of their own.
func startCluster(root, folder string, rec *record, disks, plain int, cloud, advisor string) (*cluster, error) {
	c := &cluster{rec: rec, folder: folder}
	block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(100), 1+rand.IntN(250))
	var addresses []string
	for i := range disks + plain {
		addresses = append(addresses, fmt.Sprintf("%s.%d", block, 11+i))
	}
	ports, err := freePorts(addresses, 5)
	if err != nil {
		return nil, err
	}
	c.ports = ports
	at := func(i, port int) string { return fmt.Sprintf("%s:%d", addresses[i], ports[port]) }
	var seeds []string
	for i := range min(3, disks) {
		seeds = append(seeds, at(i, 2))
	}
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	for i, a := range addresses {
		n := &node{name: fmt.Sprintf("entry-%d", i+1), address: a, front: at(i, 0), ready: at(i, 1), ctl: at(i, 2)}
		diskMb := 0
		if i < disks {
			n.dataFolder, diskMb = filepath.Join(folder, n.name), 128
		}
		// The fields of deploy/settings.json.tmpl, as a small deployment of the pages fills them.
		s := map[string]any{
			"Node": n.name, "AvailabilityZone": fmt.Sprintf("zone-%d", i%3), "Address": a, "PeerPort": ports[3], "MetricsPort": ports[4],
			"Front": n.front, "Ready": n.ready, "Control": n.ctl, "Seeds": seeds, "DataFolder": n.dataFolder, "Found": true,
			"DiskMegaBytes": diskMb, "MemoryMegaBytes": memoryMb, "MaxDescriptors": 4100, "PlatformAddress": cloud, "AdvisorAddress": advisor,
			"Stop": map[string]any{"GraceMs": 6000},
			"Work": map[string]any{"MaxLeaseMs": 10000, "StopMs": 900, "DutyGapMs": 3000, "RemoteFactor": 1.5},
		}
		data, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(folder, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.start(root, n, command); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) start(root string, n *node, command []string) error {
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command(filepath.Join(root, command[0]), command[1:]...)
	n.cmd.Dir = root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYHAVEN_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	c.rec.line("node %s started, process %d, front %s, control %s", n.name, n.cmd.Process.Pid, n.front, n.ctl)
	return nil
}

func (c *cluster) controls() []string {
	var list []string
	for _, n := range c.nodes {
		list = append(list, n.ctl)
	}
	return list
}

func (c *cluster) fronts() []string {
	var list []string
	for _, n := range c.nodes {
		list = append(list, n.front)
	}
	return list
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Kill()
		done := make(chan struct{})
		go func() { _ = n.cmd.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
		}
		n.log.Close()
	}
}

// losePower ends the processes of the nodes with a disk at the same moment. Their disks are preserved.
func (c *cluster) losePower() {
	for _, n := range c.nodes {
		if n.dataFolder != "" {
			_ = n.cmd.Process.Kill()
		}
	}
	for _, n := range c.nodes {
		if n.dataFolder != "" {
			_ = n.cmd.Wait()
			n.log.Close()
			c.rec.line("node %s is down", n.name)
		}
	}
}

// returnPower starts them again.
func (c *cluster) returnPower(root string) error {
	for _, n := range c.nodes {
		if n.dataFolder == "" {
			continue
		}
		if err := c.startAgain(root, n); err != nil {
			return err
		}
	}
	return nil
}

// startAgain starts a node with settings that say that it isn't the first start any more.
func (c *cluster) startAgain(root string, n *node) error {
	command, err := deployCommand(root)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	data = []byte(strings.Replace(string(data), `"Found": true`, `"Found": false`, 1))
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	return c.start(root, n, command)
}

// countLog returns how many lines of the nodes' logs hold a text, and the first of them.
func (c *cluster) countLog(text string) (int, string) {
	count, first := 0, ""
	for _, n := range c.nodes {
		data, err := os.ReadFile(filepath.Join(c.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, text) {
				if count++; first == "" {
					first = line
				}
			}
		}
	}
	return count, first
}

// keepMemory is what the platform does with a process that uses more than memoryMb: it is killed, and started again after a
// short delay. It counts the memory that is the process's own (RssAnon). It returns how often each node was killed.
func (c *cluster) keepMemory(ctx context.Context, root string) func() map[string]int {
	var mu sync.Mutex
	kills := map[string]int{}
	for _, n := range c.nodes {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
				used := ownMemory(n.cmd.Process.Pid)
				if used <= memoryMb<<10 {
					continue
				}
				mu.Lock()
				kills[n.name]++
				c.rec.say("node %s uses %d MB of %d: it is killed, for the %d. time", n.name, used>>10, memoryMb, kills[n.name])
				mu.Unlock()
				_ = n.cmd.Process.Kill()
				_ = n.cmd.Wait()
				n.log.Close()
				time.Sleep(restartDelay)
				if ctx.Err() == nil && c.startAgain(root, n) != nil {
					return
				}
			}
		}()
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(kills)
	}
}

// ownMemory returns the memory of a process in KB that no file backs.
func ownMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}
