package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Supervisor runs the services of a process.
type Supervisor struct {
	Services []Service
	// ReadyDelay is how long the process still serves after /readyz began to fail; with less, the
	// balancer may send work to a closed listener.
	ReadyDelay manager.Duration
	// Grace bounds a planned stop; work in flight after it is cut and logged.
	Grace manager.Duration

	registry Registry
	started  []Service
}

// Run starts the services, waits until ctx ends and stops them; force cuts the stop short.
func (s *Supervisor) Run(ctx context.Context, force <-chan struct{}) error {
	if err := s.Start(); err != nil {
		return errors.Join(err, s.Stop(force))
	}
	<-ctx.Done()
	return s.Stop(force)
}

// Start starts the services in the order of their needs.
func (s *Supervisor) Start() error {
	order, err := startOrder(s.Services)
	if err != nil {
		return fmt.Errorf("order services: %w", err)
	}
	s.registry.services = make(map[string]Service, len(order))
	for _, service := range order {
		s.registry.services[service.Name()] = service
	}
	for _, service := range order {
		if err := service.Start(&s.registry); err != nil {
			return fmt.Errorf("start service %q: %w", service.Name(), err)
		}
		s.started = append(s.started, service)
		klog.InfoS("Service started", "Service", service.Name())
	}
	return nil
}

// Stop prepares every service for the stop, waits for the balancer and stops them in reverse order.
func (s *Supervisor) Stop(force <-chan struct{}) error {
	if len(s.started) == 0 {
		return nil
	}
	for _, service := range s.started {
		if p, ok := service.(StopPreparer); ok {
			p.PrepareStop()
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	defer close(done)
	go endGrace(stop, done, force, s.ReadyDelay+s.Grace)
	waitFor(s.ReadyDelay, stop)
	var failures []error
	for i := len(s.started) - 1; i >= 0; i-- {
		failures = append(failures, stopOne(s.started[i], stop))
	}
	s.started = nil
	return errors.Join(failures...)
}

// endGrace closes stop at a second signal or when the grace is over.
func endGrace(stop chan<- struct{}, done, force <-chan struct{}, grace manager.Duration) {
	t := time.NewTimer(grace.Std())
	defer t.Stop()
	select {
	case <-done:
	case <-force:
		close(stop)
	case <-t.C:
		close(stop)
	}
}

func waitFor(d manager.Duration, stop <-chan struct{}) {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-t.C:
	case <-stop:
	}
}

func stopOne(s Service, stop <-chan struct{}) error {
	if err := s.Stop(stop); err != nil {
		klog.ErrorS(err, "Service stopped with work cut", "Service", s.Name())
		return fmt.Errorf("stop service %q: %w", s.Name(), err)
	}
	klog.InfoS("Service stopped", "Service", s.Name())
	return nil
}

// startOrder sorts services so that each comes after those it needs, by name where either may go first.
func startOrder(services []Service) ([]Service, error) {
	byName := make(map[string]Service, len(services))
	for _, s := range services {
		if _, ok := byName[s.Name()]; ok {
			return nil, manager.ErrConflict{Kind: "service", Name: s.Name(), Reason: "is named twice"}
		}
		byName[s.Name()] = s
	}
	o := orderer{byName: byName, state: map[string]visit{}}
	for _, s := range services {
		if err := o.visit(s.Name()); err != nil {
			return nil, err
		}
	}
	return o.order, nil
}

type visit int

const (
	visitNone visit = iota
	visitOpen
	visitDone
)

type orderer struct {
	byName map[string]Service
	state  map[string]visit
	order  []Service
}

func (o *orderer) visit(name string) error {
	s, ok := o.byName[name]
	switch {
	case !ok:
		return manager.ErrNotExist{Kind: "service", Name: name}
	case o.state[name] == visitDone:
		return nil
	case o.state[name] == visitOpen:
		return manager.ErrConflict{Kind: "service", Name: name, Reason: "needs itself"}
	}
	o.state[name] = visitOpen
	for _, need := range s.Needs() {
		if err := o.visit(need); err != nil {
			return fmt.Errorf("needed by %q: %w", name, err)
		}
	}
	o.state[name] = visitDone
	o.order = append(o.order, s)
	return nil
}
