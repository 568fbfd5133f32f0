package budgeter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// lossReserve is how much of a limit waves and moves leave for an unplanned loss; with less, a VM
// that is lost while another is maintained overspends the budget.
const lossReserve = 1

// Spendable returns how much of a limit waves and moves may spend; a limit of 1 has no room for a reserve.
func Spendable(limit int) int {
	if limit <= lossReserve {
		return limit
	}
	return limit - lossReserve
}

// scope is the group of VMs that a rule bounds.
type scope int

const (
	scopePool scope = iota
	scopeService
	scopeZone
	scopeRack
)

// rule is one bound of a budget on one group of VMs.
type rule struct {
	scope scope
	limit int
	used  int
}

// name returns the words for the group of VMs that v shares the rule with.
func (r rule) name(b *Tracker, v manager.VM) string {
	service := b.Service(v.Pool)
	switch r.scope {
	case scopeService:
		return fmt.Sprintf("service %q", service)
	case scopeZone:
		return fmt.Sprintf("service %q in availability zone %q", service, v.AvailabilityZone)
	case scopeRack:
		return fmt.Sprintf("service %q in rack %q", service, v.Rack)
	default:
		return fmt.Sprintf("pool %q", v.Pool)
	}
}

// maxRules is the number of scopes.
const maxRules = 4

// rules returns the bounds that a VM of a pool is under; the per-domain ones only where they are set.
func (b *Tracker) rules(v manager.VM) ([maxRules]rule, int) {
	pool := b.pools[v.Pool]
	service := b.byService[pool.Service]
	list := [maxRules]rule{{scopePool, b.poolLimit(v.Pool), b.byPool[v.Pool].unavailable}}
	n := 1
	if len(b.members[pool.Service]) > 1 {
		list[n] = rule{scopeService, b.serviceLimit(pool.Service), service.unavailable}
		n++
	}
	perZone, perRack := b.domainLimits(pool.Service)
	if perZone > 0 {
		list[n] = rule{scopeZone, perZone, service.perZone[v.AvailabilityZone]}
		n++
	}
	if perRack > 0 {
		list[n] = rule{scopeRack, perRack, service.perRack[v.Rack]}
		n++
	}
	return list, n
}

func (b *Tracker) poolLimit(id manager.PoolID) int {
	return b.Profile(id).Budget.Limit(b.Size(id))
}

// serviceLimit returns the strictest limit of the profiles of a service's pools.
func (b *Tracker) serviceLimit(s manager.ServiceID) int {
	size := b.byService[s].size
	limit := size
	for _, id := range b.members[s] {
		limit = min(limit, b.Profile(id).Budget.Limit(size))
	}
	return limit
}

// domainLimits returns the strictest bounds by zone and rack of a service's pools; 0 sets none.
func (b *Tracker) domainLimits(s manager.ServiceID) (perZone, perRack int) {
	for _, id := range b.members[s] {
		budget := b.Profile(id).Budget
		perZone = strictest(perZone, budget.MaxPerZone)
		perRack = strictest(perRack, budget.MaxPerRack)
	}
	return perZone, perRack
}

func strictest(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Check returns which rule forbids to take an available VM out of service now; it is empty if none does.
func (b *Tracker) Check(v manager.VM) string { return b.check(v, Spendable) }

// CheckWholeBudget is Check for work whose operator has accepted a loss: the part of the budget that
// was kept for it may be spent too, but no more than the budget.
func (b *Tracker) CheckWholeBudget(v manager.VM) string {
	return b.check(v, func(limit int) int { return limit })
}

// Allows tells whether Check finds no rule against taking a VM, without the cost of naming one.
func (b *Tracker) Allows(v manager.VM) bool {
	_, broken := b.broken(v, Spendable)
	return !broken
}

// AllowsZone tells whether VMs of v's pool and zone may be taken as far as no rack is concerned.
func (b *Tracker) AllowsZone(v manager.VM) bool {
	r, broken := b.broken(v, Spendable)
	return !broken || r.scope == scopeRack
}

func (b *Tracker) check(v manager.VM, spendable func(int) int) string {
	if _, ok := b.pools[v.Pool]; !ok {
		return fmt.Sprintf("pool %q does not exist", v.Pool)
	}
	r, broken := b.broken(v, spendable)
	if !broken {
		return ""
	}
	return r.refusal(r.name(b, v))
}

// broken returns the first rule that forbids to take a VM.
func (b *Tracker) broken(v manager.VM, spendable func(int) int) (rule, bool) {
	rules, n := b.rules(v)
	for _, r := range rules[:n] {
		if r.used >= spendable(r.limit) {
			return r, true
		}
	}
	return rule{}, false
}

func (r rule) refusal(name string) string {
	if r.limit == 0 {
		return fmt.Sprintf("budget of %s allows no VM to be unavailable", name)
	}
	if r.used < r.limit {
		return fmt.Sprintf("budget of %s is spent: %d of %d unavailable, and %d is kept for an unplanned loss", name, r.used, r.limit, lossReserve)
	}
	return fmt.Sprintf("budget of %s is spent: %d of %d unavailable", name, r.used, r.limit)
}

// Left returns how many more VMs of a pool its own and its service's budget let be unavailable,
// without the part kept for an unplanned loss.
func (b *Tracker) Left(id manager.PoolID) int {
	s := b.Service(id)
	left := min(Spendable(b.poolLimit(id))-b.byPool[id].unavailable, Spendable(b.serviceLimit(s))-b.byService[s].unavailable)
	return max(left, 0)
}

// Limit returns how many VMs of a pool may be unavailable at once, and how many are.
func (b *Tracker) Limit(id manager.PoolID) (limit, unavailable int) {
	if _, ok := b.byPool[id]; !ok {
		return 0, 0
	}
	return b.poolLimit(id), b.byPool[id].unavailable
}

// Limits are the most VMs that a wave may take at once under one profile of a service.
type Limits struct {
	Pool    int
	Service int
	// PerZone and PerRack are 0 where no bound is set.
	PerZone int
	PerRack int
}

// SpendableLimits returns what waves may spend in a pool while nothing is lost.
func (b *Tracker) SpendableLimits(id manager.PoolID) Limits {
	s := b.Service(id)
	perZone, perRack := b.domainLimits(s)
	return Limits{
		Pool:    Spendable(b.poolLimit(id)),
		Service: Spendable(b.serviceLimit(s)),
		PerZone: Spendable(perZone),
		PerRack: Spendable(perRack),
	}
}
