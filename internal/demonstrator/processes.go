package demonstrator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"

	"github.com/mulberryhaven/mulberryhaven/internal/assembler"
	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	operatorToken = "demo-operator"
	peerToken     = "demo-peer"
	gatewayCount  = 2
	// controllerCount is the number of replicas of the state.
	controllerCount = 3
	rebootTime      = 300 * manager.Millisecond
	stopDelay       = 50 * manager.Millisecond
	stopGrace       = 10 * manager.Second
)

// freeAddresses returns loopback addresses that no one listens on now.
func freeAddresses(n int) ([]manager.Address, error) {
	list := make([]manager.Address, 0, n)
	for range n {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find free address: %w", err)
		}
		defer l.Close()
		list = append(list, manager.Address(l.Addr().String()))
	}
	return list, nil
}

// startProcesses starts the controller and then the gateways, each as a process would.
func (d *Demo) startProcesses(folder string, f manager.LoadFleet) error {
	addresses, err := freeAddresses(controllerCount + gatewayCount)
	if err != nil {
		return err
	}
	controllers, gateways := addresses[:controllerCount], addresses[controllerCount:]
	clock := timekeeper.New()
	platform := &faker.Platform{Clock: clock, RebootTime: rebootTime, Tenant: d.tenant}
	for _, v := range f.VMs {
		platform.Add(v)
	}
	worker := &faker.Worker{Clock: clock, RunTime: func(j manager.Job) manager.Duration { return j.DeclaredMs }}
	var settings []configurer.Settings
	for i := range controllers {
		settings = append(settings, controllerSettings(controllers, i, folder, f))
	}
	for i := range gateways {
		settings = append(settings, gatewaySettings(controllers, gateways, i))
	}
	for i, s := range settings {
		p := assembler.Process{Settings: s, Clock: clock, Seed: uint64(i), Platform: platform, Worker: worker}
		if err := d.startProcess(&p); err != nil {
			return fmt.Errorf("start %s: %w", s.Node, err)
		}
	}
	d.gateways = gateways
	return nil
}

func (d *Demo) startProcess(p *assembler.Process) error {
	if err := p.Settings.Validate(); err != nil {
		return err
	}
	s, err := p.Build()
	if err != nil {
		return err
	}
	d.processes = append(d.processes, s)
	return s.Start()
}

func commonSettings(node string, controllers []manager.Address) configurer.Settings {
	return configurer.Settings{
		Node: node, AvailabilityZone: zones[0],
		Tokens:      configurer.Tokens{Operator: operatorToken, Peer: peerToken},
		Controllers: controllers,
		Trace:       configurer.Trace{Exporter: configurer.TraceNone},
		Stop:        configurer.Stop{ReadyDelayMs: stopDelay, GraceMs: stopGrace},
	}
}

func controllerSettings(controllers []manager.Address, i int, folder string, f manager.LoadFleet) configurer.Settings {
	s := commonSettings(fmt.Sprintf("controller-%d", i+1), controllers)
	s.Services = []string{configurer.ServiceController}
	var replicas []configurer.Replica
	for j, a := range controllers {
		replicas = append(replicas, configurer.Replica{Replica: manager.ReplicaID(j + 1), Address: a, AvailabilityZone: zones[j%len(zones)]})
	}
	s.Controller = &configurer.Controller{
		Address: controllers[i], Replica: replicas[i].Replica, Replicas: replicas,
		DataFolder: filepath.Join(folder, s.Node), Fleet: f, Platform: configurer.Platform{Kind: configurer.PlatformFake},
	}
	return s
}

func gatewaySettings(controllers []manager.Address, gateways []manager.Address, i int) configurer.Settings {
	s := commonSettings(gatewayNode(i), controllers)
	s.Services = []string{configurer.ServiceGateway}
	var peers []configurer.Peer
	for j, a := range gateways {
		if j != i {
			peers = append(peers, configurer.Peer{Gateway: manager.GatewayID(gatewayNode(j)), Address: a})
		}
	}
	s.Gateway = &configurer.Gateway{
		Address: gateways[i], Peers: peers,
		DefaultDeadlineMs: configurer.DefaultDeadline, MaxBodyBytes: configurer.DefaultMaxBody,
	}
	return s
}

func gatewayNode(i int) string { return fmt.Sprintf("gateway-%d", i+1) }
