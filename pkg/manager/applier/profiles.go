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
		reason := fmt.Sprintf("version %d was read but %d is current", p.Version, current)
		return manager.Result{}, conflict("profile", string(p.Profile), reason)
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

// History returns the versions kept of a profile, oldest first.
func (s *State) History(id manager.ProfileID) []manager.Profile {
	return slices.Clone(s.profiles[id])
}

// checkBudgetChange refuses a budget that VMs which are unavailable now already exceed.
func (s *State) checkBudgetChange(p manager.Profile) *manager.Failure {
	for _, id := range sorted(s.pools) {
		if s.pools[id].Profile != p.Profile {
			continue
		}
		usage := s.poolUsage(id)
		if usage.planned > 0 && usage.unavailable > p.Budget.Limit(usage.size) {
			reason := fmt.Sprintf("pool %q has %d VMs unavailable and the new budget allows %d",
				id, usage.unavailable, p.Budget.Limit(usage.size))
			return invalid("Budget", reason)
		}
	}
	return nil
}

// ValidateProfile returns the first rule that a profile breaks.
func ValidateProfile(p manager.Profile) *manager.Failure {
	switch {
	case p.Profile == "":
		return invalid("Profile", "is missing")
	case p.Budget.MaxUnavailable < 0:
		return invalid("Budget.MaxUnavailable", "must not be negative")
	case p.Budget.MaxUnavailablePercent < 0 || p.Budget.MaxUnavailablePercent > 100:
		return invalid("Budget.MaxUnavailablePercent", "must be from 0 to 100")
	case p.Budget.MaxUnavailable == 0 && p.Budget.MaxUnavailablePercent == 0:
		return invalid("Budget", "needs MaxUnavailable or MaxUnavailablePercent")
	case p.Budget.MaxPerZone < 0:
		return invalid("Budget.MaxPerZone", "must not be negative")
	case p.Budget.MaxPerRack < 0:
		return invalid("Budget.MaxPerRack", "must not be negative")
	default:
		return validateRules(p)
	}
}

func validateRules(p manager.Profile) *manager.Failure {
	const minutesADay = 24 * 60
	switch {
	case p.Wave.MaxAtOnce < 1:
		return invalid("Wave.MaxAtOnce", "must be at least 1")
	case p.Wave.SettleMs < 0:
		return invalid("Wave.SettleMs", "must not be negative")
	case p.Wave.DrainLimitMs <= 0:
		return invalid("Wave.DrainLimitMs", "must be more than 0")
	case !slices.Contains([]manager.WaveOrder{manager.WaveOrderName, manager.WaveOrderZone, manager.WaveOrderRack}, p.Wave.Order):
		return invalid("Wave.Order", `must be "name", "zone" or "rack"`)
	case p.Wave.WindowStartMinute < 0 || p.Wave.WindowStartMinute >= minutesADay:
		return invalid("Wave.WindowStartMinute", "must be from 0 to 1439")
	case p.Wave.WindowEndMinute < 0 || p.Wave.WindowEndMinute >= minutesADay:
		return invalid("Wave.WindowEndMinute", "must be from 0 to 1439")
	case p.Weights.BufferCost < 0 || p.Weights.RollOutTime < 0 || p.Weights.Moves < 0:
		return invalid("Weights", "must not be negative")
	default:
		return validateJobRules(p)
	}
}

func validateJobRules(p manager.Profile) *manager.Failure {
	classes := map[string]bool{}
	for i, c := range p.JobClasses {
		if c.Class == "" || classes[c.Class] {
			return invalid(fmt.Sprintf("JobClasses[%d].Class", i), "must be named once")
		}
		classes[c.Class] = true
	}
	teams := map[manager.TeamID]bool{}
	for i, q := range p.Quotas {
		if q.Team == "" || teams[q.Team] {
			return invalid(fmt.Sprintf("Quotas[%d].Team", i), "must be named once")
		}
		teams[q.Team] = true
		if !q.Resources.Fits(manager.Resources{}) {
			return invalid(fmt.Sprintf("Quotas[%d].Resources", i), "must not be negative")
		}
	}
	return nil
}
