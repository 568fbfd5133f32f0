package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxBodyBytes bounds an operator's request.
const maxBodyBytes = 1 << 20

// API serves the operators' endpoints.
type API struct {
	Client *proposer.Client
	// Upstreams returns the upstreams that this gateway knows.
	Upstreams func() []manager.Member
}

// Change is what every change of an operator carries.
type Change struct {
	// CommandID makes a resend of the change get the first answer.
	CommandID manager.CommandID `json:"Command-Id"`
}

// AddRoutes adds the endpoints to a group that has checked the token.
func (a *API) AddRoutes(g *echo.Group) {
	g.Use(listener.Trace("gateway"))
	g.GET("/profiles", a.listProfiles)
	g.GET("/profiles/:Profile", a.getProfile)
	g.GET("/profiles/:Profile/history", a.profileHistory)
	g.POST("/profiles", a.applyProfile)
	g.POST("/profiles/preview", a.previewProfile)
	g.GET("/pools", a.listPools)
	g.GET("/pools/reserves", a.listReserves)
	g.GET("/vms", a.listVMs)
	g.GET("/vms/:VM", a.explainVM)
	g.GET("/waves", a.listWaves)
	g.GET("/waves/:Wave", a.getWave)
	g.POST("/waves", a.planWave)
	g.POST("/waves/:Wave/approve", a.approveWave)
	g.POST("/waves/:Wave/pause", a.pauseWave)
	g.POST("/waves/:Wave/resume", a.resumeWave)
	g.POST("/waves/:Wave/cancel", a.cancelWave)
	a.addJobRoutes(g)
	g.GET("/upstreams", a.listUpstreams)
	g.GET("/status", a.status)
	a.addReplicaRoutes(g)
}

func (a *API) propose(c echo.Context, change Change, command manager.Command) (manager.Result, error) {
	if change.CommandID == "" {
		return manager.Result{}, manager.ErrInvalid{Field: "Command-Id", Reason: "is missing"}
	}
	command.Command = change.CommandID
	result, err := a.Client.Propose(c.Request().Context(), command)
	if err != nil {
		return result, fmt.Errorf("change %q: %w", change.CommandID, err)
	}
	return result, nil
}

func (a *API) fleet(ctx context.Context) (manager.Fleet, error) {
	f, err := a.Client.Fleet(ctx)
	if err != nil {
		return f, fmt.Errorf("read fleet: %w", err)
	}
	return f, nil
}

// list answers with the part of the fleet that pick returns.
func list[T any](a *API, c echo.Context, pick func(manager.Fleet) []T) error {
	f, err := a.fleet(c.Request().Context())
	if err != nil {
		return err
	}
	items := pick(f)
	if items == nil {
		items = []T{}
	}
	return c.JSON(http.StatusOK, items)
}

// get answers with the one item of the fleet that match accepts.
func get[T any](a *API, c echo.Context, kind, name string, pick func(manager.Fleet) []T, match func(T) bool) error {
	f, err := a.fleet(c.Request().Context())
	if err != nil {
		return err
	}
	items := pick(f)
	i := slices.IndexFunc(items, match)
	if i < 0 {
		return manager.ErrNotExist{Kind: kind, Name: name}
	}
	return c.JSON(http.StatusOK, items[i])
}

func profiles(f manager.Fleet) []manager.Profile { return f.Profiles }
func pools(f manager.Fleet) []manager.Pool       { return f.Pools }
func vms(f manager.Fleet) []manager.VM           { return f.VMs }
func waves(f manager.Fleet) []manager.Wave       { return f.Waves }

func (a *API) listProfiles(c echo.Context) error { return list(a, c, profiles) }
func (a *API) listPools(c echo.Context) error    { return list(a, c, pools) }
func (a *API) listVMs(c echo.Context) error      { return list(a, c, vms) }
func (a *API) listWaves(c echo.Context) error    { return list(a, c, waves) }

func (a *API) listUpstreams(c echo.Context) error {
	return c.JSON(http.StatusOK, a.Upstreams())
}
