package controller

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// placementPeriod is the pause between two steps of placement; a start by a checkpoint takes two steps.
const placementPeriod = 250 * manager.Millisecond

// PlacementLoop runs jobs: it takes the workers' reports, lets the placer propose and gives the
// workers the orders that the leases call for.
type PlacementLoop struct {
	Worker manager.Worker
	Placer manager.Placer

	mu   sync.Mutex
	told map[manager.LeaseID]told
}

// Name is used in logs.
func (l *PlacementLoop) Name() string { return "placement" }

// Period is the pause between two steps.
func (l *PlacementLoop) Period() manager.Duration { return placementPeriod }

// Step does what the state calls for now.
func (l *PlacementLoop) Step(ctx context.Context, now manager.Time, s storer.Store) error {
	start := time.Now()
	defer func() { meter.PlacementSeconds().UpdateDuration(start) }()
	before, after, err := l.decide(ctx, now, s)
	if err != nil {
		return err
	}
	return l.deliver(ctx, before, after)
}

// decide proposes what the placer plans and returns the fleet before and after.
func (l *PlacementLoop) decide(ctx context.Context, now manager.Time, s storer.Store) (before, after manager.Fleet, err error) {
	reports, err := l.Worker.Usage(ctx)
	if err != nil {
		return before, after, fmt.Errorf("read usage: %w", err)
	}
	if before, err = readFleet(ctx, s); err != nil {
		return before, after, err
	}
	if err = proposeAll(ctx, s, l.plan(now, before, reports)); err != nil {
		return before, after, err
	}
	after, err = readFleet(ctx, s)
	return before, after, err
}

func (l *PlacementLoop) plan(now manager.Time, f manager.Fleet, reports []manager.UsageReport) []manager.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Placer.Observe(now, reports)
	return l.Placer.Plan(now, f)
}

// Explain returns the rule that holds a job, if the placer can tell.
func (l *PlacementLoop) Explain(now manager.Time, f manager.Fleet, j manager.JobID) manager.JobExplanation {
	e, ok := l.Placer.(manager.Explainer)
	if !ok {
		return manager.JobExplanation{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.Explain(now, f, j)
}

// job answers with a job and what it waits for.
func (s *Service) job(c echo.Context) error {
	f, err := readFleet(c.Request().Context(), s.Store)
	if err != nil {
		return err
	}
	id := manager.JobID(c.QueryParam("Job"))
	i, ok := slices.BinarySearchFunc(f.Jobs, id, func(j manager.Job, id manager.JobID) int { return cmp.Compare(j.Job, id) })
	if !ok {
		return manager.ErrNotExist{Kind: "job", Name: string(id)}
	}
	status := manager.JobStatus{Job: f.Jobs[i]}
	if s.Explainer != nil {
		status.JobExplanation = s.Explainer.Explain(s.Clock.Now(), f, id)
	}
	return c.JSON(http.StatusOK, status)
}
