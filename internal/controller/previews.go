package controller

import (
	"net/http"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// preview answers what a profile change would do, without proposing it.
func (s *Service) preview(c echo.Context) error {
	var p manager.Profile
	if err := listener.Decode(c, maxMessageBytes, &p); err != nil {
		return err
	}
	f, err := readFleet(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	preview, after, failure := applier.Preview(f, p)
	if failure != nil {
		return failure.Err()
	}
	if s.Maintenance != nil {
		now := s.Clock.Now()
		preview.Moves = newMoves(s.Maintenance.Moves(now, f), s.Maintenance.Moves(now, after))
	}
	return c.JSON(http.StatusOK, preview)
}

// newMoves returns the moves of after that before does not have.
func newMoves(before, after []manager.StartMove) []manager.StartMove {
	return slices.DeleteFunc(after, func(m manager.StartMove) bool {
		return slices.ContainsFunc(before, func(o manager.StartMove) bool { return o.VM == m.VM && o.To == m.To })
	})
}

func (s *Service) reserves(c echo.Context) error {
	f, err := readFleet(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	if s.Maintenance == nil {
		return manager.ErrUnavailable{Component: "rebalancer", Reason: "the controller has no platform"}
	}
	return c.JSON(http.StatusOK, s.Maintenance.Reserves(s.Clock.Now(), f))
}
