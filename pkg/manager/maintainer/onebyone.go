package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// OneByOne is the naive Maintainer: one VM at a time in name order.
type OneByOne struct{}

var _ manager.Maintainer = OneByOne{}

// Plan returns the steps of a wave.
func (OneByOne) Plan(_ manager.Time, f manager.Fleet, spec manager.WaveSpec) (manager.Wave, error) {
	w := manager.Wave{Wave: spec.Wave, Pools: spec.Pools}
	profiles := profilesByPool(f)
	if err := checkSpec(f, spec); err != nil {
		return w, err
	}
	for _, v := range f.VMs {
		if !slices.Contains(spec.Pools, v.Pool) {
			continue
		}
		w.Steps = append(w.Steps, manager.WaveStep{
			VM: v.VM, Pool: v.Pool, State: manager.StepWaiting, Batch: len(w.Steps) + 1, StartMs: w.ExpectedMs,
		})
		w.ExpectedMs += expectedTime(profiles[v.Pool].Wave)
	}
	return w, nil
}

func checkSpec(f manager.Fleet, spec manager.WaveSpec) error {
	if len(spec.Pools) == 0 {
		return manager.ErrInvalid{Field: "Pools", Reason: "is empty"}
	}
	for i, id := range spec.Pools {
		if slices.Contains(spec.Pools[:i], id) {
			return manager.ErrInvalid{Field: "Pools", Reason: "names pool " + string(id) + " twice"}
		}
		if !slices.ContainsFunc(f.Pools, func(p manager.Pool) bool { return p.Pool == id }) {
			return manager.ErrNotExist{Kind: "pool", Name: string(id)}
		}
	}
	return nil
}

// Step returns the commands that the waves call for now.
func (OneByOne) Step(now manager.Time, f manager.Fleet) []manager.Command {
	x := newView(now, f)
	var commands []manager.Command
	for _, w := range f.Waves {
		if c, ok := x.turn(w); ok {
			commands = append(commands, c)
		} else if c, ok := x.stepOne(w); ok {
			commands = append(commands, c)
		}
	}
	if len(commands) == 0 {
		return settled(now, f)
	}
	return commands
}

// stepOne returns the command that the first unfinished step of a wave calls for.
func (x *view) stepOne(w manager.Wave) (manager.Command, bool) {
	if w.State == manager.WavePlanned || w.State == manager.WaveDone {
		return manager.Command{}, false
	}
	for _, step := range w.Steps {
		if step.State.Ended() {
			continue
		}
		v := x.vms[step.VM]
		a := nextState(x.now, w, step, v, x.profiles[v.Pool].Wave)
		if step.State == manager.StepWaiting {
			a = nextOfWaiting(w, v)
		}
		return x.advanceTo(w, step, a), a.to != ""
	}
	return x.setWave(w, manager.WaveDone, ""), w.State == manager.WaveRunning
}

func nextOfWaiting(w manager.Wave, v manager.VM) advance {
	if reason := skipWaiting(w, v); reason != "" {
		return advance{manager.StepAbandoned, reason}
	}
	if w.State == manager.WaveRunning && v.Available() {
		return advance{to: manager.StepDraining}
	}
	return advance{}
}
