package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// usage counts the VMs of a pool that do not serve.
type usage struct {
	size        int
	unavailable int
	// planned counts those that the system itself took out of service.
	planned int
	perZone map[manager.AvailabilityZone]int
	perRack map[manager.RackID]int
}

func (s *State) poolUsage(id manager.PoolID) usage {
	u := usage{perZone: map[manager.AvailabilityZone]int{}, perRack: map[manager.RackID]int{}}
	for _, v := range s.vms {
		if v.Pool != id {
			continue
		}
		u.size++
		if v.Available() {
			continue
		}
		u.unavailable++
		u.perZone[v.AvailabilityZone]++
		u.perRack[v.Rack]++
		if v.Phase != manager.PhaseInService {
			u.planned++
		}
	}
	return u
}

// checkTake refuses to take v out of service if that would overspend its pool's budget.
func (s *State) checkTake(v manager.VM) *manager.Failure {
	if !v.Available() {
		return conflict("VM", string(v.VM), fmt.Sprintf("is not in service (state %q, phase %q)", v.State, v.Phase))
	}
	p, ok := s.profile(s.pools[v.Pool].Profile)
	if !ok {
		return notExist("profile", string(s.pools[v.Pool].Profile))
	}
	u := s.poolUsage(v.Pool)
	limit := p.Budget.Limit(u.size)
	if u.unavailable >= limit {
		return conflict("pool", string(v.Pool), fmt.Sprintf("budget is spent: %d of %d unavailable", u.unavailable, limit))
	}
	if p.Budget.MaxPerZone > 0 && u.perZone[v.AvailabilityZone] >= p.Budget.MaxPerZone {
		return conflict("pool", string(v.Pool), fmt.Sprintf("budget of availability zone %q is spent", v.AvailabilityZone))
	}
	if p.Budget.MaxPerRack > 0 && u.perRack[v.Rack] >= p.Budget.MaxPerRack {
		return conflict("pool", string(v.Pool), fmt.Sprintf("budget of rack %q is spent", v.Rack))
	}
	return nil
}

func (s *State) loadFleet(c manager.LoadFleet) (manager.Result, *manager.Failure) {
	if f := s.checkLoad(c); f != nil {
		return manager.Result{}, f
	}
	for _, p := range c.Profiles {
		if s.currentVersion(p.Profile) == 0 {
			p.Version = 1
			s.storeProfile(p)
		}
	}
	for _, p := range c.Pools {
		if _, ok := s.pools[p.Pool]; !ok {
			s.pools[p.Pool] = p
		}
	}
	for _, v := range c.VMs {
		if _, ok := s.vms[v.VM]; !ok {
			v.Epoch = 1
			v.State = manager.VMRunning
			s.vms[v.VM] = v
		}
	}
	return manager.Result{}, nil
}

func (s *State) checkLoad(c manager.LoadFleet) *manager.Failure {
	profiles := map[manager.ProfileID]bool{}
	for i, p := range c.Profiles {
		if f := ValidateProfile(p); f != nil {
			f.Field = fmt.Sprintf("Profiles[%d].%s", i, f.Field)
			return f
		}
		profiles[p.Profile] = true
	}
	pools := map[manager.PoolID]bool{}
	for i, p := range c.Pools {
		if !profiles[p.Profile] && s.currentVersion(p.Profile) == 0 {
			return invalid(fmt.Sprintf("Pools[%d].Profile", i), fmt.Sprintf("profile %q does not exist", p.Profile))
		}
		pools[p.Pool] = true
	}
	for i, v := range c.VMs {
		if _, ok := s.pools[v.Pool]; !ok && !pools[v.Pool] {
			return invalid(fmt.Sprintf("VMs[%d].Pool", i), fmt.Sprintf("pool %q does not exist", v.Pool))
		}
	}
	return nil
}

func (s *State) observeVM(c manager.ObserveVM) (manager.Result, *manager.Failure) {
	v, ok := s.vms[c.VM]
	if !ok {
		return manager.Result{}, notExist("VM", string(c.VM))
	}
	repaired := v.State == manager.VMFailed && c.State == manager.VMRunning
	v.State = c.State
	if repaired && v.Phase == manager.PhaseInService {
		v.Phase = manager.PhaseSettling
		v.PhaseSince = s.now
	}
	s.vms[c.VM] = v
	return manager.Result{}, nil
}

// endSettling returns repaired VMs to service after their profile's settle time.
func (s *State) endSettling() {
	for id, v := range s.vms {
		if v.Phase != manager.PhaseSettling || v.Wave != "" || v.State != manager.VMRunning {
			continue
		}
		p, _ := s.profile(s.pools[v.Pool].Profile)
		if s.now.Sub(v.PhaseSince) < p.Wave.SettleMs {
			continue
		}
		v.Phase = manager.PhaseInService
		v.PhaseSince = s.now
		s.vms[id] = v
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
	s.vms[c.VM] = v
	return manager.Result{}, nil
}

// vmAt returns a VM if the order's epoch is current.
func (s *State) vmAt(id manager.VMID, e manager.Epoch) (manager.VM, *manager.Failure) {
	v, ok := s.vms[id]
	if !ok {
		return v, notExist("VM", string(id))
	}
	if v.Epoch != e {
		return v, conflict("VM", string(id), fmt.Sprintf("epoch %d is not current (%d)", e, v.Epoch))
	}
	return v, nil
}

func (s *State) startMove(c manager.StartMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAt(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if _, ok := s.pools[c.To]; !ok {
		return manager.Result{}, notExist("pool", string(c.To))
	}
	if c.To == v.Pool {
		return manager.Result{}, conflict("VM", string(c.VM), "is in that pool already")
	}
	if f := s.checkTake(v); f != nil {
		return manager.Result{}, f
	}
	v.Epoch++
	v.MoveTo = c.To
	v.Reason = c.Reason
	s.setPhase(v, manager.PhaseDraining)
	return manager.Result{}, nil
}

func (s *State) commitMove(c manager.CommitMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAt(c.VM, c.Epoch)
	if f != nil {
		return manager.Result{}, f
	}
	if v.MoveTo == "" || v.State != manager.VMDrained {
		return manager.Result{}, conflict("VM", string(c.VM), "is not drained for a move")
	}
	if f := s.checkEmpty(c.VM); f != nil {
		return manager.Result{}, f
	}
	v.Epoch++
	v.Pool = v.MoveTo
	v.MoveTo = ""
	s.setPhase(v, manager.PhaseSettling)
	return manager.Result{}, nil
}

func (s *State) abandonMove(c manager.AbandonMove) (manager.Result, *manager.Failure) {
	v, f := s.vmAt(c.VM, c.Epoch)
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

func (s *State) setPhase(v manager.VM, p manager.Phase) {
	v.Phase = p
	v.PhaseSince = s.now
	s.vms[v.VM] = v
}
