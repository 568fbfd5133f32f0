package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// MaxWaves limits the waves kept; the wave that ended first is dropped first.
	MaxWaves = 1_000
	// MaxWaveSteps limits the steps of all waves kept, about 3 MB; with waves over a large fleet, older
	// ones are dropped sooner.
	MaxWaveSteps = 20_000
)

func (s *State) planWave(c manager.PlanWave) (manager.Result, *manager.Failure) {
	w := c.Wave
	if w.Wave == "" {
		return manager.Result{}, invalid("Wave", "is missing")
	}
	old, exists := s.waves[w.Wave]
	if exists && old.State != manager.WavePlanned {
		return manager.Result{}, conflict("wave", string(w.Wave), fmt.Sprintf("is %s and can't be planned again", old.State))
	}
	if f := s.checkSteps(w); f != nil {
		return manager.Result{}, f
	}
	if !exists && !s.evictForNewWave(len(w.Steps)) {
		reason := fmt.Sprintf("the unfinished waves leave no room: at most %d waves with %d steps are kept", MaxWaves, MaxWaveSteps)
		return manager.Result{}, conflict("wave", string(w.Wave), reason)
	}
	w.PlanVersion = old.PlanVersion + 1
	w.State = manager.WavePlanned
	w.Steps = slices.Clone(w.Steps)
	w.Held, w.Accepted = false, nil
	w.Basis = s.basis(w.Pools)
	s.waves[w.Wave] = w
	return waveResult(w), nil
}

// checkSteps refuses a plan whose steps are not exactly the VMs that are now in its pools.
func (s *State) checkSteps(w manager.Wave) *manager.Failure {
	if len(w.Pools) == 0 {
		return invalid("Pools", "is empty")
	}
	for i, id := range w.Pools {
		if _, ok := s.pools[id]; !ok {
			return invalid(fmt.Sprintf("Pools[%d]", i), fmt.Sprintf("pool %q does not exist", id))
		}
	}
	planned := make(map[manager.VMID]bool, len(w.Steps))
	for i, step := range w.Steps {
		v, ok := s.vms[step.VM]
		if !ok {
			return invalid(fmt.Sprintf("Steps[%d].VM", i), fmt.Sprintf("VM %q does not exist", step.VM))
		}
		if planned[step.VM] || step.State != manager.StepWaiting {
			return invalid(fmt.Sprintf("Steps[%d]", i), "must be waiting and be the only step of its VM")
		}
		if v.Pool != step.Pool {
			return s.staleStep(w, step, v)
		}
		planned[step.VM] = true
	}
	return s.checkMissing(w, planned)
}

func (s *State) staleStep(w manager.Wave, step manager.WaveStep, v manager.VM) *manager.Failure {
	reason := fmt.Sprintf("VM %q has moved from pool %q to %q since the plan was made: plan the wave again", v.VM, step.Pool, v.Pool)
	return conflict("wave", string(w.Wave), reason)
}

func (s *State) checkMissing(w manager.Wave, planned map[manager.VMID]bool) *manager.Failure {
	for _, id := range sortedKeys(s.vms) {
		v := s.vms[id]
		if planned[id] || !slices.Contains(w.Pools, v.Pool) {
			continue
		}
		reason := fmt.Sprintf("VM %q has come to pool %q since the plan was made: plan the wave again", id, v.Pool)
		return conflict("wave", string(w.Wave), reason)
	}
	return nil
}

// basis returns the profile versions that a plan over the pools depends on, besides their VMs.
func (s *State) basis(pools []manager.PoolID) []manager.WaveBasis {
	list := make([]manager.WaveBasis, 0, len(pools))
	for _, id := range pools {
		p := s.pools[id].Profile
		list = append(list, manager.WaveBasis{Pool: id, Profile: p, Version: s.currentVersion(p)})
	}
	return list
}

// checkBasis refuses a plan whose VMs or profiles have changed since it was made.
func (s *State) checkBasis(w manager.Wave) *manager.Failure {
	for _, b := range w.Basis {
		if v := s.currentVersion(b.Profile); v != b.Version {
			reason := fmt.Sprintf("profile %q of pool %q has version %d and the plan was made for %d: plan the wave again", b.Profile, b.Pool, v, b.Version)
			return conflict("wave", string(w.Wave), reason)
		}
	}
	return s.checkSteps(w)
}

// evictForNewWave drops ended waves until a wave with so many steps may be added; it returns false if too
// few have ended.
func (s *State) evictForNewWave(steps int) bool {
	for _, w := range s.waves {
		steps += len(w.Steps)
	}
	for len(s.waves) >= MaxWaves || steps > MaxWaveSteps {
		oldest, ok := s.oldestEndedWave()
		if !ok {
			return false
		}
		steps -= len(oldest.Steps)
		delete(s.waves, oldest.Wave)
	}
	return true
}

// oldestEndedWave returns the wave that ended first among those that hold no VM any more.
func (s *State) oldestEndedWave() (manager.Wave, bool) {
	var oldest manager.Wave
	found := false
	for _, id := range sortedKeys(s.waves) {
		w := s.waves[id]
		ended := w.State == manager.WaveDone || w.State == manager.WaveCancelled
		if !ended || !stepsEnded(w.Steps) {
			continue
		}
		if !found || w.FinishedAt < oldest.FinishedAt {
			oldest, found = w, true
		}
	}
	return oldest, found
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
	if f := s.checkBasis(w); f != nil {
		return manager.Result{}, f
	}
	w.State = manager.WaveRunning
	w.StartedAt = s.now
	s.waves[c.Wave] = w
	return waveResult(w), nil
}

// waveTransitions lists the states that may follow each state of a wave.
var waveTransitions = map[manager.WaveState][]manager.WaveState{
	manager.WavePlanned: {manager.WavePlanned, manager.WaveCancelled},
	manager.WaveRunning: {manager.WaveRunning, manager.WavePaused, manager.WaveCancelled, manager.WaveDone},
	manager.WavePaused:  {manager.WavePaused, manager.WaveRunning, manager.WaveCancelled},
}

func (s *State) setWaveState(c manager.SetWaveState) (manager.Result, *manager.Failure) {
	w, ok := s.waves[c.Wave]
	if !ok {
		return manager.Result{}, notExist("wave", string(c.Wave))
	}
	if !slices.Contains(waveTransitions[w.State], c.State) {
		return manager.Result{}, conflict("wave", string(c.Wave), fmt.Sprintf("is %s and can't become %s", w.State, c.State))
	}
	if c.State == manager.WaveDone && !stepsEnded(w.Steps) {
		return manager.Result{}, conflict("wave", string(c.Wave), "has steps that have not ended")
	}
	if f := s.checkResume(w, c); f != nil {
		return manager.Result{}, f
	}
	if c.State == manager.WaveRunning && c.Accept {
		w.Accepted = s.lostVMs(w)
	}
	if c.State == manager.WavePaused {
		w.Held = w.Held || c.Held
	} else {
		w.Held = false
	}
	w.State = c.State
	w.Reason = c.Reason
	if c.State == manager.WaveCancelled {
		w.Steps = slices.Clone(w.Steps)
		s.cancelSteps(w.Steps)
	}
	if c.State == manager.WaveCancelled || c.State == manager.WaveDone {
		w.FinishedAt = s.now
	}
	s.waves[c.Wave] = w
	return waveResult(w), nil
}

// cancelSteps ends the steps that have not reached the reboot. A draining VM is released and settles; a VM
// that reboots or settles still finishes its step.
func (s *State) cancelSteps(steps []manager.WaveStep) {
	for i := range steps {
		step := &steps[i]
		if step.State != manager.StepWaiting && step.State != manager.StepDraining {
			continue
		}
		if step.State == manager.StepDraining {
			s.releaseVM(s.vms[step.VM])
		}
		step.State = manager.StepAbandoned
		step.Reason = "wave cancelled"
		step.Since = s.now
	}
}

func stepsEnded(steps []manager.WaveStep) bool {
	return !slices.ContainsFunc(steps, func(step manager.WaveStep) bool { return !step.State.Ended() })
}
