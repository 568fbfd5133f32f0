package listener

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Decode reads a request's JSON body of at most limit bytes; unknown fields are errors.
func Decode(c echo.Context, limit int64, v any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	if err := configurer.Decode(body, v); err != nil {
		return errors.Join(manager.ErrInvalid{Field: "body", Reason: err.Error()}, err)
	}
	return nil
}

// Trace wraps each call in a span of a role that continues the sender's trace.
func Trace(role string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			path := attribute.String("url.path", r.URL.Path)
			ctx, span := tracer.Start(tracer.Extract(r.Context(), r.Header), role+" "+c.Path(), path)
			c.SetRequest(r.WithContext(ctx))
			err := next(c)
			tracer.End(span, err)
			return err
		}
	}
}
