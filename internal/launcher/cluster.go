package launcher

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"

	"github.com/mulberryhaven/mulberryhaven/internal/caller"
	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Tokens of a cluster.
const (
	OperatorToken = "operator-token"
	PeerToken     = "peer-token"
	PlatformToken = "platform-token"
)

const (
	readyDelay = 1 * manager.Second
	stopGrace  = 20 * manager.Second
	// logVerbosity shows peers that are not reached, so that a test that fails once can be traced.
	logVerbosity = 2
)

// Cluster is a set of controllers and gateways, each a process, with relays between them.
type Cluster struct {
	Binary      string
	Folder      string
	Controllers int
	Gateways    int
	Zones       []manager.AvailabilityZone
	Fleet       manager.LoadFleet
	// Platform is the address of the stand-in platform.
	Platform manager.Address
	// Traces makes every process write its spans to a file.
	Traces bool
	// TLS is set on every listener.
	TLS *configurer.TLS

	Mesh      *Mesh
	Processes map[string]*Process

	controllers []string
	gateways    []string
}

// Start starts every process.
func (c *Cluster) Start() error {
	c.Mesh = &Mesh{}
	c.Processes = map[string]*Process{}
	for i := range c.Controllers {
		c.controllers = append(c.controllers, fmt.Sprintf("controller-%d", i+1))
	}
	for i := range c.Gateways {
		c.gateways = append(c.gateways, fmt.Sprintf("gateway-%d", i+1))
	}
	for _, node := range append(c.ControllerNames(), c.gateways...) {
		a, err := FreeAddress()
		if err != nil {
			return err
		}
		c.Mesh.Add(node, a)
	}
	for i, node := range c.controllers {
		s, err := c.controllerSettings(i, node)
		if err != nil {
			return err
		}
		if err := c.start(s); err != nil {
			return err
		}
	}
	for i, node := range c.gateways {
		s, err := c.gatewaySettings(i, node)
		if err != nil {
			return err
		}
		if err := c.start(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) start(s configurer.Settings) error {
	p := &Process{Binary: c.Binary, Folder: c.Folder, Node: s.Node, Command: "serve", Settings: s}
	c.Processes[s.Node] = p
	return p.Start()
}

// ControllerNames returns the nodes of the controllers.
func (c *Cluster) ControllerNames() []string { return append([]string{}, c.controllers...) }

// GatewayNames returns the nodes of the gateways.
func (c *Cluster) GatewayNames() []string { return append([]string{}, c.gateways...) }

// GatewayAddresses returns the addresses of the gateways as callers, operators and upstreams use them.
func (c *Cluster) GatewayAddresses() []manager.Address { return c.addresses(c.gateways) }

func (c *Cluster) addresses(nodes []string) []manager.Address {
	list := make([]manager.Address, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, c.Mesh.targets[node])
	}
	return list
}

// DataFolder is where a controller keeps its durable state.
func (c *Cluster) DataFolder(node string) string { return filepath.Join(c.Folder, "data-"+node) }

func (c *Cluster) zone(i int) manager.AvailabilityZone { return c.Zones[i%len(c.Zones)] }

func (c *Cluster) ways(from string, to []string) ([]manager.Address, error) {
	list := make([]manager.Address, 0, len(to))
	for _, node := range to {
		a, err := c.Mesh.Way(from, node)
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

func (c *Cluster) commonSettings(i int, node, service string) (configurer.Settings, error) {
	controllers, err := c.ways(node, c.controllers)
	s := configurer.Settings{
		Node: node, AvailabilityZone: c.zone(i), Services: []string{service},
		Tokens:      configurer.Tokens{Operator: OperatorToken, Peer: PeerToken},
		Controllers: controllers,
		Stop:        configurer.Stop{ReadyDelayMs: readyDelay, GraceMs: stopGrace},
		Log:         configurer.Log{Verbosity: logVerbosity},
	}
	if c.Traces {
		s.Trace = configurer.Trace{Exporter: configurer.TraceFile, File: c.TraceFile(node)}
	}
	return s, err
}

// TraceFile is where a process writes its spans.
func (c *Cluster) TraceFile(node string) string { return filepath.Join(c.Folder, "trace-"+node) }

func (c *Cluster) controllerSettings(i int, node string) (configurer.Settings, error) {
	s, err := c.commonSettings(i, node, configurer.ServiceController)
	if err != nil {
		return s, err
	}
	s.Controller = &configurer.Controller{
		Address: c.Mesh.targets[node], Replica: manager.ReplicaID(i + 1), DataFolder: c.DataFolder(node), Fleet: c.Fleet, TLS: c.TLS,
		Platform: configurer.Platform{Kind: configurer.PlatformNone},
	}
	if c.Platform != "" {
		s.Controller.Platform = configurer.Platform{Kind: configurer.PlatformHTTP, Address: c.Platform, Token: PlatformToken}
	}
	for j, a := range s.Controllers {
		s.Controller.Replicas = append(s.Controller.Replicas, configurer.Replica{
			Replica: manager.ReplicaID(j + 1), Address: a, AvailabilityZone: c.zone(j),
		})
	}
	return s, nil
}

func (c *Cluster) gatewaySettings(i int, node string) (configurer.Settings, error) {
	s, err := c.commonSettings(i, node, configurer.ServiceGateway)
	if err != nil {
		return s, err
	}
	var others []string
	for _, other := range c.gateways {
		if other != node {
			others = append(others, other)
		}
	}
	peers, err := c.ways(node, others)
	s.Gateway = &configurer.Gateway{Address: c.Mesh.targets[node], TLS: c.TLS}
	for i, a := range peers {
		s.Gateway.Peers = append(s.Gateway.Peers, configurer.Peer{Gateway: manager.GatewayID(others[i]), Address: a})
	}
	return s, err
}

// Operator returns an operators' client of a gateway.
func (c *Cluster) Operator(gateway string) *caller.Client {
	return &caller.Client{URL: "http://" + string(c.Mesh.targets[gateway]), Token: OperatorToken}
}

// Leader returns the controller that says it leads, or "" if none does.
func (c *Cluster) Leader(ctx context.Context) string {
	for _, node := range c.controllers {
		if c.Processes[node].Running() && c.leads(ctx, node) {
			return node
		}
	}
	return ""
}

func (c *Cluster) leads(ctx context.Context, node string) bool {
	const patience = 2 * manager.Second
	ctx, cancel := context.WithTimeout(ctx, patience.Std())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.Mesh.targets[node])+proposer.PathGateways, nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+PeerToken)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close kills every process that runs and ends the relays.
func (c *Cluster) Close() error {
	var first error
	for _, p := range c.Processes {
		if err := p.Kill(); err != nil && first == nil {
			first = err
		}
	}
	c.Mesh.Close()
	return first
}
