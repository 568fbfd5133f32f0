package controller

import (
	"context"
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// configurationLease is how long a gateway may use a configuration after its leader's leadership
	// was confirmed; it bounds the time in which an accepted change is not in force at a gateway
	// that was cut off.
	configurationLease = 4 * manager.Second
	// maxWait bounds how long a request for a newer configuration is held.
	maxWait = 1 * manager.Second
)

// configuration answers once there is a newer configuration or the wait is over. The read is
// confirmed after the wait, so that the lease may count from then.
func (s *Service) configuration(c echo.Context) error {
	var r proposer.ConfigurationRequest
	if err := listener.Decode(c, maxMessageBytes, &r); err != nil {
		return err
	}
	if err := s.checkLeader(); err != nil {
		return err
	}
	arrived := s.Clock.Now()
	ctx, cancel := context.WithTimeout(c.Request().Context(), min(r.WaitMs, maxWait).Std())
	defer cancel()
	s.Store.Wait(ctx, r.After)
	held := s.Clock.Now().Sub(arrived)
	cfg, err := readConfiguration(c.Request().Context(), s.Store, r.After)
	if err != nil {
		return err
	}
	cfg.HeldMs = held
	return c.JSON(http.StatusOK, cfg)
}

// readConfiguration reads what a gateway needs that has the configuration of a revision already.
func readConfiguration(ctx context.Context, s storer.Store, has manager.Revision) (proposer.Configuration, error) {
	var f manager.Fleet
	read := func(a manager.Applier) { f = a.Fleet() }
	if err := storer.ReadAtHeartbeat(ctx, s, read); err != nil {
		return proposer.Configuration{}, fmt.Errorf("read configuration: %w", err)
	}
	cfg := proposer.Configuration{Revision: f.Configuration, LeaseMs: configurationLease}
	if f.Configuration == has {
		cfg.Unchanged = true
		return cfg, nil
	}
	cfg.Profiles, cfg.Pools = f.Profiles, f.Pools
	return cfg, nil
}
