package operator

import (
	"net/http"
	"strconv"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (a *API) addReplicaRoutes(g *echo.Group) {
	g.GET("/replicas", a.listReplicas)
	g.POST("/replicas", a.addReplica)
	g.POST("/replicas/:Replica/remove", a.removeReplica)
}

func (a *API) listReplicas(c echo.Context) error {
	list, err := a.Client.Replicas(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) addReplica(c echo.Context) error {
	var m manager.ReplicaMember
	if err := listener.Decode(c, maxBodyBytes, &m); err != nil {
		return err
	}
	list, err := a.Client.AddReplica(c.Request().Context(), m)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) removeReplica(c echo.Context) error {
	id, err := strconv.ParseUint(c.Param("Replica"), 10, 64)
	if err != nil {
		return manager.ErrInvalid{Field: "Replica", Reason: "must be a number"}
	}
	list, err := a.Client.RemoveReplica(c.Request().Context(), manager.ReplicaID(id))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}
