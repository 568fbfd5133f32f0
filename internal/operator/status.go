package operator

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Status is the answer of /api/status.
type Status struct {
	// Revision is the one of the configuration; each gateway says which one it has in force.
	Revision  manager.Revision
	Gateways  []proposer.GatewayStatus
	Pools     []PoolStatus
	Waves     []manager.Wave
	Upstreams int
}

// PoolStatus counts the VMs of a pool.
type PoolStatus struct {
	Pool        manager.PoolID
	VMs         int
	Unavailable int
	// Budget is how many VMs may be unavailable at once.
	Budget int
}

func (a *API) status(c echo.Context) error {
	ctx := c.Request().Context()
	f, err := a.fleet(ctx)
	if err != nil {
		return err
	}
	gateways, err := a.Client.Gateways(ctx)
	if err != nil {
		return fmt.Errorf("read gateways: %w", err)
	}
	return c.JSON(http.StatusOK, Status{
		Revision: f.Configuration, Gateways: gateways, Pools: poolStatus(f), Waves: unfinished(f.Waves), Upstreams: len(a.Upstreams()),
	})
}

func poolStatus(f manager.Fleet) []PoolStatus {
	budgets := map[manager.ProfileID]manager.Budget{}
	for _, p := range f.Profiles {
		budgets[p.Profile] = p.Budget
	}
	list := make([]PoolStatus, 0, len(f.Pools))
	for _, p := range f.Pools {
		s := PoolStatus{Pool: p.Pool}
		for _, v := range f.VMs {
			if v.Pool != p.Pool {
				continue
			}
			s.VMs++
			if !v.Available() {
				s.Unavailable++
			}
		}
		s.Budget = budgets[p.Profile].Limit(s.VMs)
		list = append(list, s)
	}
	return list
}

func unfinished(waves []manager.Wave) []manager.Wave {
	list := []manager.Wave{}
	for _, w := range waves {
		if w.State != manager.WaveDone && w.State != manager.WaveCancelled {
			list = append(list, w)
		}
	}
	return list
}
