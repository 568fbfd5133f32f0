package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// putVM stores a VM and updates the counts of unavailable VMs.
func (s *State) putVM(v manager.VM) {
	if old, ok := s.vms[v.VM]; ok {
		s.budgets.Remove(old)
	}
	s.vms[v.VM] = v
	s.budgets.Add(v)
	if v.Phase == manager.PhaseJoining || (v.Phase == manager.PhaseSettling && v.Wave == "") {
		s.settling[v.VM] = true
		return
	}
	delete(s.settling, v.VM)
}

func (s *State) putPool(p manager.Pool) {
	s.pools[p.Pool] = p
	s.budgets.SetPool(p)
}

func (s *State) setPhase(v manager.VM, p manager.Phase) {
	v.Phase = p
	v.PhaseSince = s.now
	s.putVM(v)
}

// checkDisruption refuses to take v out of service if it is already unavailable or if check returns a
// reason, which names the budget that this would exceed.
func (s *State) checkDisruption(v manager.VM, check func(manager.VM) string) *manager.Failure {
	if !v.Available() {
		return conflict("VM", string(v.VM), fmt.Sprintf("is not in service (state %q, phase %q)", v.State, v.Phase))
	}
	if reason := check(v); reason != "" {
		return conflict("pool", string(v.Pool), reason)
	}
	return nil
}

// observeVM records a state that the platform reports; a VM that comes back must settle before it counts as
// in service.
func (s *State) observeVM(c manager.ObserveVM) (manager.Result, *manager.Failure) {
	v, ok := s.vms[c.VM]
	if !ok {
		return manager.Result{}, notExist("VM", string(c.VM))
	}
	if v.State == c.State {
		return manager.Result{}, nil
	}
	if f := checkObservation(v, c); f != nil {
		return manager.Result{}, f
	}
	before := v
	v.State = c.State
	if c.State == manager.VMRunning {
		markReturned(&v, s.now)
	}
	s.putVM(v)
	if isDown(v) && !isDown(before) {
		s.pauseWaves(v)
	}
	return manager.Result{}, nil
}

// isDown tells whether a VM is lost and has not come back yet.
func isDown(v manager.VM) bool { return v.Lost() && v.State != manager.VMRunning }

// checkObservation refuses a running state that was observed before the platform accepted the order to
// reboot, as the VM has not restarted since.
func checkObservation(v manager.VM, c manager.ObserveVM) *manager.Failure {
	if v.Phase != manager.PhaseRebooting || c.State != manager.VMRunning || c.Epoch == 0 || c.Epoch >= v.Epoch {
		return nil
	}
	return conflict("VM", string(v.VM), fmt.Sprintf("was observed at epoch %d, before its reboot at epoch %d", c.Epoch, v.Epoch))
}

func markReturned(v *manager.VM, now manager.Time) {
	switch v.Phase {
	case manager.PhaseInService:
		v.Phase = manager.PhaseSettling
		v.PhaseSince = now
	case manager.PhaseSettling, manager.PhaseJoining:
		v.PhaseSince = now
	case manager.PhaseDraining, manager.PhaseRebooting:
	}
}

// endSettling returns VMs to service that have run for the settle time of their profile.
func (s *State) endSettling() {
	for id := range s.settling {
		v := s.vms[id]
		if v.State != manager.VMRunning {
			continue
		}
		p, _ := s.profile(s.pools[v.Pool].Profile)
		if s.now.Sub(v.PhaseSince) < p.Wave.SettleMs {
			continue
		}
		s.setPhase(v, manager.PhaseInService)
	}
}

func (s *State) quarantineVM(c manager.QuarantineVM) (manager.Result, *manager.Failure) {
	v, ok := s.vms[c.VM]
	if !ok {
		return manager.Result{}, notExist("VM", string(c.VM))
	}
	if f := s.checkQuarantine(v); c.Quarantined && f != nil {
		return manager.Result{}, f
	}
	v.Quarantined = c.Quarantined
	v.Reason = c.Reason
	s.putVM(v)
	return manager.Result{}, nil
}

// vmAtEpoch returns a VM if e is its current epoch.
func (s *State) vmAtEpoch(id manager.VMID, e manager.Epoch) (manager.VM, *manager.Failure) {
	v, ok := s.vms[id]
	if !ok {
		return v, notExist("VM", string(id))
	}
	if v.Epoch != e {
		return v, conflict("VM", string(id), fmt.Sprintf("epoch %d is not current (%d)", e, v.Epoch))
	}
	return v, nil
}
