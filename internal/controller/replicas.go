package controller

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// addPeerRoutes adds the endpoints of a store that is one replica of a group.
func (s *Service) addPeerRoutes(g *echo.Group) {
	p, ok := s.Store.(storer.Peer)
	if !ok {
		return
	}
	g.POST("/replicate", func(c echo.Context) error {
		var e storer.Exchange
		if err := listener.Decode(c, maxMessageBytes, &e); err != nil {
			return err
		}
		answer, err := p.Exchange(c.Request().Context(), e)
		if err != nil {
			return fmt.Errorf("take messages: %w", err)
		}
		return c.JSON(http.StatusOK, answer)
	})
	g.POST("/probe", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Probe()) })
	g.GET("/replicas", func(c echo.Context) error { return s.listReplicas(c, p) })
	g.POST("/replicas", func(c echo.Context) error { return s.addReplica(c, p) })
	g.POST("/replicas/:Replica/remove", func(c echo.Context) error { return s.removeReplica(c, p) })
}

func (s *Service) listReplicas(c echo.Context, p storer.Peer) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	st := p.Status()
	return c.JSON(http.StatusOK, proposer.Replicas{
		Leader: st.Leader, Term: st.Term, Commit: st.Commit, Replicas: st.Members.List,
	})
}

func (s *Service) addReplica(c echo.Context, p storer.Peer) error {
	var m manager.ReplicaMember
	if err := listener.Decode(c, maxMessageBytes, &m); err != nil {
		return err
	}
	if err := p.AddReplica(c.Request().Context(), m); err != nil {
		return fmt.Errorf("add replica: %w", err)
	}
	return s.listReplicas(c, p)
}

func (s *Service) removeReplica(c echo.Context, p storer.Peer) error {
	id, err := strconv.ParseUint(c.Param("Replica"), 10, 64)
	if err != nil {
		return manager.ErrInvalid{Field: "Replica", Reason: "must be a number"}
	}
	if err := p.RemoveReplica(c.Request().Context(), manager.ReplicaID(id)); err != nil {
		return fmt.Errorf("remove replica: %w", err)
	}
	return s.listReplicas(c, p)
}
