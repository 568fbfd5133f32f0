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
	own, after, err := l.decide(ctx, now, s)
	if err != nil {
		return err
	}
	return l.deliver(ctx, own, after)
}

// starts are the starts that one step proposed.
type starts map[manager.JobID]manager.StartTask

// granted tells whether a lease comes from one of the starts.
func (s starts) granted(l manager.Lease) bool {
	c, ok := s[l.Job]
	return ok && c.VM == l.VM && c.Epoch == l.Epoch && c.Until == l.Until
}

func startsOf(commands []manager.Command) starts {
	own := starts{}
	for _, c := range commands {
		if c.StartTask != nil {
			own[c.StartTask.Job] = *c.StartTask
		}
		if c.PlaceTasks == nil {
			continue
		}
		for _, task := range c.PlaceTasks.Start {
			own[task.Job] = task
		}
	}
	return own
}

// decide proposes what the placer plans and returns its starts and the fleet after them.
func (l *PlacementLoop) decide(ctx context.Context, now manager.Time, s storer.Store) (starts, manager.Fleet, error) {
	reports, err := l.Worker.Usage(ctx)
	if err != nil {
		return nil, manager.Fleet{}, fmt.Errorf("read usage: %w", err)
	}
	f, err := readFleet(ctx, s)
	if err != nil {
		return nil, f, err
	}
	commands := l.plan(now, f, reports)
	if err := proposeAll(ctx, s, commands); err != nil {
		return nil, f, err
	}
	f, err = readFleet(ctx, s)
	return startsOf(commands), f, err
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
