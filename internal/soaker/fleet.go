package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
	"github.com/mulberryhaven/mulberryhaven/internal/relayer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/platform/emulator"
)

// Ports of every node.
const (
	portPeer    = 9081
	portFront   = 9082
	portReady   = 9083
	portControl = 9084
	portMetrics = 9085
)

// Node is one process behind relays.
type Node struct {
	// Name is its name, Listen the IP address that it listens on and calls from, Address the relays'.
	Name, Listen, Address string
	Core                  bool

	mu      sync.Mutex
	process *launcher.Process
	relays  []*relayer.Relay
	// life counts the starts of the process.
	life int
}

// At returns the node's address at one of its ports.
func (n *Node) At(port int) string { return fmt.Sprintf("%s:%d", n.Address, port) }

// Life returns how often the process was started.
func (n *Node) Life() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// Fleet is a set of nodes with the stand-ins of a platform around them.
type Fleet struct {
	Binary string
	Folder string
	// Core and Plain are the nodes with and without a disk.
	Core, Plain int
	WorkerCount int
	Seed        uint64

	// Seeds are the nodes that the settings name as seeds; nil stands for the first nodes with a disk.
	Seeds []*Node

	seedsMu sync.Mutex

	network string
	Network Network
	Nodes   []*Node
	Ledger  emulator.Ledger
	Workers []*emulator.Worker
	cloud   *httptest.Server
	ctx     context.Context
	cancel  context.CancelFunc
}

// Start starts every process and worker.
func (f *Fleet) Start() error {
	network, err := launcher.FreeNetwork()
	if err != nil {
		return fmt.Errorf("draw network: %w", err)
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	cloud := &emulator.Cloud{}
	f.cloud = httptest.NewServer(cloud)
	f.network = network
	for i := range f.Core + f.Plain {
		f.addNode(i < f.Core)
	}
	for _, n := range f.Nodes {
		if err := f.relay(n); err != nil {
			return err
		}
		if err := f.Launch(n, true); err != nil {
			return err
		}
	}
	rng := rand.New(rand.NewPCG(f.Seed, 5))
	for i := range f.WorkerCount {
		f.addWorker(i, rng)
	}
	cloud.Workers = f.Workers
	return nil
}

func (f *Fleet) addNode(core bool) *Node {
	const first, listen = 11, 111
	i := len(f.Nodes)
	n := &Node{
		Name: fmt.Sprintf("node-%d", i+1), Core: core,
		Address: fmt.Sprintf("%s.%d", f.network, first+i), Listen: fmt.Sprintf("%s.%d", f.network, listen+i),
	}
	f.Nodes = append(f.Nodes, n)
	return n
}

// AddCore starts another node with an empty disk beside the nodes of the first start.
func (f *Fleet) AddCore() (*Node, error) {
	n := f.addNode(true)
	if err := f.relay(n); err != nil {
		return n, err
	}
	return n, f.Launch(n, false)
}

func (f *Fleet) addWorker(i int, rng *rand.Rand) {
	w := &emulator.Worker{
		ID: fmt.Sprintf("i-%d", i), Machine: fmt.Sprintf("m-%d", i), Pool: Pool, Address: fmt.Sprintf("10.0.0.%d:80", i),
		CPU: 4000, Work: time.Duration(100+rng.IntN(300)) * time.Millisecond, StopTime: stopTime, Ledger: &f.Ledger, HTTP: &http.Client{},
	}
	for _, k := range rng.Perm(len(f.Nodes)) {
		w.Nodes = append(w.Nodes, f.Nodes[k].At(portControl))
	}
	f.Workers = append(f.Workers, w)
	go w.Run(f.ctx)
}

// stopTime is how long a worker takes to stop a run.
const stopTime = 300 * time.Millisecond

// Pool is the name of the workers' pool.
const Pool = "p"

func (f *Fleet) relay(n *Node) error {
	for _, port := range []int{portPeer, portFront, portReady, portControl} {
		r := &relayer.Relay{
			Target: manager.Address(fmt.Sprintf("%s:%d", n.Listen, port)), Listen: manager.Address(n.At(port)), Judge: f.Network.Judge(n.Listen),
		}
		if err := r.Run(); err != nil {
			return fmt.Errorf("relay to %s: %w", n.Name, err)
		}
		n.relays = append(n.relays, r)
	}
	return nil
}

// maxSeeds bounds the seeds that settings name.
const maxSeeds = 3

// settings returns a node's settings; found lets it found the group on an empty disk.
func (f *Fleet) settings(n *Node, found bool) configurer.FleetNode {
	s := configurer.FleetNode{
		Node: n.Name, AvailabilityZone: "z", Address: n.Address, Listen: n.Listen, PeerPort: portPeer, MetricsPort: portMetrics,
		Front: manager.Address(n.At(portFront)), Ready: manager.Address(n.At(portReady)), Control: manager.Address(n.At(portControl)),
		Found: found, PlatformAddress: manager.Address(strings.TrimPrefix(f.cloud.URL, "http://")),
		Stop: configurer.Stop{GraceMs: 6 * manager.Second},
		Work: configurer.FleetWork{MaxLeaseMs: 10 * manager.Second, StopMs: 900, DutyGapMs: manager.Second},
	}
	f.seedsMu.Lock()
	seeds := f.Seeds
	f.seedsMu.Unlock()
	if seeds == nil {
		seeds = f.Nodes[:min(maxSeeds, f.Core)]
	}
	for _, seed := range seeds {
		s.Seeds = append(s.Seeds, manager.Address(seed.At(portControl)))
	}
	if n.Core {
		s.DataFolder = f.disk(n)
	}
	return s
}

// Launch starts a node's process; found lets it found the group on an empty disk.
func (f *Fleet) Launch(n *Node, found bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = &launcher.Process{Binary: f.Binary, Folder: f.Folder, Node: n.Name, Command: "fleet", Settings: f.settings(n, found)}
	n.life++
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("launch: %w", err)
	}
	return nil
}

func (f *Fleet) disk(n *Node) string { return filepath.Join(f.Folder, "disk-"+n.Name) }

// Signal sends a signal to a node's process, if it runs.
func (f *Fleet) Signal(n *Node, s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return nil
	}
	return n.process.Signal(s)
}

// Kill ends a node's process at once.
func (f *Fleet) Kill(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	return n.process.Kill()
}

// Terminate asks a node's process to stop and waits for its end.
func (f *Fleet) Terminate(n *Node) error {
	if err := f.Signal(n, syscall.SIGTERM); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.process.Running() {
		return nil
	}
	return n.process.Wait()
}

// Wipe empties a node's disk; its process must not run.
func (f *Fleet) Wipe(n *Node) error {
	if err := os.RemoveAll(f.disk(n)); err != nil {
		return fmt.Errorf("wipe %s: %w", n.Name, err)
	}
	return nil
}

// Reset resets the connections to a node, or makes them silent.
func (f *Fleet) Reset(n *Node, silent bool) {
	for _, r := range n.relays {
		if silent {
			r.Silence()
			continue
		}
		r.Reset()
	}
}

// Close ends every process that Start or Launch has started.
func (f *Fleet) Close() error {
	f.cancel()
	var first error
	for _, n := range f.Nodes {
		_ = f.Signal(n, syscall.SIGCONT)
		if err := f.Kill(n); err != nil && first == nil {
			first = err
		}
		for _, r := range n.relays {
			r.Close()
		}
	}
	f.cloud.Close()
	return first
}
