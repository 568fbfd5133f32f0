package controller

import (
	"context"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Conductor is the service that runs the fleet beside a controller while that leads.
type Conductor struct {
	Clock manager.Clock
	// Fleet is loaded into the state where that does not know it.
	Fleet manager.LoadFleet
	// Loops are what the leader repeats, such as maintenance and placement.
	Loops []Loop

	store  storer.Store
	cancel context.CancelFunc
	work   sync.WaitGroup
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

var _ supervisor.Service = (*Conductor)(nil)

// Name returns the service's name.
func (c *Conductor) Name() string { return "conductor" }

// Needs names the controller, whose store the loops use.
func (c *Conductor) Needs() []string { return []string{configurer.ServiceController} }

// Start finds the controller and starts the loops on its store.
func (c *Conductor) Start(r *supervisor.Registry) error {
	s, err := supervisor.Find[*Service](r, configurer.ServiceController)
	if err != nil {
		return fmt.Errorf("find controller: %w", err)
	}
	c.store = s.Store
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.work.Go(func() { c.loadFleet(ctx) })
	for _, l := range c.Loops {
		c.work.Go(func() { c.runLoop(ctx, l) })
	}
	return nil
}

// Stop ends the loops before the controller hands leadership over.
func (c *Conductor) Stop(<-chan struct{}) error {
	if c.cancel != nil {
		c.cancel()
	}
	c.work.Wait()
	return nil
}

// loadFleet proposes the settings' fleet until it is committed; what the state knows already stays. While another
// controller leads, it waits: that one may be lost before it has committed its own settings' fleet.
func (c *Conductor) loadFleet(ctx context.Context) {
	if len(c.Fleet.Pools) == 0 {
		return
	}
	for ctx.Err() == nil {
		if c.otherLeads() {
			sleep(ctx, manager.Second)
			continue
		}
		result, err := c.store.Propose(ctx, manager.Command{At: c.Clock.Now(), LoadFleet: &c.Fleet})
		if err == nil && result.Failure != nil {
			klog.ErrorS(result.Failure.Err(), "Fleet of the settings was refused")
		}
		if err == nil {
			return
		}
		sleep(ctx, manager.Second)
	}
}

// otherLeads tells whether another controller leads, which then loads its own settings' fleet.
func (c *Conductor) otherLeads() bool {
	a, leads := c.store.Leader()
	return a != "" && !leads
}

func (c *Conductor) runLoop(ctx context.Context, l Loop) {
	for ctx.Err() == nil {
		if _, leads := c.store.Leader(); leads {
			if err := l.Step(ctx, c.Clock.Now(), c.store); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "Loop failed", "Loop", l.Name())
			}
		}
		sleep(ctx, l.Period())
	}
}
