package configurer

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxQuotedBytes limits what an error quotes of a value.
const maxQuotedBytes = 80

// FleetNode are the settings of a process that runs on a platform's entry VM.
type FleetNode struct {
	// Node names this VM in logs and in orders to the platform.
	Node             string
	AvailabilityZone manager.AvailabilityZone
	// Address is this VM's IP address, as other nodes reach it.
	Address string
	// Listen is the IP address that the node listens on and calls from, where that is another one; empty
	// stands for Address, and leaves the choice for calls to the system.
	Listen string `json:",omitempty"`
	// PeerPort is the port for other nodes; it is the same on every node.
	PeerPort    uint16
	MetricsPort uint16
	// Front takes callers, Ready the balancer's probes, Control workers and operators.
	Front   manager.Address
	Ready   manager.Address
	Control manager.Address
	// Seeds are addresses of some nodes; their ports are not used.
	Seeds []manager.Address
	// DataFolder is empty on a node without a disk, which holds no replica.
	DataFolder string
	// Found lets the seeds found the replica group on empty disks.
	Found           bool
	DiskMegaBytes   int64
	MemoryMegaBytes int64
	// MaxDescriptors bounds the process's files and connections; 0 stands for no known bound.
	MaxDescriptors  int `json:",omitempty"`
	PlatformAddress manager.Address
	// AdvisorAddress is the service that permits workers to run the steps of some queues.
	AdvisorAddress manager.Address `json:",omitempty"`
	Stop           Stop
	Work           FleetWork
	Log            Log `json:",omitzero"`
}

// FleetWork bounds the work on the fleet.
type FleetWork struct {
	// MaxLeaseMs is the longest lease that workers take.
	MaxLeaseMs manager.Duration
	// StopMs is how long a worker takes to stop a task.
	StopMs manager.Duration
	// DutyGapMs is the least time between two dispatchers' orders for one VM.
	DutyGapMs manager.Duration
	// RemoteFactor is how many times as long a task takes that runs remote from its data or its group. Up to 1, tasks don't
	// wait for capacity near them.
	RemoteFactor float64 `json:",omitempty"`
}

// ReadFleetNode reads and checks a settings file.
func ReadFleetNode(file string) (FleetNode, error) { return readFleetNode(file, false) }

// ReloadFleetNode reads and checks a settings file for a process that runs, which founds no group any more.
func ReloadFleetNode(file string) (FleetNode, error) { return readFleetNode(file, true) }

func readFleetNode(file string, running bool) (FleetNode, error) {
	var s FleetNode
	data, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	if err := Decode(bytes.NewReader(data), &s); err != nil {
		return s, fmt.Errorf("settings in %s: %w", file, err)
	}
	s.Found = s.Found && !running
	if err := s.Validate(); err != nil {
		return s, fmt.Errorf("settings in %s: %w", file, err)
	}
	return s, nil
}

// Validate returns the first field that breaks a rule.
func (s FleetNode) Validate() error {
	if s.Node == "" {
		return invalid("Node", "is missing: expected the name of this VM")
	}
	if _, err := netip.ParseAddr(s.Address); err != nil {
		return invalid("Address", "is %q: expected this VM's IP address", s.Address)
	}
	if _, err := netip.ParseAddr(s.Listen); s.Listen != "" && err != nil {
		return invalid("Listen", "is %q: expected an IP address of this VM, or nothing", s.Listen)
	}
	if s.PeerPort == 0 {
		return invalid("PeerPort", "is missing: expected the port for other nodes")
	}
	for field, a := range map[string]manager.Address{"Front": s.Front, "Ready": s.Ready, "Control": s.Control} {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return invalid(field, "is %q: expected an IP address and port", a)
		}
	}
	if s.MaxDescriptors < 0 {
		return invalid("MaxDescriptors", "is %d: expected the bound of open files and connections, or 0", s.MaxDescriptors)
	}
	if len(s.Seeds) == 0 {
		return invalid("Seeds", "is empty: expected the address of at least one node")
	}
	// Nodes that found the group from different lists would form several groups. Otherwise one seed is enough.
	founds, unusable := s.Found && s.DataFolder != "", s.UnusableSeeds()
	if len(unusable) > 0 && (founds || len(unusable) == len(s.Seeds)) {
		return invalid(fmt.Sprintf("Seeds[%d]", unusable[0]), "is %.*q: expected an IP address and port", maxQuotedBytes, s.Seeds[unusable[0]])
	}
	if s.Work.MaxLeaseMs <= 0 || s.Work.StopMs <= 0 || s.Work.DutyGapMs <= 0 {
		return invalid("Work", "has a bound that is not above 0")
	}
	if f := s.Work.RemoteFactor; f < 0 || math.IsNaN(f) || math.IsInf(f, 0) {
		return invalid("Work.RemoteFactor", "is %v: expected a finite number, 0 or more", f)
	}
	return nil
}

// Peer returns this node's address for other nodes.
func (s FleetNode) Peer() manager.Address { return s.peerAt(netip.MustParseAddr(s.Address)) }

// Bind returns where this node listens for what others reach at an address.
func (s FleetNode) Bind(a manager.Address) manager.Address {
	if s.Listen == "" {
		return a
	}
	port := netip.MustParseAddrPort(string(a)).Port()
	return manager.Address(netip.AddrPortFrom(netip.MustParseAddr(s.Listen), port).String())
}

// SeedPeers returns the usable seeds' addresses for other nodes, in the order of the settings.
func (s FleetNode) SeedPeers() []manager.Address {
	list := make([]manager.Address, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if a, ok := seedAddress(seed); ok {
			list = append(list, s.peerAt(a))
		}
	}
	return list
}

// UnusableSeeds returns the indexes of the seeds without an IP address.
func (s FleetNode) UnusableSeeds() []int {
	var list []int
	for i, seed := range s.Seeds {
		if _, ok := seedAddress(seed); !ok {
			list = append(list, i)
		}
	}
	return list
}

// seedAddress returns the IP address of a seed; its port is not used and may be anything.
func seedAddress(seed manager.Address) (netip.Addr, bool) {
	host, _, err := net.SplitHostPort(string(seed))
	if err != nil {
		host = string(seed)
	}
	a, err := netip.ParseAddr(host)
	return a, err == nil
}

func (s FleetNode) peerAt(a netip.Addr) manager.Address {
	return manager.Address(netip.AddrPortFrom(a, s.PeerPort).String())
}
