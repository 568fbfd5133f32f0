package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of every node; each node has a loopback address of its own.
const (
	peerPort    = 7060
	metricsPort = 9464
	frontPort   = 8624
	readyPort   = 8622
	controlPort = 8623
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// node is one process of the system.
type node struct {
	name    string
	address string
	disk    string
	command *exec.Cmd
	log     *os.File
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.address, port) }

// nodes is a small deployment: some nodes with a disk, some without.
type nodes struct {
	root, folder, cloud string
	list                []*node
	core                int
}

// freeNetwork returns the first three parts of a loopback network on which the ports are free.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		free := true
		for host := 1; host <= 5 && free; host++ {
			for _, port := range []int{peerPort, frontPort, readyPort, controlPort, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return network
		}
	}
}

// startNodes starts core nodes with a disk and plain nodes without one.
func startNodes(root, folder, cloud string, core, plain int) (*nodes, error) {
	s := &nodes{root: root, folder: folder, cloud: cloud, core: core}
	network := freeNetwork()
	for i := range core + plain {
		n := &node{name: fmt.Sprintf("front-%d", i+1), address: fmt.Sprintf("%s.%d", network, i+1)}
		if i < core {
			n.disk = filepath.Join(folder, "data-"+n.name)
		}
		s.list = append(s.list, n)
	}
	for _, n := range s.list {
		if err := s.start(n, true); err != nil {
			return s, err
		}
	}
	return s, nil
}

// start starts a node with the command of the deploy file.
func (s *nodes) start(n *node, bootstrap bool) error {
	seeds := []string{}
	for _, c := range s.list[:s.core] {
		seeds = append(seeds, c.at(controlPort))
	}
	diskMb := 0
	if n.disk != "" {
		diskMb = 128
	}
	settings := map[string]any{
		"Node": n.name, "AvailabilityZone": "zone-a", "Address": n.address, "PeerPort": peerPort, "MetricsPort": metricsPort,
		"Front": n.at(frontPort), "Ready": n.at(readyPort), "Control": n.at(controlPort), "Seeds": seeds, "DataFolder": n.disk,
		"Found": bootstrap, "DiskMegaBytes": diskMb, "MemoryMegaBytes": 284, "MaxDescriptors": 4100,
		"PlatformAddress": s.cloud, "AdvisorAddress": "", "Stop": map[string]any{"GraceMs": 6000},
		"Work": map[string]any{"MaxLeaseMs": 10000, "StopMs": 900, "DutyGapMs": 3000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.folder, n.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	if n.log, err = os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	n.command = exec.Command("target/mulberryhaven", "fleet")
	n.command.Dir = s.root
	n.command.Env = append(os.Environ(), "MULBERRYHAVEN_BOOT="+file)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

// add starts a machine with an empty disk that was not there before.
func (s *nodes) add(name string) (*node, error) {
	last := s.list[len(s.list)-1].address
	i := strings.LastIndexByte(last, '.')
	host, err := strconv.Atoi(last[i+1:])
	if err != nil {
		return nil, err
	}
	n := &node{name: name, address: fmt.Sprintf("%s.%d", last[:i], host+1)}
	n.disk = filepath.Join(s.folder, "data-"+n.name)
	s.list = append(s.list, n)
	return n, s.start(n, false)
}

// remove takes a machine away for good: SIGTERM, and SIGKILL after the grace.
func (s *nodes) remove(n *node) {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(grace, func() { _ = n.command.Process.Kill() })
	_ = n.command.Wait()
	late.Stop()
	n.log.Close()
	n.command = nil
	s.list = slices.DeleteFunc(s.list, func(o *node) bool { return o == n })
}

// kill ends a node's process at once.
func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		n.log.Close()
		n.command = nil
	}
}

func (s *nodes) close() {
	for _, n := range s.list {
		n.kill()
	}
}

func (s *nodes) controls() []string {
	list := []string{}
	for _, n := range s.list {
		list = append(list, n.at(controlPort))
	}
	return list
}
