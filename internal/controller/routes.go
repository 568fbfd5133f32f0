package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// configurationLease is how long a gateway may use a configuration after it asked for it; it
	// bounds the time in which an accepted change is not in force at a gateway that was cut off.
	configurationLease = 4 * manager.Second
	// maxWait bounds how long a request for a newer configuration is held.
	maxWait = 1 * manager.Second
	// maxMessageBytes bounds a peer's message.
	maxMessageBytes = 32 << 20
)

func (s *Service) addRoutes(g *echo.Group) {
	g.Use(trace)
	g.POST("/propose", s.propose)
	g.GET("/fleet", s.fleet)
	g.GET("/history", s.history)
	g.GET("/job", s.job)
	g.GET("/gateways", s.gateways)
	g.POST("/plan", s.plan)
	g.POST("/preview", s.preview)
	g.GET("/reserves", s.reserves)
	g.POST("/configuration", s.configuration)
	g.POST("/demand", s.demand)
}

// trace wraps each call in a span that continues the caller's trace.
func trace(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		ctx, span := tracer.Start(tracer.Extract(r.Context(), r.Header), "controller "+c.Path(), attribute.String("url.path", r.URL.Path))
		c.SetRequest(r.WithContext(ctx))
		err := next(c)
		tracer.End(span, err)
		return err
	}
}

func decode(c echo.Context, v any) error {
	r := c.Request()
	if err := configurer.Decode(http.MaxBytesReader(c.Response(), r.Body, maxMessageBytes), v); err != nil {
		return errors.Join(manager.ErrInvalid{Field: "body", Reason: err.Error()}, err)
	}
	return nil
}

// checkLeader refuses calls that only the leader can answer.
func (s *Service) checkLeader() error {
	if a, leads := s.Store.Leader(); !leads {
		return manager.ErrNotLeader{Leader: a}
	}
	return nil
}

func (s *Service) propose(c echo.Context) error {
	var command manager.Command
	if err := decode(c, &command); err != nil {
		return err
	}
	start := s.Clock.Now()
	command.At = start
	result, err := s.Store.Propose(c.Request().Context(), command)
	if err != nil {
		meter.Commands("failed").Inc()
		return fmt.Errorf("propose: %w", err)
	}
	meter.Commands("committed").Inc()
	meter.CommitSeconds().Update(s.Clock.Now().Sub(start).Std().Seconds())
	return c.JSON(http.StatusOK, result)
}

func (s *Service) fleet(c echo.Context) error {
	f, err := readFleet(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, f)
}

func (s *Service) history(c echo.Context) error {
	var h proposer.History
	id := manager.ProfileID(c.QueryParam("Profile"))
	err := s.Store.Read(c.Request().Context(), func(a manager.Applier) { h.Profiles = a.History(id) })
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	if len(h.Profiles) == 0 {
		return manager.ErrNotExist{Kind: "profile", Name: string(id)}
	}
	return c.JSON(http.StatusOK, h)
}

func (s *Service) gateways(c echo.Context) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.Demand.Gateways(s.Clock.Now()))
}

func (s *Service) plan(c echo.Context) error {
	var spec manager.WaveSpec
	if err := decode(c, &spec); err != nil {
		return err
	}
	f, err := readFleet(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	w, err := s.Maintainer.Plan(s.Clock.Now(), f, spec)
	if err != nil {
		return fmt.Errorf("plan wave: %w", err)
	}
	return c.JSON(http.StatusOK, w)
}

func (s *Service) configuration(c echo.Context) error {
	var r proposer.ConfigurationRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), min(r.WaitMs, maxWait).Std())
	defer cancel()
	s.Store.Wait(ctx, r.After)
	cfg, err := readConfiguration(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cfg)
}

func readConfiguration(ctx context.Context, s storer.Store) (proposer.Configuration, error) {
	f, err := readFleet(ctx, s)
	if err != nil {
		return proposer.Configuration{}, err
	}
	return proposer.Configuration{
		Revision: f.Revision,
		LeaseMs:  configurationLease,
		Profiles: f.Profiles,
		Pools:    f.Pools,
	}, nil
}

func (s *Service) demand(c echo.Context) error {
	var r proposer.DemandReport
	if err := decode(c, &r); err != nil {
		return err
	}
	if err := s.checkLeader(); err != nil {
		return err
	}
	s.Demand.Take(s.Clock.Now(), r)
	return c.JSON(http.StatusOK, proposer.Acknowledgement{})
}
