package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ProfileChange stores a profile; its Version is the one that was read.
type ProfileChange struct {
	Change
	Profile manager.Profile
}

func (a *API) getProfile(c echo.Context) error {
	id := manager.ProfileID(c.Param("Profile"))
	return get(a, c, "profile", string(id), profiles, func(p manager.Profile) bool { return p.Profile == id })
}

func (a *API) profileHistory(c echo.Context) error {
	h, err := a.Client.History(c.Request().Context(), manager.ProfileID(c.Param("Profile")))
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	return c.JSON(http.StatusOK, h.Profiles)
}

func (a *API) applyProfile(c echo.Context) error {
	var change ProfileChange
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	result, err := a.propose(c, change.Change, manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: change.Profile}})
	if manager.IsErrConflict(err) {
		return a.answerConflict(c, change.Profile.Profile, err)
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Profile)
}

// answerConflict answers a lost race with the profile that won it.
func (a *API) answerConflict(c echo.Context, id manager.ProfileID, err error) error {
	status, body := translator.FromError(err)
	f, readErr := a.fleet(c.Request().Context())
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	for _, p := range f.Profiles {
		if p.Profile == id {
			body.Current = &p
		}
	}
	return c.JSON(status, body)
}

// previewProfile answers what a profile change would do, without making it.
func (a *API) previewProfile(c echo.Context) error {
	var p manager.Profile
	if err := listener.Decode(c, maxBodyBytes, &p); err != nil {
		return err
	}
	preview, err := a.Client.Preview(c.Request().Context(), p)
	if manager.IsErrConflict(err) {
		return a.answerConflict(c, p.Profile, err)
	}
	if err != nil {
		return fmt.Errorf("preview profile: %w", err)
	}
	return c.JSON(http.StatusOK, preview)
}
