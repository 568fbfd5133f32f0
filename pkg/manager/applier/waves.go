package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// MaxWaves bounds the waves kept; the oldest ended one goes first.
const MaxWaves = 1_000

func (s *State) planWave(c manager.PlanWave) (manager.Result, *manager.Failure) {
	w := c.Wave
	if w.Wave == "" {
		return manager.Result{}, invalid("Wave", "is missing")
	}
	old, exists := s.waves[w.Wave]
	if exists && old.State != manager.WavePlanned {
		return manager.Result{}, conflict("wave", string(w.Wave), fmt.Sprintf("is %s and can't be planned anew", old.State))
	}
	for i, step := range w.Steps {
		if _, ok := s.vms[step.VM]; !ok {
			return manager.Result{}, invalid(fmt.Sprintf("Steps[%d].VM", i), fmt.Sprintf("VM %q does not exist", step.VM))
		}
	}
	if !exists && !s.makeRoomForWave() {
		return manager.Result{}, conflict("wave", string(w.Wave), fmt.Sprintf("there are %d unfinished waves already", MaxWaves))
	}
	w.PlanVersion = old.PlanVersion + 1
	w.State = manager.WavePlanned
	w.Steps = slices.Clone(w.Steps)
	s.waves[w.Wave] = w
	return waveResult(w), nil
}

func (s *State) makeRoomForWave() bool {
	if len(s.waves) < MaxWaves {
		return true
	}
	for _, id := range sorted(s.waves) {
		w := s.waves[id]
		if w.State == manager.WaveDone || w.State == manager.WaveCancelled {
			delete(s.waves, id)
			return true
		}
	}
	return false
}

func waveResult(w manager.Wave) manager.Result {
	w.Steps = slices.Clone(w.Steps)
	return manager.Result{Wave: &w}
}

func (s *State) approveWave(c manager.ApproveWave) (manager.Result, *manager.Failure) {
	w, ok := s.waves[c.Wave]
	if !ok {
		return manager.Result{}, notExist("wave", string(c.Wave))
	}
	if w.State != manager.WavePlanned {
		return manager.Result{}, conflict("wave", string(c.Wave), fmt.Sprintf("is %s, not planned", w.State))
	}
	if w.PlanVersion != c.PlanVersion {
		reason := fmt.Sprintf("plan version %d was approved but %d is current", c.PlanVersion, w.PlanVersion)
		return manager.Result{}, conflict("wave", string(c.Wave), reason)
	}
	w.State = manager.WaveRunning
	w.StartedAt = s.now
	s.waves[c.Wave] = w
	return waveResult(w), nil
}

// waveMoves lists the states to which a wave may go from each state.
var waveMoves = map[manager.WaveState][]manager.WaveState{
	manager.WavePlanned: {manager.WavePlanned, manager.WaveCancelled},
	manager.WaveRunning: {manager.WaveRunning, manager.WavePaused, manager.WaveCancelled, manager.WaveDone},
	manager.WavePaused:  {manager.WavePaused, manager.WaveRunning, manager.WaveCancelled},
}

func (s *State) setWaveState(c manager.SetWaveState) (manager.Result, *manager.Failure) {
	w, ok := s.waves[c.Wave]
	if !ok {
		return manager.Result{}, notExist("wave", string(c.Wave))
	}
	if !slices.Contains(waveMoves[w.State], c.State) {
		return manager.Result{}, conflict("wave", string(c.Wave), fmt.Sprintf("is %s and can't become %s", w.State, c.State))
	}
	if c.State == manager.WaveDone && !stepsEnded(w.Steps) {
		return manager.Result{}, conflict("wave", string(c.Wave), "has steps that have not ended")
	}
	w.State = c.State
	w.Reason = c.Reason
	if c.State == manager.WaveCancelled {
		w.Steps = slices.Clone(w.Steps)
		dropWaiting(w.Steps, s.now)
	}
	if c.State == manager.WaveCancelled || c.State == manager.WaveDone {
		w.FinishedAt = s.now
	}
	s.waves[c.Wave] = w
	return waveResult(w), nil
}

func dropWaiting(steps []manager.WaveStep, now manager.Time) {
	for i := range steps {
		if steps[i].State == manager.StepWaiting {
			steps[i].State = manager.StepGivenUp
			steps[i].Reason = "wave cancelled"
			steps[i].Since = now
		}
	}
}

func stepsEnded(steps []manager.WaveStep) bool {
	return !slices.ContainsFunc(steps, func(step manager.WaveStep) bool {
		return step.State != manager.StepDone && step.State != manager.StepGivenUp
	})
}

// stepMoves lists the states to which a step may go from each state.
var stepMoves = map[manager.StepState][]manager.StepState{
	manager.StepWaiting:   {manager.StepDraining, manager.StepGivenUp},
	manager.StepDraining:  {manager.StepRebooting, manager.StepGivenUp},
	manager.StepRebooting: {manager.StepSettling, manager.StepGivenUp},
	manager.StepSettling:  {manager.StepDone, manager.StepGivenUp},
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
	if w.Steps[i].State != c.From || !slices.Contains(stepMoves[c.From], c.To) {
		return manager.Result{}, conflict("step", string(c.VM), fmt.Sprintf("is %s and can't go from %s to %s", w.Steps[i].State, c.From, c.To))
	}
	v, f := s.vmAt(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if f := s.advanceVM(w, v, c); f != nil {
		return manager.Result{}, f
	}
	w.Steps = slices.Clone(w.Steps)
	w.Steps[i].State = c.To
	w.Steps[i].Reason = c.Reason
	w.Steps[i].Since = s.now
	s.waves[c.Wave] = w
	return manager.Result{}, nil
}

func (s *State) advanceVM(w manager.Wave, v manager.VM, c manager.AdvanceStep) *manager.Failure {
	switch c.To {
	case manager.StepDraining:
		return s.permit(w, v)
	case manager.StepRebooting:
		if f := s.checkEmpty(v.VM); f != nil {
			return f
		}
		s.setPhase(v, manager.PhaseRebooting)
	case manager.StepSettling:
		s.setPhase(v, manager.PhaseSettling)
	case manager.StepDone, manager.StepGivenUp:
		return s.release(v, c)
	}
	return nil
}

// permit takes a VM out of service for a wave if every budget allows it.
func (s *State) permit(w manager.Wave, v manager.VM) *manager.Failure {
	if w.State != manager.WaveRunning {
		return conflict("wave", string(w.Wave), fmt.Sprintf("is %s", w.State))
	}
	if f := s.checkTake(v); f != nil {
		return f
	}
	v.Epoch++
	v.Wave = w.Wave
	s.setPhase(v, manager.PhaseDraining)
	return nil
}

// release ends a VM's part in a wave; one that is given up while out of service has to settle first.
func (s *State) release(v manager.VM, c manager.AdvanceStep) *manager.Failure {
	if c.From == manager.StepWaiting {
		return nil
	}
	p, _ := s.profile(s.pools[v.Pool].Profile)
	if c.To == manager.StepDone && s.now.Sub(v.PhaseSince) < p.Wave.SettleMs {
		return conflict("step", string(c.VM), "has not settled")
	}
	v.Epoch++
	v.Wave = ""
	if c.To == manager.StepDone {
		s.setPhase(v, manager.PhaseInService)
		return nil
	}
	s.setPhase(v, manager.PhaseSettling)
	return nil
}
