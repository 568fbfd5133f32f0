package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// stepTransitions lists the states that may follow each state of a step.
var stepTransitions = map[manager.StepState][]manager.StepState{
	manager.StepWaiting:   {manager.StepDraining, manager.StepAbandoned},
	manager.StepDraining:  {manager.StepRebooting, manager.StepAbandoned},
	manager.StepRebooting: {manager.StepSettling, manager.StepAbandoned},
	manager.StepSettling:  {manager.StepDone, manager.StepAbandoned},
}

func (s *State) advanceStep(c manager.AdvanceStep) (manager.Result, *manager.Failure) {
	w, ok := s.waves[c.Wave]
	if !ok {
		return manager.Result{}, notExist("wave", string(c.Wave))
	}
	i := slices.IndexFunc(w.Steps, func(step manager.WaveStep) bool { return step.VM == c.VM })
	if i < 0 {
		return manager.Result{}, notExist("step", string(c.VM))
	}
	if w.Steps[i].State != c.From || !slices.Contains(stepTransitions[c.From], c.To) {
		return manager.Result{}, conflict("step", string(c.VM), fmt.Sprintf("is %s and can't change from %s to %s", w.Steps[i].State, c.From, c.To))
	}
	v, f := s.vmAtEpoch(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if f := s.advanceVM(w, v, c); f != nil {
		return manager.Result{}, f
	}
	// The wave is read again because the step may have paused it.
	w = s.waves[c.Wave]
	w.Steps = slices.Clone(w.Steps)
	w.Steps[i].State = c.To
	w.Steps[i].Reason = c.Reason
	w.Steps[i].Since = s.now
	if c.To == manager.StepDraining {
		w.Steps[i].Pool = v.Pool
		w.Reason = ""
	}
	s.waves[c.Wave] = w
	return manager.Result{}, nil
}

// advanceVM changes the VM as the step's next state requires. Each order to the platform has its own epoch,
// so that a late order of an earlier state is refused.
func (s *State) advanceVM(w manager.Wave, v manager.VM, c manager.AdvanceStep) *manager.Failure {
	if c.From != manager.StepWaiting && v.Wave != w.Wave {
		return conflict("VM", string(v.VM), fmt.Sprintf("is not held by wave %q", w.Wave))
	}
	switch c.To {
	case manager.StepDraining:
		return s.startDrain(w, v)
	case manager.StepRebooting:
		return s.startReboot(v)
	case manager.StepSettling:
		if v.State != manager.VMRunning {
			return conflict("VM", string(v.VM), fmt.Sprintf("is %s after its reboot", v.State))
		}
		s.setPhase(v, manager.PhaseSettling)
	case manager.StepDone:
		return s.finishStep(v)
	case manager.StepAbandoned:
		s.giveUpStep(v, c)
	case manager.StepWaiting:
	}
	return nil
}

// startDrain takes a VM out of service for a wave if all rules and budgets allow it.
func (s *State) startDrain(w manager.Wave, v manager.VM) *manager.Failure {
	if w.State != manager.WaveRunning {
		return conflict("wave", string(w.Wave), fmt.Sprintf("is %s", w.State))
	}
	if !slices.Contains(w.Pools, v.Pool) {
		return conflict("VM", string(v.VM), fmt.Sprintf("has moved to pool %q, which the wave does not cover", v.Pool))
	}
	p, _ := s.profile(s.pools[v.Pool].Profile)
	if !p.Wave.InWindow(s.now) {
		return conflict("pool", string(v.Pool), "is outside of its maintenance window")
	}
	if n := s.activeSteps(w, v.Pool); n >= p.Wave.MaxAtOnce {
		return conflict("pool", string(v.Pool), fmt.Sprintf("already has %d VMs in the wave at once", n))
	}
	check := s.budgets.Check
	if s.acceptsLoss(w) {
		check = s.budgets.CheckWholeBudget
	}
	if f := s.checkDisruption(v, check); f != nil {
		return f
	}
	v.Epoch++
	v.Wave = w.Wave
	s.setPhase(v, manager.PhaseDraining)
	return nil
}

// activeSteps counts the VMs of a pool that a wave has out of service now.
func (s *State) activeSteps(w manager.Wave, pool manager.PoolID) int {
	n := 0
	for _, step := range w.Steps {
		if step.State.Active() && s.vms[step.VM].Pool == pool {
			n++
		}
	}
	return n
}

func (s *State) startReboot(v manager.VM) *manager.Failure {
	if v.State != manager.VMDrained {
		return conflict("VM", string(v.VM), fmt.Sprintf("is %s, not drained", v.State))
	}
	if f := s.checkNoLeases(v.VM); f != nil {
		return f
	}
	v.Epoch++
	s.setPhase(v, manager.PhaseRebooting)
	return nil
}

func (s *State) finishStep(v manager.VM) *manager.Failure {
	p, _ := s.profile(s.pools[v.Pool].Profile)
	if v.State != manager.VMRunning || s.now.Sub(v.PhaseSince) < p.Wave.SettleMs {
		return conflict("step", string(v.VM), "has not settled")
	}
	v.Epoch++
	v.Wave = ""
	s.setPhase(v, manager.PhaseInService)
	return nil
}

// giveUpStep ends a wave's work on a VM; a VM that did not come back pauses the waves of its service.
func (s *State) giveUpStep(v manager.VM, c manager.AdvanceStep) {
	if c.From == manager.StepWaiting {
		return
	}
	v = s.releaseVM(v)
	if c.From != manager.StepDraining && v.State != manager.VMRunning {
		s.pauseWaves(v)
	}
}

// releaseVM releases a VM from its wave; the VM must settle before it counts as in service.
func (s *State) releaseVM(v manager.VM) manager.VM {
	v.Epoch++
	v.Wave = ""
	s.setPhase(v, manager.PhaseSettling)
	return s.vms[v.VM]
}
