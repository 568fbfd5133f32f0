package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maintenance is one VM's time out of service in a plan.
type maintenance struct {
	vm  manager.VM
	end manager.Time
}

// run plans the VMs of one service; no budget spans two services, so that each is planned by itself.
func (p *planner) run(s manager.ServiceID) error {
	waiting := slices.Clone(p.all[s])
	now := p.start
	var running []maintenance
	for len(waiting) > 0 {
		running = p.end(now, running)
		left, started := p.take(now, waiting, &running)
		waiting = left
		p.record(now, started)
		next, ok := p.next(now, waiting, running)
		if !ok {
			v := waiting[0]
			return manager.ErrConflict{Kind: "pool", Name: string(v.Pool), Reason: p.book.Check(v)}
		}
		now = next
	}
	for _, m := range running {
		p.finish = max(p.finish, m.end)
		p.book.Return(m.vm)
	}
	return nil
}

// end returns what still runs and puts the VMs that have settled back to service.
func (p *planner) end(now manager.Time, running []maintenance) []maintenance {
	return slices.DeleteFunc(running, func(m maintenance) bool {
		if m.end > now {
			return false
		}
		p.finish = max(p.finish, m.end)
		p.book.Return(m.vm)
		return true
	})
}

// take starts every VM that the rules allow now and returns those that wait on.
func (p *planner) take(now manager.Time, waiting []manager.VM, running *[]maintenance) (left, started []manager.VM) {
	held := map[manager.PoolID]int{}
	for _, m := range *running {
		held[m.vm.Pool]++
	}
	for len(waiting) > 0 {
		i := p.pick(now, waiting, held)
		if i < 0 {
			break
		}
		v := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		p.book.Take(v)
		held[v.Pool]++
		*running = append(*running, maintenance{vm: v, end: now.Add(expectedTime(p.profiles[v.Pool].Wave))})
		started = append(started, v)
	}
	return waiting, started
}

// pick returns the VM to start next, or -1. A failure domain that would need the whole remaining time
// by itself goes first, as the roll-out would otherwise end by waiting for that domain alone.
func (p *planner) pick(now manager.Time, waiting []manager.VM, held map[manager.PoolID]int) int {
	critical := p.criticalZones(waiting)
	first := -1
	for i, v := range waiting {
		rules := p.profiles[v.Pool].Wave
		if !rules.Open(now) || held[v.Pool] >= rules.MaxAtOnce || p.book.Full(v.Pool) || p.book.Check(v) != "" {
			continue
		}
		if critical[v.AvailabilityZone] {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// criticalZones returns the zones whose own bound is as long as that of the whole service.
func (p *planner) criticalZones(waiting []manager.VM) map[manager.AvailabilityZone]bool {
	limits := p.book.SpendableLimits(waiting[0].Pool)
	if limits.PerZone == 0 {
		return nil
	}
	perZone := map[manager.AvailabilityZone]int{}
	for _, v := range waiting {
		perZone[v.AvailabilityZone]++
	}
	total := rounds(len(waiting), limits.Service)
	critical := map[manager.AvailabilityZone]bool{}
	for zone, n := range perZone {
		if rounds(n, limits.PerZone) >= total {
			critical[zone] = true
		}
	}
	return critical
}

// rounds returns how many times n VMs need a limit.
func rounds(n, limit int) int {
	if limit <= 0 {
		return n
	}
	return (n + limit - 1) / limit
}

// next returns when something may start after now: a VM has settled or a window opens.
func (p *planner) next(now manager.Time, waiting []manager.VM, running []maintenance) (manager.Time, bool) {
	var next manager.Time
	for _, m := range running {
		if next == 0 || m.end < next {
			next = m.end
		}
	}
	for _, v := range waiting {
		opens := p.profiles[v.Pool].Wave.NextOpen(now)
		if opens > now && (next == 0 || opens < next) {
			next = opens
		}
	}
	return next, len(waiting) == 0 || next > now
}

// record adds the steps that start at now with the budget that is left once all of them have started.
func (p *planner) record(now manager.Time, started []manager.VM) {
	for _, v := range started {
		p.steps = append(p.steps, manager.WaveStep{
			VM: v.VM, Pool: v.Pool, State: manager.StepWaiting, StartMs: now.Sub(p.start), BudgetLeft: p.budgetLeft(v.Pool),
		})
	}
}

// budgetLeft returns how many more VMs of a pool may be lost before its budget is overspent.
func (p *planner) budgetLeft(id manager.PoolID) int {
	limit, unavailable := p.book.Limit(id)
	return limit - unavailable
}
