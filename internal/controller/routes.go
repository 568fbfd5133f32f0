package controller

import (
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxMessageBytes bounds a peer's message.
	maxMessageBytes = 32 << 20
)

func (s *Service) addRoutes(g *echo.Group) {
	g.Use(listener.Trace("controller"))
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
	s.addPeerRoutes(g)
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
	if err := listener.Decode(c, maxMessageBytes, &command); err != nil {
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
	f, err := readLatest(c.Request().Context(), s.Store)
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
	var r proposer.PlanRequest
	if err := listener.Decode(c, maxMessageBytes, &r); err != nil {
		return err
	}
	var f manager.Fleet
	var answer proposer.PlanAnswer
	err := s.Store.Read(c.Request().Context(), func(a manager.Applier) {
		f = a.Fleet()
		_, digest, ok := a.FirstResult(r.Command)
		answer.Resent = ok && digest == r.Digest
	})
	if err != nil {
		return fmt.Errorf("read fleet: %w", err)
	}
	if !answer.Resent {
		if answer.Wave, err = s.Maintainer.Plan(s.Clock.Now(), f, r.Spec); err != nil {
			return fmt.Errorf("plan wave: %w", err)
		}
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Service) demand(c echo.Context) error {
	var r proposer.DemandReport
	if err := listener.Decode(c, maxMessageBytes, &r); err != nil {
		return err
	}
	if err := s.checkLeader(); err != nil {
		return err
	}
	s.Demand.Take(s.Clock.Now(), r)
	return c.JSON(http.StatusOK, proposer.Acknowledgement{})
}
