package applier

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// minutesADay bounds the minutes of a wave's window.
	minutesADay = 24 * 60
	// maxDuration bounds the durations of the rules; a longer one is a slip of the unit.
	maxDuration = 7 * 24 * manager.Hour
	// maxWeight bounds an objective weight, so that sums of weights stay exact.
	maxWeight = 1_000
)

// ruleList collects the rules that a profile breaks, each with its field.
type ruleList struct {
	broken []manager.Failure
}

func (l *ruleList) check(ok bool, field, reason string) {
	if !ok {
		l.broken = append(l.broken, *invalid(field, reason))
	}
}

// failure returns the first broken rule; its reason goes on with the fields and reasons of the others.
func (l *ruleList) failure() *manager.Failure {
	if len(l.broken) == 0 {
		return nil
	}
	first := l.broken[0]
	reasons := []string{first.Reason}
	for _, f := range l.broken[1:] {
		reasons = append(reasons, f.Field+": "+f.Reason)
	}
	first.Reason = strings.Join(reasons, "; ")
	return &first
}

// ValidateProfile returns the rules that a profile breaks by itself, whatever the fleet is.
func ValidateProfile(p manager.Profile) *manager.Failure {
	l := &ruleList{}
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

func (l *ruleList) checkBudget(b manager.Budget) {
	l.check(b.MaxUnavailable >= 0, "Budget.MaxUnavailable", "must not be negative")
	l.check(b.MaxUnavailablePercent >= 0 && b.MaxUnavailablePercent <= 100, "Budget.MaxUnavailablePercent", "must be from 0 to 100")
	l.check(b.MaxUnavailable != 0 || b.MaxUnavailablePercent != 0, "Budget", "needs MaxUnavailable or MaxUnavailablePercent")
	l.check(b.MaxPerZone >= 0, "Budget.MaxPerZone", "must not be negative")
	l.check(b.MaxPerRack >= 0, "Budget.MaxPerRack", "must not be negative")
}

func (l *ruleList) checkWave(r manager.WaveRules) {
	orders := []manager.WaveOrder{manager.WaveOrderName, manager.WaveOrderZone, manager.WaveOrderRack}
	l.check(r.MaxAtOnce >= 1, "Wave.MaxAtOnce", "must be at least 1")
	l.check(r.SettleMs >= 0 && r.SettleMs <= maxDuration, "Wave.SettleMs", fmt.Sprintf("must be from 0 to %d", maxDuration))
	l.check(r.DrainLimitMs > 0 && r.DrainLimitMs <= maxDuration, "Wave.DrainLimitMs", fmt.Sprintf("must be from 1 to %d", maxDuration))
	l.check(r.RebootLimitMs >= 0 && r.RebootLimitMs <= maxDuration, "Wave.RebootLimitMs", fmt.Sprintf("must be from 0 to %d", maxDuration))
	l.check(slices.Contains(orders, r.Order), "Wave.Order", `must be "name", "zone" or "rack"`)
	l.check(isMinute(r.WindowStartMinute), "Wave.WindowStartMinute", "must be from 0 to 1439")
	l.check(isMinute(r.WindowEndMinute), "Wave.WindowEndMinute", "must be from 0 to 1439")
}

func isMinute(m int) bool { return m >= 0 && m < minutesADay }

func (l *ruleList) checkWeights(w manager.Weights) {
	reason := fmt.Sprintf("must be from 0 to %d", maxWeight)
	l.check(w.BufferCost >= 0 && w.BufferCost <= maxWeight, "Weights.BufferCost", reason)
	l.check(w.RollOutTime >= 0 && w.RollOutTime <= maxWeight, "Weights.RollOutTime", reason)
	l.check(w.Moves >= 0 && w.Moves <= maxWeight, "Weights.Moves", reason)
}

func (l *ruleList) checkClasses(classes []manager.JobClass) {
	named := map[string]bool{}
	for i, c := range classes {
		l.check(c.Class != "" && !named[c.Class], fmt.Sprintf("JobClasses[%d].Class", i), "must be named once")
		named[c.Class] = true
	}
}

func (l *ruleList) checkQuotas(quotas []manager.Quota) {
	teams := map[manager.TeamID]bool{}
	for i, q := range quotas {
		l.check(q.Team != "" && !teams[q.Team], fmt.Sprintf("Quotas[%d].Team", i), "must be named once")
		l.check(q.Resources.Fits(manager.Resources{}), fmt.Sprintf("Quotas[%d].Resources", i), "must not be negative")
		teams[q.Team] = true
	}
}
