package controller

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxDeliveries bounds the VMs that are given orders at once.
	maxDeliveries = 64
	// deliveryTimeout bounds one call to a worker, so that a silent one doesn't hold up the others.
	deliveryTimeout = 1 * manager.Second
)

// told is what a worker is known to have been told of a lease.
type told struct {
	// barred says that the task may have started, so that a non-idempotent one is not started again.
	barred  bool
	started bool
	until   manager.Time
	order   manager.TaskOrder
}

// delivery is what a worker has to be told of one lease.
type delivery struct {
	job  manager.Job
	told told
	err  error
}

// deliver tells the workers what the leases call for and they have not been told yet.
func (l *PlacementLoop) deliver(ctx context.Context, own starts, after manager.Fleet) error {
	next := make(map[manager.LeaseID]told, len(l.told))
	byVM := map[manager.VMID][]*delivery{}
	var all []*delivery
	for _, j := range after.Jobs {
		if j.Lease == nil {
			continue
		}
		t, known := l.told[j.Lease.Lease]
		if !known {
			t = untold(j, own.granted(*j.Lease))
		}
		next[j.Lease.Lease] = t
		if !due(j, t) {
			continue
		}
		d := &delivery{job: j, told: t}
		byVM[j.Lease.VM] = append(byVM[j.Lease.VM], d)
		all = append(all, d)
	}
	l.tell(ctx, byVM)
	l.told = next
	return l.note(all)
}

// unknownOrder stands for an order that an earlier leader may have given.
const unknownOrder manager.TaskOrder = "unknown"

// untold returns what a worker may have been told of a lease that this loop has not dealt with yet; a
// lease that is not of its own granting may have been started by another leader.
func untold(j manager.Job, own bool) told {
	t := told{barred: !own, until: j.Lease.Until}
	if !own && j.Idempotent {
		t.until, t.order = 0, unknownOrder
	}
	return t
}

// mayStart tells whether a worker may be told to start a task; a non-idempotent one is started by the
// leader that granted the lease only, and not again unless the call before certainly was not taken.
func mayStart(j manager.Job, t told) bool {
	running := j.Lease.Order == manager.TaskRun || j.Lease.Order == manager.TaskThrottle
	return running && !t.started && (j.Idempotent || !t.barred)
}

func due(j manager.Job, t told) bool {
	return mayStart(j, t) || j.Lease.Order != t.order || j.Lease.Until > t.until
}

// tell gives each VM its orders in turn, several VMs at once.
func (l *PlacementLoop) tell(ctx context.Context, byVM map[manager.VMID][]*delivery) {
	var g errgroup.Group
	g.SetLimit(maxDeliveries)
	for _, list := range byVM {
		g.Go(func() error {
			for _, d := range list {
				d.err = l.tellOne(ctx, d)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (l *PlacementLoop) tellOne(ctx context.Context, d *delivery) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout.Std())
	defer cancel()
	lease := *d.job.Lease
	if mayStart(d.job, d.told) {
		if err := l.start(ctx, d, lease); err != nil {
			return fmt.Errorf("start job %q: %w", lease.Job, err)
		}
	}
	if lease.Order != d.told.order {
		if err := l.Worker.Order(ctx, lease, lease.Order); err != nil {
			return fmt.Errorf("order for job %q: %w", lease.Job, err)
		}
		d.told.order = lease.Order
	}
	if lease.Until > d.told.until {
		if err := l.Worker.Renew(ctx, lease); err != nil {
			return fmt.Errorf("renew lease of job %q: %w", lease.Job, err)
		}
		d.told.until = lease.Until
	}
	return nil
}

func (l *PlacementLoop) start(ctx context.Context, d *delivery, lease manager.Lease) error {
	err := l.Worker.Start(ctx, lease, d.job)
	d.told.started = err == nil
	d.told.barred = err != nil && !manager.IsErrUnavailable(err)
	if err == nil {
		d.told.until = lease.Until
	}
	return err
}

// note keeps what the workers were told and returns the first error with the number of them.
func (l *PlacementLoop) note(all []*delivery) error {
	var first error
	n := 0
	for _, d := range all {
		l.told[d.job.Lease.Lease] = d.told
		if d.err == nil {
			continue
		}
		n++
		if first == nil {
			first = d.err
		}
	}
	meter.Orders("taken").Add(len(all) - n)
	meter.Orders("failed").Add(n)
	if n > 0 {
		return fmt.Errorf("%d orders to workers failed, the first: %w", n, first)
	}
	return nil
}
