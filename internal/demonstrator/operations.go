package demonstrator

import (
	"context"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (d *Demo) changeProfile(ctx context.Context) (time.Duration, error) {
	var p manager.Profile
	if err := d.client.Get(ctx, "/api/profiles/cathode", &p); err != nil {
		return 0, err
	}
	p.Weights.Moves++
	start := time.Now()
	var accepted manager.Profile
	change := operator.ProfileChange{Change: operator.Change{CommandID: newCommandID()}, Profile: p}
	if err := d.client.Post(ctx, "/api/profiles", change, &accepted); err != nil {
		return 0, err
	}
	var after operator.Status
	if err := d.client.Get(ctx, "/api/status", &after); err != nil {
		return 0, err
	}
	err := d.await("profile in force", func() (bool, error) { return d.inForce(ctx, after.Revision) })
	return time.Since(start), err
}

// inForce tells whether every gateway has reported a revision.
func (d *Demo) inForce(ctx context.Context, revision manager.Revision) (bool, error) {
	var s operator.Status
	if err := d.client.Get(ctx, "/api/status", &s); err != nil {
		return false, err
	}
	if len(s.Gateways) < len(d.gateways) {
		return false, nil
	}
	for _, g := range s.Gateways {
		if g.Revision < revision {
			return false, nil
		}
	}
	return true, nil
}

func (d *Demo) runJob(ctx context.Context) (time.Duration, error) {
	const runTime = 300 * manager.Millisecond
	start := time.Now()
	var j manager.Job
	err := d.client.Post(ctx, "/api/jobs", operator.JobChange{Change: operator.Change{CommandID: newCommandID()}, Job: manager.Job{
		Job: "stock-count", Team: "settlement", Profile: "cathode", Class: "urgent",
		Declared:   manager.Resources{ProcessorMilliCores: 2_000, MemoryMegaBytes: 1_024},
		DeclaredMs: runTime, Idempotent: true,
	}}, &j)
	if err != nil {
		return 0, err
	}
	err = d.await("job", func() (bool, error) {
		err := d.client.Get(ctx, "/api/jobs/stock-count", &j)
		return j.State == manager.JobDone, err
	})
	return time.Since(start), err
}

func (d *Demo) runWave(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	var w manager.Wave
	change := operator.WaveChange{Change: operator.Change{CommandID: newCommandID()}, Wave: "kernel-1", Pools: []manager.PoolID{"pricing"}}
	if err := d.client.Post(ctx, "/api/waves", change, &w); err != nil {
		return 0, err
	}
	approval := operator.WaveApproval{Change: operator.Change{CommandID: newCommandID()}, PlanVersion: w.PlanVersion}
	if err := d.client.Post(ctx, "/api/waves/kernel-1/approve", approval, &w); err != nil {
		return 0, err
	}
	done := 0
	err := d.await("wave", func() (bool, error) {
		if err := d.client.Get(ctx, "/api/waves/kernel-1", &w); err != nil {
			return false, err
		}
		if n := countDone(w); n > done {
			done = n
			d.say("wave kernel-1: %d of %d VMs maintained", n, len(w.Steps))
		}
		return w.State == manager.WaveDone, nil
	})
	return time.Since(start), err
}

func countDone(w manager.Wave) int {
	n := 0
	for _, step := range w.Steps {
		if step.State == manager.StepDone {
			n++
		}
	}
	return n
}
