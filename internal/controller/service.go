package controller

import (
	"context"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Service is the controller.
type Service struct {
	Settings configurer.Settings
	Clock    manager.Clock
	Store    storer.Store
	// Loops are what the leader repeats, such as maintenance and placement.
	Loops      []Loop
	Maintainer manager.Maintainer
	// Maintenance answers questions on reserves and moves; nil on a controller without a platform.
	Maintenance *MaintenanceLoop
	// Demand collects what the gateways report.
	Demand *DemandTable
	// Explainer says what a job waits for; nil leaves it open.
	Explainer manager.Explainer

	server *listener.Server
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Loop is work that the leader repeats.
type Loop interface {
	// Name is used in logs.
	Name() string
	// Period is the pause between two steps.
	Period() manager.Duration
	// Step does what the state calls for now.
	Step(ctx context.Context, now manager.Time, s storer.Store) error
}

var _ supervisor.Service = (*Service)(nil)

// Name returns the service's name.
func (s *Service) Name() string { return configurer.ServiceController }

// Needs returns no services.
func (s *Service) Needs() []string { return nil }

// Start serves the controller's endpoints and starts the loops.
func (s *Service) Start(*supervisor.Registry) error {
	e := listener.NewEcho()
	listener.AddHealth(e, func() error { return nil })
	s.addRoutes(e.Group("/control", listener.Bearer(s.Settings.Tokens.Peer)))
	cfg := s.Settings.Controller
	s.server = &listener.Server{Address: cfg.Address, TLS: cfg.TLS, Echo: e}
	if err := s.server.Start(); err != nil {
		return fmt.Errorf("serve controller: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.loops.Go(func() { s.loadFleet(ctx) })
	for _, l := range s.Loops {
		s.loops.Go(func() { s.runLoop(ctx, l) })
	}
	return nil
}

// Stop ends the loops, the listener and the store.
func (s *Service) Stop(stop <-chan struct{}) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.loops.Wait()
	if s.server != nil {
		if err := s.server.Stop(stop); err != nil {
			return fmt.Errorf("stop controller's listener: %w", err)
		}
	}
	if err := s.Store.Close(); err != nil {
		return fmt.Errorf("close store: %w", err)
	}
	return nil
}

// loadFleet proposes the settings' fleet until it is committed; what the state knows already stays.
func (s *Service) loadFleet(ctx context.Context) {
	fleet := s.Settings.Controller.Fleet
	if len(fleet.Pools) == 0 {
		return
	}
	for ctx.Err() == nil {
		result, err := s.Store.Propose(ctx, manager.Command{At: s.Clock.Now(), LoadFleet: &fleet})
		if err == nil && result.Failure != nil {
			klog.ErrorS(result.Failure.Err(), "Fleet of the settings was refused")
		}
		if err == nil || manager.IsErrNotLeader(err) {
			return
		}
		sleep(ctx, manager.Second)
	}
}

func (s *Service) runLoop(ctx context.Context, l Loop) {
	for ctx.Err() == nil {
		if _, leads := s.Store.Leader(); leads {
			if err := l.Step(ctx, s.Clock.Now(), s.Store); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "Loop failed", "Loop", l.Name())
			}
		}
		sleep(ctx, l.Period())
	}
}
