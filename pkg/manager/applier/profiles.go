package applier

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func (s *State) applyProfile(c manager.ApplyProfile) (manager.Result, *manager.Failure) {
	p := c.Profile
	if f := ValidateProfile(p); f != nil {
		return manager.Result{}, f
	}
	history := s.profiles[p.Profile]
	if len(history) == 0 && len(s.profiles) >= MaxProfiles {
		return manager.Result{}, conflict("profile", string(p.Profile), fmt.Sprintf("there are %d profiles already", MaxProfiles))
	}
	current := s.currentVersion(p.Profile)
	if p.Version != current {
		return manager.Result{}, staleVersion(p, current)
	}
	if f := s.checkBudgetChange(p); f != nil {
		return manager.Result{}, f
	}
	p.Version = current + 1
	s.storeProfile(p)
	return manager.Result{Profile: &p}, nil
}

func (s *State) storeProfile(p manager.Profile) {
	history := slices.Concat(s.profiles[p.Profile], []manager.Profile{p})
	if len(history) > MaxHistory {
		history = history[len(history)-MaxHistory:]
	}
	s.profiles[p.Profile] = history
	s.budgets.SetProfile(p)
	s.configuration = s.revision
}

func (s *State) currentVersion(id manager.ProfileID) manager.Version {
	history := s.profiles[id]
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].Version
}

func (s *State) profile(id manager.ProfileID) (manager.Profile, bool) {
	history := s.profiles[id]
	if len(history) == 0 {
		return manager.Profile{}, false
	}
	return history[len(history)-1], true
}

// History returns the kept versions of a profile, oldest first.
func (s *State) History(id manager.ProfileID) []manager.Profile {
	return slices.Clone(s.profiles[id])
}

// checkBudgetChange refuses a budget that planned work already exceeds or under which no wave could run.
func (s *State) checkBudgetChange(p manager.Profile) *manager.Failure {
	if reason := s.budgets.CheckProfile(p); reason != "" {
		return invalid("Budget", reason)
	}
	return nil
}
