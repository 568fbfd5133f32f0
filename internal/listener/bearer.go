package listener

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/translator"
)

// Bearer refuses requests without the token; the comparison takes the same time for every wrong one.
func Bearer(token string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			given, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				return translator.ErrUnauthorized
			}
			return next(c)
		}
	}
}
