package operator

import (
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// JobChange submits a job.
type JobChange struct {
	Change
	Job manager.Job
}

// JobsCancellation cancels many jobs with one command.
type JobsCancellation struct {
	Change
	Jobs []manager.JobID
}

// JobsCancelled names the jobs that were not cancelled, each with the reason.
type JobsCancelled struct {
	Cancelled int
	Refused   []manager.JobFailure
}

func (a *API) addJobRoutes(g *echo.Group) {
	g.GET("/jobs", a.listJobs)
	g.GET("/jobs/:Job", a.getJob)
	g.POST("/jobs", a.submitJob)
	g.POST("/jobs/cancel", a.cancelJobs)
	g.POST("/jobs/:Job/cancel", a.cancelJob)
}

func jobs(f manager.Fleet) []manager.Job { return f.Jobs }

func (a *API) listJobs(c echo.Context) error { return list(a, c, jobs) }

func (a *API) getJob(c echo.Context) error {
	j, err := a.Client.Job(c.Request().Context(), manager.JobID(c.Param("Job")))
	if err != nil {
		return fmt.Errorf("read job: %w", err)
	}
	return c.JSON(http.StatusOK, j)
}

func (a *API) submitJob(c echo.Context) error {
	var change JobChange
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	result, err := a.propose(c, change.Change, manager.Command{SubmitJob: &manager.SubmitJob{Job: change.Job}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Job)
}

func (a *API) cancelJob(c echo.Context) error {
	var change Change
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	result, err := a.propose(c, change, manager.Command{CancelJob: &manager.CancelJob{Job: manager.JobID(c.Param("Job"))}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Job)
}

func (a *API) cancelJobs(c echo.Context) error {
	var change JobsCancellation
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	if len(change.Jobs) == 0 {
		return manager.ErrInvalid{Field: "Jobs", Reason: "is empty"}
	}
	result, err := a.propose(c, change.Change, manager.Command{CancelJobs: &manager.CancelJobs{Jobs: change.Jobs}})
	if err != nil {
		return err
	}
	answer := JobsCancelled{Cancelled: len(change.Jobs) - len(result.RefusedJobs), Refused: []manager.JobFailure{}}
	answer.Refused = append(answer.Refused, result.RefusedJobs...)
	return c.JSON(http.StatusOK, answer)
}
