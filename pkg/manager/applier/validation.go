package applier

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// minutesPerDay limits the minutes of a maintenance window.
	minutesPerDay = 24 * 60
	// maxDuration limits the durations in the rules; a longer one is most likely given in the wrong unit.
	maxDuration = 7 * 24 * manager.Hour
	// maxWeight limits an objective weight, so that sums of weights stay exact.
	maxWeight = 1_000
)

// violations collects the rules that a profile violates, each with its field.
type violations struct {
	list []manager.Failure
}

func (l *violations) check(ok bool, field, reason string) {
	if !ok {
		l.list = append(l.list, *invalid(field, reason))
	}
}

// failure returns the first violation, with the fields and reasons of the others appended to its reason.
func (l *violations) failure() *manager.Failure {
	if len(l.list) == 0 {
		return nil
	}
	first := l.list[0]
	reasons := []string{first.Reason}
	for _, f := range l.list[1:] {
		reasons = append(reasons, f.Field+": "+f.Reason)
	}
	first.Reason = strings.Join(reasons, "; ")
	return &first
}

// ValidateProfile returns the rules that a profile violates regardless of the fleet.
func ValidateProfile(p manager.Profile) *manager.Failure {
	l := &violations{}
	l.check(p.Profile != "", "Profile", "is missing")
	l.check(p.Capacity.Fits(manager.Resources{}), "Capacity", "must not be negative")
	l.check(p.Spread.MaxPerZone >= 0, "Spread.MaxPerZone", "must not be negative")
	l.check(p.Spread.MaxPerRack >= 0, "Spread.MaxPerRack", "must not be negative")
	l.checkBudget(p.Budget)
	l.checkWave(p.Wave)
	l.checkWeights(p.Weights)
	l.checkClasses(p.JobClasses)
	l.checkQuotas(p.Quotas)
	return l.failure()
}

func (l *violations) checkBudget(b manager.Budget) {
	l.check(b.MaxUnavailable >= 0, "Budget.MaxUnavailable", "must not be negative")
	l.check(b.MaxUnavailablePercent >= 0 && b.MaxUnavailablePercent <= 100, "Budget.MaxUnavailablePercent", "must be from 0 to 100")
	l.check(b.MaxUnavailable != 0 || b.MaxUnavailablePercent != 0, "Budget", "needs MaxUnavailable or MaxUnavailablePercent")
	l.check(b.MaxPerZone >= 0, "Budget.MaxPerZone", "must not be negative")
	l.check(b.MaxPerRack >= 0, "Budget.MaxPerRack", "must not be negative")
}

func (l *violations) checkWave(r manager.WaveRules) {
	orders := []manager.WaveOrder{manager.WaveOrderName, manager.WaveOrderZone, manager.WaveOrderRack}
	l.check(r.MaxAtOnce >= 1, "Wave.MaxAtOnce", "must be at least 1")
	l.check(r.SettleMs >= 0 && r.SettleMs <= maxDuration, "Wave.SettleMs", fmt.Sprintf("must be from 0 to %d", maxDuration))
	l.check(r.DrainLimitMs > 0 && r.DrainLimitMs <= maxDuration, "Wave.DrainLimitMs", fmt.Sprintf("must be from 1 to %d", maxDuration))
	l.check(r.RebootLimitMs >= 0 && r.RebootLimitMs <= maxDuration, "Wave.RebootLimitMs", fmt.Sprintf("must be from 0 to %d", maxDuration))
	l.check(slices.Contains(orders, r.Order), "Wave.Order", `must be "name", "zone" or "rack"`)
	l.check(isMinute(r.WindowStartMinute), "Wave.WindowStartMinute", "must be from 0 to 1439")
	l.check(isMinute(r.WindowEndMinute), "Wave.WindowEndMinute", "must be from 0 to 1439")
}

func isMinute(m int) bool { return m >= 0 && m < minutesPerDay }

func (l *violations) checkWeights(w manager.Weights) {
	reason := fmt.Sprintf("must be from 0 to %d", maxWeight)
	l.check(w.BufferCost >= 0 && w.BufferCost <= maxWeight, "Weights.BufferCost", reason)
	l.check(w.RollOutTime >= 0 && w.RollOutTime <= maxWeight, "Weights.RollOutTime", reason)
	l.check(w.Moves >= 0 && w.Moves <= maxWeight, "Weights.Moves", reason)
}

func (l *violations) checkClasses(classes []manager.JobClass) {
	named := map[string]bool{}
	for i, c := range classes {
		l.check(c.Class != "" && !named[c.Class], fmt.Sprintf("JobClasses[%d].Class", i), "must be set and unique")
		named[c.Class] = true
	}
}

func (l *violations) checkQuotas(quotas []manager.Quota) {
	teams := map[manager.TeamID]bool{}
	for i, q := range quotas {
		l.check(q.Team != "" && !teams[q.Team], fmt.Sprintf("Quotas[%d].Team", i), "must be set and unique")
		l.check(q.Resources.Fits(manager.Resources{}), fmt.Sprintf("Quotas[%d].Resources", i), "must not be negative")
		teams[q.Team] = true
	}
}
