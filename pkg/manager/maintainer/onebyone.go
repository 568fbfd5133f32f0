package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// rebootEstimate is the time a plan assumes for one reboot.
const rebootEstimate = 60 * manager.Second

// OneByOne is the naive Maintainer: one VM at a time in name order.
type OneByOne struct{}

var _ manager.Maintainer = OneByOne{}

// Plan returns the steps of a wave.
func (OneByOne) Plan(_ manager.Time, f manager.Fleet, spec manager.WaveSpec) (manager.Wave, error) {
	w := manager.Wave{Wave: spec.Wave, Pools: spec.Pools}
	if len(spec.Pools) == 0 {
		return w, manager.ErrInvalid{Field: "Pools", Reason: "is empty"}
	}
	profiles := profilesByPool(f)
	for _, p := range spec.Pools {
		if _, ok := profiles[p]; !ok {
			return w, manager.ErrNotExist{Kind: "pool", Name: string(p)}
		}
	}
	for _, v := range f.VMs {
		if !slices.Contains(spec.Pools, v.Pool) {
			continue
		}
		rules := profiles[v.Pool].Wave
		w.ExpectedMs += rules.DrainLimitMs + rebootEstimate + rules.SettleMs
		w.Steps = append(w.Steps, manager.WaveStep{VM: v.VM, Pool: v.Pool, State: manager.StepWaiting, Batch: len(w.Steps) + 1})
	}
	return w, nil
}

func profilesByPool(f manager.Fleet) map[manager.PoolID]manager.Profile {
	profiles := make(map[manager.ProfileID]manager.Profile, len(f.Profiles))
	for _, p := range f.Profiles {
		profiles[p.Profile] = p
	}
	byPool := make(map[manager.PoolID]manager.Profile, len(f.Pools))
	for _, p := range f.Pools {
		byPool[p.Pool] = profiles[p.Profile]
	}
	return byPool
}

// Step returns the commands that the waves call for now.
func (OneByOne) Step(now manager.Time, f manager.Fleet) []manager.Command {
	vms := make(map[manager.VMID]manager.VM, len(f.VMs))
	for _, v := range f.VMs {
		vms[v.VM] = v
	}
	profiles := profilesByPool(f)
	var commands []manager.Command
	for _, w := range f.Waves {
		if c, ok := stepWave(now, w, vms, profiles); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

func stepWave(now manager.Time, w manager.Wave, vms map[manager.VMID]manager.VM, profiles map[manager.PoolID]manager.Profile) (manager.Command, bool) {
	if w.State == manager.WavePlanned || w.State == manager.WaveDone {
		return manager.Command{}, false
	}
	for _, step := range w.Steps {
		if step.State == manager.StepDone || step.State == manager.StepGivenUp {
			continue
		}
		v := vms[step.VM]
		to, ok := nextState(now, w, step, v, profiles[v.Pool].Wave)
		if !ok {
			return manager.Command{}, false
		}
		return manager.Command{At: now, AdvanceStep: &manager.AdvanceStep{
			Wave: w.Wave, VM: step.VM, Epoch: v.Epoch, From: step.State, To: to,
		}}, true
	}
	if w.State != manager.WaveRunning {
		return manager.Command{}, false
	}
	return manager.Command{At: now, SetWaveState: &manager.SetWaveState{Wave: w.Wave, State: manager.WaveDone}}, true
}

func nextState(now manager.Time, w manager.Wave, step manager.WaveStep, v manager.VM, rules manager.WaveRules) (manager.StepState, bool) {
	switch step.State {
	case manager.StepWaiting:
		return manager.StepDraining, w.State == manager.WaveRunning && v.Available()
	case manager.StepDraining:
		if w.State == manager.WaveCancelled || now.Sub(step.Since) > rules.DrainLimitMs {
			return manager.StepGivenUp, true
		}
		return manager.StepRebooting, v.State == manager.VMDrained
	case manager.StepRebooting:
		return manager.StepSettling, v.State == manager.VMRunning
	case manager.StepSettling:
		return manager.StepDone, v.State == manager.VMRunning && now.Sub(v.PhaseSince) >= rules.SettleMs
	default:
		return "", false
	}
}
