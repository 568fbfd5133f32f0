package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (s *State) loadFleet(c manager.LoadFleet) *manager.Failure {
	if f := s.checkLoad(c); f != nil {
		return f
	}
	for _, p := range c.Profiles {
		if s.currentVersion(p.Profile) == 0 {
			p.Version = 1
			s.storeProfile(p)
		}
	}
	for _, p := range c.Pools {
		if _, ok := s.pools[p.Pool]; !ok {
			s.putPool(p)
		}
	}
	for _, v := range c.VMs {
		if _, ok := s.vms[v.VM]; !ok {
			v.Epoch = 1
			v.State = manager.VMRunning
			s.putVM(v)
		}
	}
	s.configuration = s.revision
	return nil
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
