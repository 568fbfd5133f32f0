package assembler

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"

	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/internal/gateway"
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

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerPeer, DisableCompression: true}}
}

func (p *Process) buildGateway() *gateway.Service {
	cfg := p.Settings.Gateway
	start := newStart()
	table := &gateway.LockedRegistrar{Inner: &registrar.Table{Gateway: manager.GatewayID(p.Settings.Node), Start: start}}
	keeper := &gateway.LockedKeeper{Inner: &lender.Keeper{
		Self: cfg.Address, Gateways: cfg.Peers, Start: start, Registrar: table, Deadline: cfg.DefaultDeadlineMs,
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
		Retrier: &retrier.Budget{Source: rand.New(rand.NewPCG(p.Seed, 2))},
		Client:  &proposer.Client{Controllers: p.Settings.Controllers, Token: p.Settings.Tokens.Peer, HTTP: newClient()},
		Peers:   newPeerClient(),
	}
}

// newStart returns an id that no earlier start of this gateway had.
func newStart() manager.StartID {
	id := uuid.New()
	return manager.StartID(binary.BigEndian.Uint32(id[:4]))
}
