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
	q := newQueue(p.all[s])
	now := p.start
	var running []maintenance
	for q.size > 0 {
		running = p.end(now, running)
		started := p.take(now, q, &running)
		p.record(now, started)
		next, ok := p.next(now, q, running)
		if !ok {
			v := q.first()
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

// take starts every VM that the rules allow now.
func (p *planner) take(now manager.Time, q *queue, running *[]maintenance) []manager.VM {
	held := map[manager.PoolID]int{}
	for _, m := range *running {
		held[m.vm.Pool]++
	}
	var started []manager.VM
	for {
		v, ok := p.pick(now, q, held)
		if !ok {
			return started
		}
		p.book.Take(v)
		held[v.Pool]++
		*running = append(*running, maintenance{vm: v, end: now.Add(expectedTime(p.profiles[v.Pool].Wave))})
		started = append(started, v)
	}
}

// pick takes the VM to start next from the queue. A failure domain that would need the whole remaining
// time by itself goes first, as the roll-out would otherwise end by waiting for that domain alone.
func (p *planner) pick(now manager.Time, q *queue, held map[manager.PoolID]int) (manager.VM, bool) {
	if q.size == 0 {
		return manager.VM{}, false
	}
	critical := p.criticalZones(q)
	var best *group
	bestAt := 0
	for _, g := range q.groups {
		rules := p.profiles[g.pool].Wave
		if len(g.waiting) == 0 || !rules.InWindow(now) || held[g.pool] >= rules.MaxAtOnce {
			continue
		}
		if !p.book.AllowsZone(q.vms[g.waiting[0]]) {
			continue
		}
		at := slices.IndexFunc(g.waiting, func(i int) bool { return p.book.Allows(q.vms[i]) })
		if at < 0 {
			continue
		}
		if best == nil || before(critical, g, g.waiting[at], best, best.waiting[bestAt]) {
			best, bestAt = g, at
		}
	}
	if best == nil {
		return manager.VM{}, false
	}
	return q.remove(best, bestAt), true
}

// before tells whether VM i of group a starts before VM j of group b.
func before(critical map[manager.AvailabilityZone]bool, a *group, i int, b *group, j int) bool {
	if critical[a.zone] != critical[b.zone] {
		return critical[a.zone]
	}
	return i < j
}

// criticalZones returns the zones whose own bound is as long as that of the whole service.
func (p *planner) criticalZones(q *queue) map[manager.AvailabilityZone]bool {
	limits := p.book.SpendableLimits(q.first().Pool)
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

// rounds returns how many times n VMs need a limit.
func rounds(n, limit int) int {
	if limit <= 0 {
		return n
	}
	return (n + limit - 1) / limit
}

// next returns when something may start after now: a VM has settled or a window opens.
func (p *planner) next(now manager.Time, q *queue, running []maintenance) (manager.Time, bool) {
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
