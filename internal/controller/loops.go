package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func sleep(ctx context.Context, d manager.Duration) {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// proposeAll proposes commands one by one; one that is refused does not stop the others.
func proposeAll(ctx context.Context, s storer.Store, commands []manager.Command) error {
	for _, c := range commands {
		result, err := s.Propose(ctx, c)
		if err != nil {
			return fmt.Errorf("propose: %w", err)
		}
		if result.Failure != nil {
			klog.V(2).InfoS("Command refused", "Reason", result.Failure.Err().Error())
		}
	}
	return nil
}

// readFleet reads the state for a loop. It may be an election time-out old: whatever the loop
// proposes is checked again when it is applied.
func readFleet(ctx context.Context, s storer.Store) (manager.Fleet, error) {
	var f manager.Fleet
	if err := storer.ReadRecent(ctx, s, func(a manager.Applier) { f = a.Fleet() }); err != nil {
		return f, fmt.Errorf("read fleet: %w", err)
	}
	return f, nil
}

// readLatest reads the state for an operator, who must see what was accepted before.
func readLatest(ctx context.Context, s storer.Store) (manager.Fleet, error) {
	var f manager.Fleet
	if err := s.Read(ctx, func(a manager.Applier) { f = a.Fleet() }); err != nil {
		return f, fmt.Errorf("read latest fleet: %w", err)
	}
	return f, nil
}

// proposeBatch proposes commands as few entries of the log; one that is refused does not stop the others.
func proposeBatch(ctx context.Context, s storer.Store, commands []manager.Command) error {
	for part := range slices.Chunk(commands, manager.MaxBatch) {
		c := manager.Command{At: part[0].At, Batch: &manager.Batch{Commands: part}}
		if len(part) == 1 {
			c = part[0]
		}
		result, err := s.Propose(ctx, c)
		if err != nil {
			return fmt.Errorf("propose: %w", err)
		}
		if result.Failure != nil {
			result.Refused = append(result.Refused, *result.Failure)
		}
		for _, f := range result.Refused {
			klog.V(2).InfoS("Command refused", "Reason", f.Err().Error())
		}
	}
	return nil
}
