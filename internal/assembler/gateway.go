package assembler

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/internal/gateway"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/lender"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/limiter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

// connectionsPerPeer bounds the idle connections kept to one of the system's own processes.
const connectionsPerPeer = 16

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerPeer}}
}

// newPeerClient returns a client of the system's own processes.
func newPeerClient(dial listener.Dial) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connectionsPerPeer, DisableCompression: true, DialContext: dial,
	}}
}

func (p *Process) buildGateway() (*gateway.Service, error) {
	cfg := p.Settings.Gateway
	dial, err := listener.PeerDial(cfg.TLS)
	if err != nil {
		return nil, fmt.Errorf("reach peers: %w", err)
	}
	start := newStart()
	self := manager.GatewayID(p.Settings.Node)
	addresses := make(map[manager.GatewayID]manager.Address, len(cfg.Peers))
	for _, peer := range cfg.Peers {
		addresses[peer.Gateway] = peer.Address
	}
	table := &gateway.LockedRegistrar{Inner: &registrar.Table{Gateway: self, Start: start}}
	keeper := &gateway.LockedKeeper{Inner: &lender.Leaser{
		Self: self, Gateways: slices.Sorted(maps.Keys(addresses)), Start: start, Registrar: table, Deadline: cfg.DefaultDeadlineMs,
	}}
	return &gateway.Service{
		Settings:  p.Settings,
		Clock:     p.Clock,
		Registrar: table,
		Slots:     keeper,
		Limiter: &limiter.Deadline{
			Registrar: table,
			Slots:     keeper,
			Router: &router.Balanced{
				Source: rand.New(rand.NewPCG(p.Seed, 1)), AvailabilityZone: p.Settings.AvailabilityZone,
			},
		},
		Retrier:   &retrier.Budget{Rand: rand.New(rand.NewPCG(p.Seed, 2))},
		Client:    &proposer.Client{Controllers: p.Settings.Controllers, Token: p.Settings.Tokens.Peer, HTTP: newPeerClient(dial)},
		Peers:     newPeerClient(dial),
		Addresses: addresses,
	}, nil
}

// newStart returns an id that no earlier start of this gateway had.
func newStart() manager.StartID {
	id := uuid.New()
	return manager.StartID(binary.BigEndian.Uint32(id[:4]))
}
