package maintainer

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// vmMaintenance is the time that a VM is out of service in a plan.
type vmMaintenance struct {
	vm  manager.VM
	end manager.Time
}

// planService plans the VMs of one service. No budget spans two services, so that each is planned on its own.
func (p *planner) planService(s manager.ServiceID) error {
	q := newVMQueue(p.vms[s])
	now := p.start
	var running []vmMaintenance
	for q.size > 0 {
		running = p.endMaintenance(now, running)
		started := p.startAllowed(now, q, &running)
		p.addSteps(now, started)
		next, ok := p.nextEvent(now, q, running)
		if !ok {
			v := q.first()
			return manager.ErrConflict{Kind: "pool", Name: string(v.Pool), Reason: p.budgets.Check(v)}
		}
		now = next
	}
	for _, m := range running {
		p.finish = max(p.finish, m.end)
		p.budgets.MarkAvailable(m.vm)
	}
	return nil
}

// endMaintenance puts the VMs that have settled back into service and returns the maintenance that still runs.
func (p *planner) endMaintenance(now manager.Time, running []vmMaintenance) []vmMaintenance {
	return slices.DeleteFunc(running, func(m vmMaintenance) bool {
		if m.end > now {
			return false
		}
		p.finish = max(p.finish, m.end)
		p.budgets.MarkAvailable(m.vm)
		return true
	})
}

// startAllowed starts the maintenance of every VM that the rules allow now.
func (p *planner) startAllowed(now manager.Time, q *vmQueue, running *[]vmMaintenance) []manager.VM {
	outOfService := map[manager.PoolID]int{}
	for _, m := range *running {
		outOfService[m.vm.Pool]++
	}
	var started []manager.VM
	for {
		v, ok := p.pick(now, q, outOfService)
		if !ok {
			return started
		}
		p.budgets.MarkDraining(v)
		outOfService[v.Pool]++
		*running = append(*running, vmMaintenance{vm: v, end: now.Add(expectedTime(p.profiles[v.Pool].Wave))})
		started = append(started, v)
	}
}

// pick removes the VM to start next from the queue. VMs of a critical availability zone go first: such a zone needs
// the whole remaining time on its own, so that the roll-out would otherwise end by waiting for it alone.
func (p *planner) pick(now manager.Time, q *vmQueue, outOfService map[manager.PoolID]int) (manager.VM, bool) {
	if q.size == 0 {
		return manager.VM{}, false
	}
	critical := p.criticalZones(q)
	var best *group
	bestAt := 0
	for _, g := range q.groups {
		rules := p.profiles[g.pool].Wave
		if len(g.waiting) == 0 || !rules.InWindow(now) || outOfService[g.pool] >= rules.MaxAtOnce {
			continue
		}
		if !p.budgets.AllowsZone(q.vms[g.waiting[0]]) {
			continue
		}
		at := slices.IndexFunc(g.waiting, func(i int) bool { return p.budgets.Allows(q.vms[i]) })
		if at < 0 {
			continue
		}
		if best == nil || startsBefore(critical, g, g.waiting[at], best, best.waiting[bestAt]) {
			best, bestAt = g, at
		}
	}
	if best == nil {
		return manager.VM{}, false
	}
	return q.remove(best, bestAt), true
}

// startsBefore reports whether VM i of group a starts before VM j of group b.
func startsBefore(critical map[manager.AvailabilityZone]bool, a *group, i int, b *group, j int) bool {
	if critical[a.zone] != critical[b.zone] {
		return critical[a.zone]
	}
	return i < j
}

// criticalZones returns the availability zones that need at least as many rounds as the whole service.
func (p *planner) criticalZones(q *vmQueue) map[manager.AvailabilityZone]bool {
	limits := p.budgets.SpendableLimits(q.first().Pool)
	if limits.PerZone == 0 {
		return nil
	}
	total := rounds(q.size, limits.Service)
	critical := map[manager.AvailabilityZone]bool{}
	for zone, n := range q.perZone {
		if rounds(n, limits.PerZone) >= total {
			critical[zone] = true
		}
	}
	return critical
}

// rounds returns how many rounds n VMs need with limit VMs per round.
func rounds(n, limit int) int {
	if limit <= 0 {
		return n
	}
	return (n + limit - 1) / limit
}

// nextEvent returns the time after now at which more may start: a VM has settled or a maintenance window opens.
func (p *planner) nextEvent(now manager.Time, q *vmQueue, running []vmMaintenance) (manager.Time, bool) {
	var next manager.Time
	for _, m := range running {
		if next == 0 || m.end < next {
			next = m.end
		}
	}
	for _, g := range q.groups {
		opens := p.profiles[g.pool].Wave.NextWindow(now)
		if len(g.waiting) > 0 && opens > now && (next == 0 || opens < next) {
			next = opens
		}
	}
	return next, q.size == 0 || next > now
}

// addSteps adds the steps that start at now, with the budget that is left when all of them have started.
func (p *planner) addSteps(now manager.Time, started []manager.VM) {
	for _, v := range started {
		p.steps = append(p.steps, manager.WaveStep{
			VM: v.VM, Pool: v.Pool, State: manager.StepWaiting, StartMs: now.Sub(p.start), BudgetLeft: p.budgetLeft(v.Pool),
		})
	}
}

// budgetLeft returns how many more VMs of a pool may become unavailable within its budget.
func (p *planner) budgetLeft(id manager.PoolID) int {
	limit, unavailable := p.budgets.Limit(id)
	return limit - unavailable
}
