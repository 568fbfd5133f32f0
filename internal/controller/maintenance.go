package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// MaintenanceLoop runs waves and moves: it records what the platform says, lets the decision parts
// propose and gives the platform the orders that the state calls for.
type MaintenanceLoop struct {
	Platform   manager.Platform
	Maintainer manager.Maintainer
	Rebalancer manager.Rebalancer
	Demand     *DemandTable
}

// Name is used in logs.
func (l *MaintenanceLoop) Name() string { return "maintenance" }

// Period is the pause between two steps.
func (l *MaintenanceLoop) Period() manager.Duration { return loopPeriod }

// Step does what the state calls for now.
func (l *MaintenanceLoop) Step(ctx context.Context, now manager.Time, s storer.Store) error {
	if err := l.observe(ctx, now, s); err != nil {
		return err
	}
	f, err := readFleet(ctx, s)
	if err != nil {
		return err
	}
	l.Rebalancer.Observe(now, l.Demand.Sum(now))
	commands := append(l.Maintainer.Step(now, f), l.Rebalancer.Plan(now, f)...)
	if err := proposeAll(ctx, s, commands); err != nil {
		return err
	}
	if f, err = readFleet(ctx, s); err != nil {
		return err
	}
	return l.order(ctx, f)
}

func (l *MaintenanceLoop) observe(ctx context.Context, now manager.Time, s storer.Store) error {
	observations, err := l.Platform.Observe(ctx)
	if err != nil {
		return fmt.Errorf("observe platform: %w", err)
	}
	f, err := readFleet(ctx, s)
	if err != nil {
		return err
	}
	known := make(map[manager.VMID]manager.VMState, len(f.VMs))
	for _, v := range f.VMs {
		known[v.VM] = v.State
	}
	var commands []manager.Command
	for _, o := range observations {
		if state, ok := known[o.VM]; ok && state != o.State {
			commands = append(commands, manager.Command{At: now, ObserveVM: &manager.ObserveVM{VM: o.VM, State: o.State}})
		}
	}
	return proposeAll(ctx, s, commands)
}

// order repeats the order that each VM's phase calls for; the platform ignores what it has done already.
func (l *MaintenanceLoop) order(ctx context.Context, f manager.Fleet) error {
	var failures []error
	for _, v := range f.VMs {
		var err error
		switch {
		case v.Phase == manager.PhaseDraining:
			err = l.Platform.Drain(ctx, v.VM, v.Epoch)
		case v.Phase == manager.PhaseRebooting:
			err = l.Platform.Reboot(ctx, v.VM, v.Epoch)
		case v.State == manager.VMDrained:
			err = l.Platform.Restore(ctx, v.VM, v.Epoch, v.Pool)
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("order to VM %q: %w", v.VM, err))
		}
	}
	return errors.Join(failures...)
}
