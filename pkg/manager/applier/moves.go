package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (s *State) startMove(c manager.StartMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAtEpoch(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if f := s.checkTargetPool(v, c.To); f != nil {
		return manager.Result{}, f
	}
	if f := s.checkDisruption(v, s.budgets.Check); f != nil {
		return manager.Result{}, f
	}
	v.Epoch++
	v.MoveTo = c.To
	v.Reason = c.Reason
	s.setPhase(v, manager.PhaseDraining)
	return manager.Result{}, nil
}

// checkTargetPool refuses a pool that the VM can't be moved to.
func (s *State) checkTargetPool(v manager.VM, to manager.PoolID) *manager.Failure {
	pool, ok := s.pools[to]
	if !ok {
		return notExist("pool", string(to))
	}
	if to == v.Pool {
		return conflict("VM", string(v.VM), "is already in that pool")
	}
	p, _ := s.profile(pool.Profile)
	if !v.Capacity.Fits(p.Capacity) {
		return conflict("VM", string(v.VM), fmt.Sprintf("has less capacity than profile %q of pool %q requires", pool.Profile, to))
	}
	return nil
}

// commitMove assigns a drained VM to its new pool; the new epoch invalidates every order of the old one.
func (s *State) commitMove(c manager.CommitMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAtEpoch(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if v.MoveTo == "" || v.State != manager.VMDrained {
		return manager.Result{}, conflict("VM", string(c.VM), "is not drained for a move")
	}
	if f := s.checkNoLeases(c.VM); f != nil {
		return manager.Result{}, f
	}
	v.Epoch++
	v.Pool = v.MoveTo
	v.PoolSince = s.now
	v.MoveTo = ""
	s.setPhase(v, manager.PhaseJoining)
	return manager.Result{}, nil
}

// abandonMove cancels a move: the VM stays in its old pool, where it must settle again.
func (s *State) abandonMove(c manager.AbandonMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAtEpoch(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if v.MoveTo == "" {
		return manager.Result{}, conflict("VM", string(c.VM), "is not moving")
	}
	v.Epoch++
	v.MoveTo = ""
	v.Reason = c.Reason
	s.setPhase(v, manager.PhaseSettling)
	return manager.Result{}, nil
}
