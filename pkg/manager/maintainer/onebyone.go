package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// OneByOne is the baseline Maintainer: it maintains one VM at a time in name order.
type OneByOne struct{}

var _ manager.Maintainer = OneByOne{}

// Plan returns the wave with its steps in name order.
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

// Step returns the commands to propose for the waves at now.
func (OneByOne) Step(now manager.Time, f manager.Fleet) []manager.Command {
	x := newFleetView(now, f)
	var commands []manager.Command
	for _, w := range f.Waves {
		if c, ok := x.pauseOrResume(w); ok {
			commands = append(commands, c)
		} else if c, ok := x.stepOne(w); ok {
			commands = append(commands, c)
		}
	}
	if len(commands) == 0 {
		return settleCommand(now, f)
	}
	return commands
}

// stepOne returns the command, if any, for the first unfinished step of a wave, or for its end.
func (x *fleetView) stepOne(w manager.Wave) (manager.Command, bool) {
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
			a = nextFromWaiting(w, v)
		}
		return x.advanceStep(w, step, a), a.state != ""
	}
	return x.setWaveState(w, manager.WaveDone, ""), w.State == manager.WaveRunning
}

func nextFromWaiting(w manager.Wave, v manager.VM) transition {
	if reason := skipReason(w, v); reason != "" {
		return transition{manager.StepAbandoned, reason}
	}
	if w.State == manager.WaveRunning && v.Available() {
		return transition{state: manager.StepDraining}
	}
	return transition{}
}
