package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/internal/forwarder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// peerPeriod is the pause between two looks at the messages due to peers; it adds to the time that
	// a waiting request needs to borrow a slot.
	peerPeriod = 10 * manager.Millisecond
	// tickPeriod is the pause between two looks at waiting requests.
	tickPeriod = 10 * manager.Millisecond
	// idleTicks is how many of the looks above a gateway without requests leaves out between two; with
	// more, membership and leases are renewed late.
	idleTicks = 9
	// reportPeriod is the pause between two reports to the controllers.
	reportPeriod = 1 * manager.Second
)

// Service is the gateway.
type Service struct {
	Settings  configurer.Settings
	Clock     manager.Clock
	Registrar manager.Registrar
	Limiter   manager.Limiter
	Slots     manager.SlotLeaser
	Retrier   manager.Retrier
	Client    *proposer.Client
	// Peers is the HTTP client for the other gateways.
	Peers *http.Client
	// Addresses are where the other gateways are reached.
	Addresses map[manager.GatewayID]manager.Address

	server        *listener.Server
	dispatcher    *forwarder.Dispatcher
	connector     *connector.Connector
	claims        *forwarder.ClaimQueue
	configuration *configurationKeeper
	peers         *peerLoop
	stopping      chan struct{}
	preparing     sync.Once
	cancel        context.CancelFunc
	loops         sync.WaitGroup
}

var (
	_ supervisor.Service      = (*Service)(nil)
	_ supervisor.StopPreparer = (*Service)(nil)
)

// Name returns the service's name.
func (s *Service) Name() string { return configurer.ServiceGateway }

// Needs returns no services: the controllers may run elsewhere.
func (s *Service) Needs() []string { return nil }

// Start serves callers, operators, upstreams and peers.
func (s *Service) Start(*supervisor.Registry) error {
	s.stopping = make(chan struct{})
	s.dispatcher = &forwarder.Dispatcher{Clock: s.Clock, Limiter: s.Limiter}
	s.connector = &connector.Connector{Clock: s.Clock}
	s.connector.Start()
	s.claims = &forwarder.ClaimQueue{Proposer: s.Client}
	s.configuration = &configurationKeeper{gateway: manager.GatewayID(s.Settings.Node), clock: s.Clock, client: s.Client}
	s.peers = &peerLoop{
		registrar: s.Registrar, slots: s.Slots, clock: s.Clock, client: s.Peers, token: s.Settings.Tokens.Peer,
		changed: s.dispatcher.Tick, addresses: s.Addresses,
	}
	e := listener.NewEcho()
	listener.AddHealth(e, s.ready)
	s.addRoutes(e)
	cfg := s.Settings.Gateway
	s.server = &listener.Server{Address: cfg.Address, TLS: cfg.TLS, Echo: e}
	if err := s.server.Start(); err != nil {
		s.connector.Stop()
		return fmt.Errorf("serve gateway: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.loops.Go(func() { s.configuration.run(ctx) })
	s.loops.Go(func() { timekeeper.Every(ctx.Done(), tickPeriod, s.whenBusy(s.dispatcher.Tick)) })
	s.loops.Go(func() { timekeeper.Every(ctx.Done(), reportPeriod, func() { s.report(ctx) }) })
	s.loops.Go(func() { timekeeper.Every(ctx.Done(), peerPeriod, s.whenBusy(func() { s.peers.send(ctx) })) })
	return nil
}

// whenBusy returns f for a loop that does all its turns only while the gateway has requests.
func (s *Service) whenBusy(f func()) func() {
	left := 0
	return func() {
		if left > 0 && s.dispatcher.Idle() {
			left--
			return
		}
		left = idleTicks
		f()
	}
}

func (s *Service) addRoutes(e *echo.Echo) {
	cfg := s.Settings.Gateway
	f := &forwarder.Forwarder{
		Gateway:         manager.GatewayID(s.Settings.Node),
		Clock:           s.Clock,
		Dispatcher:      s.dispatcher,
		Retrier:         s.Retrier,
		Claims:          s.claims,
		Exchanger:       s.connector,
		Gateways:        len(cfg.Peers) + 1,
		MaxBodyBytes:    cfg.MaxBodyBytes,
		DefaultDeadline: cfg.DefaultDeadlineMs,
		Ready:           s.accepting,
	}
	e.Any("/services/:Service", f.Handle)
	e.Any("/services/:Service/*", f.Handle)
	e.POST("/announce", announceHandler(s.Registrar, s.Clock))
	e.POST(pathPeer, s.peers.handle, listener.Bearer(s.Settings.Tokens.Peer))
	api := &operator.API{Client: s.Client, Upstreams: func() []manager.Member { return s.Registrar.All(s.Clock.Now()) }}
	api.AddRoutes(e.Group("/api", listener.Bearer(s.Settings.Tokens.Operator)))
}

// Addr returns the address that the gateway listens on.
func (s *Service) Addr() manager.Address { return s.server.Addr() }

// ready tells the balancer whether to bring work.
func (s *Service) ready() error {
	select {
	case <-s.stopping:
		return manager.ErrUnavailable{Component: "gateway", Reason: "it is stopping"}
	default:
	}
	if _, err := s.accepting(); err != nil {
		return err
	}
	if !s.Slots.HasLease(s.Clock.Now()) {
		return manager.ErrUnavailable{Component: "slots", Reason: "no majority of the gateways supports this one"}
	}
	return nil
}

// accepting tells the forwarder whether it may take work: a stopping gateway still does, as the
// balancer may not have noticed yet.
func (s *Service) accepting() (manager.RefusalCode, error) {
	if !s.configuration.inForce() {
		return manager.RefusalStale, manager.ErrUnavailable{Component: "configuration", Reason: "its lease ran out"}
	}
	return "", nil
}

// PrepareStop fails /readyz.
func (s *Service) PrepareStop() {
	s.preparing.Do(func() {
		if s.stopping != nil {
			close(s.stopping)
		}
	})
	if s.server != nil {
		s.server.PrepareStop()
	}
}

// Stop waits for the requests in flight and ends the loops.
func (s *Service) Stop(stop <-chan struct{}) error {
	var err error
	if s.server != nil {
		err = s.server.Stop(stop)
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.loops.Wait()
	if s.connector != nil {
		s.connector.Stop()
		s.claims.Stop()
	}
	if s.peers != nil {
		s.peers.stop()
	}
	if err != nil {
		return fmt.Errorf("stop gateway's listener: %w", err)
	}
	return nil
}
