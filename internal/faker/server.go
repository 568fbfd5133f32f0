package faker

import (
	"context"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/platformer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Routes serves a platform and its workers over HTTP, as the stand-in for the real one.
func Routes(e *echo.Echo, token string, p manager.Platform, w manager.Worker) {
	guard := listener.Bearer(token)
	e.POST(platformer.PathDrain, order(func(ctx context.Context, o platformer.VMOrder) error {
		return p.Drain(ctx, o.VM, o.Epoch)
	}), guard)
	e.POST(platformer.PathReboot, order(func(ctx context.Context, o platformer.VMOrder) error {
		return p.Reboot(ctx, o.VM, o.Epoch)
	}), guard)
	e.POST(platformer.PathRestore, order(func(ctx context.Context, o platformer.VMOrder) error {
		return p.Restore(ctx, o.VM, o.Epoch, o.Pool)
	}), guard)
	e.GET(platformer.PathVMs, report(p.Observe), guard)
	e.POST(platformer.PathStart, order(func(ctx context.Context, o platformer.TaskOrder) error {
		if o.Job == nil {
			return manager.ErrInvalid{Field: "Job", Reason: "is missing"}
		}
		return w.Start(ctx, o.Lease, *o.Job)
	}), guard)
	e.POST(platformer.PathOrder, order(func(ctx context.Context, o platformer.TaskOrder) error {
		return w.Order(ctx, o.Lease, o.Order)
	}), guard)
	e.POST(platformer.PathRenew, order(func(ctx context.Context, o platformer.TaskOrder) error {
		return w.Renew(ctx, o.Lease)
	}), guard)
	e.GET(platformer.PathTasks, report(w.Usage), guard)
}

// maxOrderBytes bounds an order.
const maxOrderBytes = 1 << 20

func order[O any](act func(context.Context, O) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		var o O
		if err := listener.Decode(c, maxOrderBytes, &o); err != nil {
			return err
		}
		if err := act(c.Request().Context(), o); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		return c.JSON(http.StatusOK, platformer.Done{})
	}
}

func report[T any](read func(context.Context) ([]T, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		list, err := read(c.Request().Context())
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		return c.JSON(http.StatusOK, list)
	}
}
