package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// pauseWaves pauses the running waves of the service of a VM that was lost, in the log entry that reports
// the loss.
func (s *State) pauseWaves(v manager.VM) {
	service := s.pools[v.Pool].Service
	for _, id := range sortedKeys(s.waves) {
		w := s.waves[id]
		if w.State != manager.WaveRunning || !s.covers(w, service) {
			continue
		}
		w.State = manager.WavePaused
		w.Reason = fmt.Sprintf("VM %q of pool %q is %s without a plan; the wave resumes once no VM of its services is lost or unsettled", v.VM, v.Pool, v.State)
		w.Accepted = slices.DeleteFunc(slices.Clone(w.Accepted), func(a manager.VMID) bool { return a == v.VM })
		s.waves[id] = w
	}
}

// covers tells whether a wave includes VMs of a service.
func (s *State) covers(w manager.Wave, service manager.ServiceID) bool {
	return slices.ContainsFunc(w.Pools, func(p manager.PoolID) bool { return s.pools[p].Service == service })
}

// lostVMs returns the VMs of a wave's services that are lost or have not settled, ordered by id.
func (s *State) lostVMs(w manager.Wave) []manager.VMID {
	var list []manager.VMID
	for _, id := range sortedKeys(s.vms) {
		v := s.vms[id]
		if v.Lost() && s.covers(w, s.pools[v.Pool].Service) {
			list = append(list, id)
		}
	}
	return list
}

// acceptsLoss tells whether an operator resumed the wave despite a VM that is still lost.
func (s *State) acceptsLoss(w manager.Wave) bool {
	return slices.ContainsFunc(w.Accepted, func(id manager.VMID) bool { return s.vms[id].Lost() })
}

// checkResume refuses to resume a wave that an operator paused or whose services have lost VMs, unless an
// operator accepts that.
func (s *State) checkResume(w manager.Wave, c manager.SetWaveState) *manager.Failure {
	if w.State != manager.WavePaused || c.State != manager.WaveRunning || c.Accept {
		return nil
	}
	if w.Held {
		return conflict("wave", string(w.Wave), "was paused by an operator")
	}
	for _, id := range s.lostVMs(w) {
		if !slices.Contains(w.Accepted, id) {
			return conflict("wave", string(w.Wave), fmt.Sprintf("VM %q is lost or has not settled", id))
		}
	}
	return nil
}
