package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Ports of every node; each node has a loopback address of its own.
const (
	portPeer    = 7060
	portMetrics = 9464
	portReady   = 8622
	portControl = 8623
	portFront   = 8624
)

// node is one entry machine with a process of the project's own program.
type node struct {
	name, zone, ip string
	core           bool
	process        *exec.Cmd
	done           chan struct{}
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// nodes are the entry machines of a deployment.
type nodes struct {
	root, folder string
	cloud        string
	record       *record
	list         []*node
	seeds        []string

	mu       sync.Mutex
	stopping bool
}

// newNodes names cores machines with a disk and plain ones without, as the deploy file says.
func newNodes(root, folder, cloud string, cores, plain int, r *record) (*nodes, error) {
	c := &nodes{root: root, folder: folder, cloud: cloud, record: r}
	prefix, err := freePrefix(cores + plain)
	if err != nil {
		return nil, err
	}
	for i := range cores + plain {
		zone := zones[i%len(zones)]
		c.list = append(c.list, &node{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", prefix, i+11), core: i < cores})
	}
	for _, n := range c.list[:min(3, cores)] {
		c.seeds = append(c.seeds, n.at(portControl))
	}
	return c, nil
}

// freePrefix finds a part of the loopback network in which the ports are free.
func freePrefix(count int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range count {
			for _, port := range []int{portPeer, portMetrics, portReady, portControl, portFront} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+11, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// replace puts a machine with an empty disk and a new address in the place of another one. The seeds stay as they were.
func (c *nodes) replace(old *node) *node {
	next := &node{name: old.name + "b", zone: old.zone, ip: old.ip + "0", core: old.core}
	for i, n := range c.list {
		if n == old {
			c.list[i] = next
		}
	}
	return next
}

// add names another machine with an empty disk.
func (c *nodes) add(zone string) *node {
	last := c.list[len(c.list)-1]
	n := &node{name: "front-" + zone + "-9", zone: zone, ip: last.ip + "0", core: true}
	c.list = append(c.list, n)
	return n
}

// remove ends a machine for good.
func (c *nodes) remove(n *node) error {
	c.record.write("the machine of %s is removed", n.name)
	if err := n.process.Process.Kill(); err != nil {
		return err
	}
	<-n.done
	c.list = slices.DeleteFunc(c.list, func(o *node) bool { return o == n })
	return nil
}

// wipe lets a machine lose its disk; it is back after a second.
func (c *nodes) wipe(n *node) error {
	c.record.write("%s loses its disk", n.name)
	if err := n.process.Process.Kill(); err != nil {
		return err
	}
	<-n.done
	if err := os.RemoveAll(filepath.Join(c.folder, "disk-"+n.name)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return c.start(n, false)
}

// leader returns the machine that answers an operator itself instead of naming another one.
func (c *nodes) leader() *node {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, n := range c.list {
		response, err := client.Get("http://" + n.at(portControl) + "/config")
		if err != nil {
			continue
		}
		response.Body.Close()
		if n.core && response.StatusCode == http.StatusOK {
			return n
		}
	}
	return nil
}

// settings are what deploy/settings.json.tmpl makes of a machine's settings.
func (c *nodes) settings(n *node, bootstrap bool) map[string]any {
	s := map[string]any{
		"Node": n.name, "AvailabilityZone": n.zone, "Address": n.ip, "PeerPort": portPeer, "MetricsPort": portMetrics,
		"Front": n.at(portFront), "Ready": n.at(portReady), "Control": n.at(portControl), "Seeds": c.seeds, "DataFolder": "",
		"Found": bootstrap, "DiskMegaBytes": 0, "MemoryMegaBytes": 284, "MaxDescriptors": 4100, "PlatformAddress": c.cloud,
		"AdvisorAddress": "", "Stop": map[string]int{"GraceMs": 6000},
		"Work": map[string]any{"MaxLeaseMs": holdMaxMs, "StopMs": stopMs, "DutyGapMs": 3000, "RemoteFactor": 1.5},
	}
	if n.core {
		s["DataFolder"], s["DiskMegaBytes"] = filepath.Join(c.folder, "disk-"+n.name), 128
	}
	return s
}

func (c *nodes) start(n *node, bootstrap bool) error {
	data, err := json.MarshalIndent(c.settings(n, bootstrap), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(c.folder, n.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(filepath.Join(c.root, "target", "mulberryhaven"), "fleet")
	p.Dir = c.root
	p.Env = []string{"MULBERRYHAVEN_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + c.folder}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.process, n.done = p, done
	c.record.write("node %s starts, bootstrap %t", n.name, bootstrap)
	go func() {
		err := p.Wait()
		close(done)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.stopping {
			c.record.write("node %s has ended: %v", n.name, err)
		}
	}()
	return nil
}

// close ends every process that was started.
func (c *nodes) close() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	for _, n := range c.list {
		if n.process == nil {
			continue
		}
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		select {
		case <-n.done:
		case <-time.After(5 * time.Second):
		}
	}
}

// fronts and controls return the addresses of all nodes.
func (c *nodes) fronts() []string   { return c.addresses(portFront) }
func (c *nodes) controls() []string { return c.addresses(portControl) }

func (c *nodes) addresses(port int) []string {
	var list []string
	for _, n := range c.list {
		list = append(list, n.at(port))
	}
	return list
}
