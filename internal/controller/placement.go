package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// PlacementLoop runs jobs: it takes the workers' reports, lets the placer propose and gives the
// workers the orders that the leases call for.
type PlacementLoop struct {
	Worker manager.Worker
	Placer manager.Placer
}

// Name is used in logs.
func (l *PlacementLoop) Name() string { return "placement" }

// Period is the pause between two steps.
func (l *PlacementLoop) Period() manager.Duration { return loopPeriod }

// Step does what the state calls for now.
func (l *PlacementLoop) Step(ctx context.Context, now manager.Time, s storer.Store) error {
	reports, err := l.Worker.Usage(ctx)
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	f, err := readFleet(ctx, s)
	if err != nil {
		return err
	}
	l.Placer.Observe(now, reports)
	if err := proposeAll(ctx, s, l.Placer.Plan(now, f)); err != nil {
		return err
	}
	if f, err = readFleet(ctx, s); err != nil {
		return err
	}
	return l.order(ctx, f)
}

func (l *PlacementLoop) order(ctx context.Context, f manager.Fleet) error {
	var failures []error
	for _, j := range f.Jobs {
		if j.Lease == nil {
			continue
		}
		if err := l.orderTask(ctx, j); err != nil {
			failures = append(failures, fmt.Errorf("order for job %q: %w", j.Job, err))
		}
	}
	return errors.Join(failures...)
}

func (l *PlacementLoop) orderTask(ctx context.Context, j manager.Job) error {
	if j.Lease.Order != manager.TaskRun {
		return l.Worker.Order(ctx, *j.Lease, j.Lease.Order)
	}
	if err := l.Worker.Start(ctx, *j.Lease, j); err != nil {
		return err
	}
	return l.Worker.Renew(ctx, *j.Lease)
}
