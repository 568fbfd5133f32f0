package applier

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// view caches the last Fleet, so that reads between two changes share it.
type view struct {
	fleet manager.Fleet
	valid bool
	// settling says that time alone may change a VM.
	settling bool
}

// ConfigurationRevision returns the revision of the last change to a profile or a pool.
func (s *State) ConfigurationRevision() manager.Revision { return s.configuration }

// Fleet returns a view of the state that later changes don't modify.
func (s *State) Fleet() manager.Fleet {
	v := &s.view
	switch {
	case v.valid && v.fleet.Revision == s.revision && (v.fleet.Now == s.now || !v.settling):
	default:
		s.buildView()
	}
	v.fleet.Now = s.now
	return v.fleet
}

func (s *State) buildView() {
	old := s.view.fleet
	f := manager.Fleet{Revision: s.revision, Configuration: s.configuration, Now: s.now}
	if s.view.valid && old.Configuration == s.configuration {
		f.Profiles, f.Pools = old.Profiles, old.Pools
	} else {
		f.Profiles, f.Pools = s.currentProfiles(), sortedValues(s.pools)
	}
	f.VMs = sortedLike(s.vms, old.VMs, func(v manager.VM) manager.VMID { return v.VM })
	f.Waves = sortedLike(s.waves, old.Waves, func(w manager.Wave) manager.WaveID { return w.Wave })
	for i, w := range f.Waves {
		f.Waves[i].Steps = slices.Clone(w.Steps)
	}
	f.Jobs = s.jobView()
	settling := func(v manager.VM) bool { return v.Phase == manager.PhaseSettling }
	s.view = view{fleet: f, valid: true, settling: slices.ContainsFunc(f.VMs, settling)}
}

func (s *State) currentProfiles() []manager.Profile {
	list := make([]manager.Profile, 0, len(s.profiles))
	for _, id := range sortedKeys(s.profiles) {
		history := s.profiles[id]
		list = append(list, history[len(history)-1])
	}
	return list
}

// sortedLike returns the values ordered by id. It reuses the order of the old list if the ids are the same,
// as sorting is most of the cost of a view.
func sortedLike[K ~string, V any](m map[K]V, old []V, id func(V) K) []V {
	if len(old) != len(m) {
		return sortedValues(m)
	}
	list := make([]V, 0, len(m))
	for _, o := range old {
		v, ok := m[id(o)]
		if !ok {
			return sortedValues(m)
		}
		list = append(list, v)
	}
	return list
}
