package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Service is the controller.
type Service struct {
	Settings   configurer.Settings
	Clock      manager.Clock
	Store      storer.Store
	Maintainer manager.Maintainer
	// Maintenance answers questions on reserves and moves; nil on a controller without a platform.
	Maintenance *MaintenanceLoop
	// Demand collects what the gateways report.
	Demand *DemandTable
	// Explainer says what a job waits for; nil leaves it open.
	Explainer manager.Explainer

	server *listener.Server
}

var _ supervisor.Service = (*Service)(nil)

// Name returns the service's name.
func (s *Service) Name() string { return configurer.ServiceController }

// Needs returns no services.
func (s *Service) Needs() []string { return nil }

// Start serves the controller's endpoints.
func (s *Service) Start(*supervisor.Registry) error {
	e := listener.NewEcho()
	listener.AddHealth(e, s.ready)
	s.addRoutes(e.Group("/control", listener.Bearer(s.Settings.Tokens.Peer)))
	cfg := s.Settings.Controller
	s.server = &listener.Server{Address: cfg.Address, TLS: cfg.TLS, Echo: e}
	if err := s.server.Start(); err != nil {
		return fmt.Errorf("serve controller: %w", err)
	}
	return nil
}

// Stop hands leadership over and ends the listener and the store.
func (s *Service) Stop(stop <-chan struct{}) error {
	s.stepDown(stop)
	var failures []error
	if s.server != nil {
		failures = append(failures, s.server.Stop(stop))
	}
	failures = append(failures, s.Store.Close())
	if err := errors.Join(failures...); err != nil {
		return fmt.Errorf("stop controller: %w", err)
	}
	return nil
}

// ready tells why this controller can't take part, such as a lost disk.
func (s *Service) ready() error {
	if p, ok := s.Store.(storer.Peer); ok {
		return p.Ready()
	}
	return nil
}

// stepDownLimit bounds the hand-over of leadership at a planned stop; after it the others elect.
const stepDownLimit = 2 * manager.Second

// stepDown hands leadership over while the listener still serves the other replicas.
func (s *Service) stepDown(stop <-chan struct{}) {
	p, ok := s.Store.(storer.Peer)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepDownLimit.Std())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	p.StepDown(ctx)
}
