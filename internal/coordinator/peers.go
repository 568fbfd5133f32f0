package coordinator

import (
	"errors"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxPeerBytes bounds the body of another node's call.
	maxPeerBytes = 32 << 20
	// maxViewBytes bounds the body of another node's view.
	maxViewBytes = 64 << 10
)

func isRemoved(err error) bool {
	e, ok := errors.AsType[manager.ErrConflict](err)
	return ok && e.Kind == KindRemoved
}

// AddRoutes adds the endpoints for other nodes.
func (n *Node) AddRoutes(e *echo.Echo) {
	e.Use(middleware.Decompress())
	e.GET(finder.PathView, func(c echo.Context) error {
		n.Finder.Heard(manager.Address(c.Request().Header.Get(finder.HeaderNode)))
		return n.packer.answer(c, n.Finder.View())
	})
	e.POST(finder.PathView, n.handleView)
	e.POST(PathCall, n.handleCall)
	if n.Leader == nil {
		return
	}
	e.POST(PathJoin, n.handleJoin)
	e.POST(storer.PathReplicate, n.handleExchange)
	e.POST(storer.PathProbe, n.handleProbe)
}

func (n *Node) handleProbe(c echo.Context) error {
	var q manager.BootstrapProbe
	if err := listener.Decode(c, maxPeerBytes, &q); err != nil {
		return err
	}
	return n.packer.answer(c, n.Leader.Store.AnswerProbe(c.Request().Context(), q))
}

// handleView takes over the view of another node and answers with this node's.
func (n *Node) handleView(c echo.Context) error {
	var v finder.View
	if err := listener.Decode(c, maxViewBytes, &v); err != nil {
		return err
	}
	n.Finder.Learn(v)
	return n.packer.answer(c, n.Finder.View())
}

// handleCall answers the call of another node. It never forwards it, so that calls do not loop.
func (n *Node) handleCall(c echo.Context) error {
	var call manager.FleetCall
	if err := listener.Decode(c, maxPeerBytes, &call); err != nil {
		return err
	}
	if n.Leader == nil {
		return manager.ErrNotLeader{}
	}
	call.Forwarded = true
	reply, term, err := n.Leader.CallInTerm(c.Request().Context(), call)
	writeTerm(c.Response().Header(), term)
	if err != nil {
		return err
	}
	return n.packer.answer(c, reply)
}

func (n *Node) handleJoin(c echo.Context) error {
	var q JoinRequest
	if err := listener.Decode(c, maxPeerBytes, &q); err != nil {
		return err
	}
	if !n.Leader.Serving() {
		return manager.ErrNotLeader{}
	}
	if err := n.Leader.Join(c.Request().Context(), q); err != nil {
		return err
	}
	return n.packer.answer(c, struct{}{})
}

func (n *Node) handleExchange(c echo.Context) error {
	var e storer.Exchange
	if err := listener.Decode(c, maxPeerBytes, &e); err != nil {
		return err
	}
	answer, err := n.Leader.Store.Exchange(c.Request().Context(), e)
	if err != nil {
		return err
	}
	return n.packer.answer(c, answer)
}
