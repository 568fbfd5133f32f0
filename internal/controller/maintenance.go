package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maintenancePeriod is the pause between two steps; each VM of a wave waits for it at each of its
	// few states, so a much longer one shows in the roll-out time.
	maintenancePeriod = 500 * manager.Millisecond
	// quietPeriod is the pause between two looks at a fleet in which nothing is under way; a failure
	// is seen that much later.
	quietPeriod = 1 * manager.Second
	// repeatPeriod is the pause after which an order that shows no effect is given again.
	repeatPeriod = 2 * manager.Second
	// orderTimeout bounds one call of the platform, so that a silent one does not hold up the others.
	orderTimeout = 2 * manager.Second
	// DefaultMaxOrders is how many calls of the platform run at once; a slow platform with fewer
	// delays the orders to a whole zone.
	DefaultMaxOrders = 16
)

// sentOrder is the latest order to a VM.
type sentOrder struct {
	epoch manager.Epoch
	phase manager.Phase
	state manager.VMState
	at    manager.Time
}

// MaintenanceLoop runs waves and moves: it records what the platform says, lets the decision parts
// propose and gives the platform the orders that the state calls for.
type MaintenanceLoop struct {
	Platform   manager.Platform
	Maintainer manager.Maintainer
	Rebalancer manager.Rebalancer
	Demand     *DemandTable
	// MaxOrders bounds the calls of the platform that run at once; 0 takes DefaultMaxOrders.
	MaxOrders int

	// mu guards the rebalancer, which operators' questions read while the loop runs.
	mu         sync.Mutex
	busy       bool
	observedAt manager.Time
	balancedAt manager.Time
	stepped    manager.Revision
	steppedAt  manager.Time
	sent       map[manager.VMID]sentOrder
}

// Name is used in logs.
func (l *MaintenanceLoop) Name() string { return "maintenance" }

// Period is the pause between two steps.
func (l *MaintenanceLoop) Period() manager.Duration { return maintenancePeriod }

// Step does what the state calls for now. What fails does not stop the rest: a platform that can't be
// observed still gets its orders, and a refused order leaves the other VMs alone.
func (l *MaintenanceLoop) Step(ctx context.Context, now manager.Time, s storer.Store) error {
	f, err := readFleet(ctx, s)
	if err != nil {
		return err
	}
	f, observeErr := l.observe(ctx, now, s, f)
	commands := append(l.maintain(now, f), l.rebalance(now, f)...)
	f, proposeErr := proposeFor(ctx, s, f, commands)
	return errors.Join(observeErr, proposeErr, l.order(ctx, now, f))
}

// proposeFor proposes commands and returns the fleet after them.
func proposeFor(ctx context.Context, s storer.Store, f manager.Fleet, commands []manager.Command) (manager.Fleet, error) {
	if len(commands) == 0 {
		return f, nil
	}
	proposeErr := proposeBatch(ctx, s, commands)
	after, err := readFleet(ctx, s)
	if err != nil {
		return f, errors.Join(proposeErr, err)
	}
	return after, proposeErr
}

// maintain returns what the waves call for; while the state stays as it is, only the time can call for
// something, so that a look once in a quiet period is enough.
func (l *MaintenanceLoop) maintain(now manager.Time, f manager.Fleet) []manager.Command {
	if f.Revision == l.stepped && now.Sub(l.steppedAt) < quietPeriod {
		return nil
	}
	l.stepped, l.steppedAt = f.Revision, now
	return l.Maintainer.Step(now, f)
}

// rebalance takes the demand and returns the moves that it calls for, once in a quiet period.
func (l *MaintenanceLoop) rebalance(now manager.Time, f manager.Fleet) []manager.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.balancedAt) < quietPeriod {
		return nil
	}
	l.balancedAt = now
	l.Rebalancer.Observe(now, l.Demand.Sum(now))
	return l.Rebalancer.Plan(now, f)
}

// Reserves returns what each pool holds and is meant to hold.
func (l *MaintenanceLoop) Reserves(now manager.Time, f manager.Fleet) []manager.PoolReserve {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Rebalancer.Reserves(now, f)
}

// Moves returns the moves that would start now in a fleet.
func (l *MaintenanceLoop) Moves(now manager.Time, f manager.Fleet) []manager.StartMove {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []manager.StartMove
	for _, c := range l.Rebalancer.Plan(now, f) {
		if c.StartMove != nil {
			list = append(list, *c.StartMove)
		}
	}
	return list
}

// observe records what the platform says and returns the fleet after it.
func (l *MaintenanceLoop) observe(ctx context.Context, now manager.Time, s storer.Store, f manager.Fleet) (manager.Fleet, error) {
	if !l.busy && now.Sub(l.observedAt) < quietPeriod {
		return f, nil
	}
	observations, err := l.Platform.Observe(ctx)
	if err != nil {
		return f, fmt.Errorf("observe platform: %w", err)
	}
	l.observedAt = now
	known := make(map[manager.VMID]manager.VMState, len(f.VMs))
	for _, v := range f.VMs {
		known[v.VM] = v.State
	}
	var commands []manager.Command
	for _, o := range observations {
		if state, ok := known[o.VM]; ok && state != o.State {
			commands = append(commands, manager.Command{At: now, ObserveVM: &manager.ObserveVM{VM: o.VM, State: o.State, Epoch: o.Epoch}})
		}
	}
	return proposeFor(ctx, s, f, commands)
}

// order gives, and repeats, the order that each VM's phase calls for; the platform ignores what it has done already.
func (l *MaintenanceLoop) order(ctx context.Context, now manager.Time, f manager.Fleet) error {
	var mu sync.Mutex
	var failures []error
	var g errgroup.Group
	g.SetLimit(cmp.Or(l.MaxOrders, DefaultMaxOrders))
	l.busy = false
	for _, v := range f.VMs {
		l.busy = l.busy || v.Phase != manager.PhaseInService || v.State != manager.VMRunning
		order := l.orderFor(v)
		if order == nil || !l.due(now, v) {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout.Std())
			defer cancel()
			if err := order(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Errorf("order to VM %q: %w", v.VM, err))
			}
			return nil
		})
	}
	_ = g.Wait()
	return errors.Join(failures...)
}

// due tells whether an order to a VM is new or was given too long ago without effect.
func (l *MaintenanceLoop) due(now manager.Time, v manager.VM) bool {
	if l.sent == nil {
		l.sent = map[manager.VMID]sentOrder{}
	}
	last := l.sent[v.VM]
	next := sentOrder{epoch: v.Epoch, phase: v.Phase, state: v.State, at: last.at}
	if last == next && now.Sub(last.at) < repeatPeriod {
		return false
	}
	next.at = now
	l.sent[v.VM] = next
	return true
}

// orderFor returns the call that a VM's phase asks for; nil if none. A VM that drains while the state
// wants it in service, as after a late order, is restored too.
func (l *MaintenanceLoop) orderFor(v manager.VM) func(context.Context) error {
	switch {
	case v.Phase == manager.PhaseDraining && (v.State == manager.VMRunning || v.State == manager.VMDraining):
		return func(ctx context.Context) error { return l.Platform.Drain(ctx, v.VM, v.Epoch) }
	case v.Phase == manager.PhaseDraining:
		return nil
	case v.Phase == manager.PhaseRebooting && v.State == manager.VMDrained:
		return func(ctx context.Context) error { return l.Platform.Reboot(ctx, v.VM, v.Epoch) }
	case v.Phase == manager.PhaseRebooting:
		return nil
	case v.Phase != manager.PhaseInService || v.State == manager.VMDrained || v.State == manager.VMDraining:
		return func(ctx context.Context) error { return l.Platform.Restore(ctx, v.VM, v.Epoch, v.Pool) }
	default:
		return nil
	}
}
