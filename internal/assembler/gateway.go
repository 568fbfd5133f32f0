package assembler

import (
	"math/rand/v2"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/gateway"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
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

func (p *Process) buildGateway() *gateway.Service {
	table := &registrar.Table{Gateway: manager.GatewayID(p.Settings.Node)}
	return &gateway.Service{
		Settings:  p.Settings,
		Clock:     p.Clock,
		Registrar: table,
		Limiter: &limiter.Fixed{
			Registrar: table,
			Router:    &router.Random{Source: rand.New(rand.NewPCG(p.Seed, 1))},
		},
		Retrier: retrier.Once{},
		Client:  &proposer.Client{Controllers: p.Settings.Controllers, Token: p.Settings.Tokens.Peer, HTTP: newClient()},
		Peers:   newClient(),
	}
}
