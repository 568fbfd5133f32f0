package budgeter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// lossReserve is the part of a limit that waves and moves keep free for an unplanned loss. With a smaller reserve,
// losing a VM while another one is under maintenance exceeds the budget.
const lossReserve = 1

// Spendable returns the part of a limit that waves and moves may use. A limit of 1 has no reserve, as no wave
// or move could start with one.
func Spendable(limit int) int {
	if limit <= lossReserve {
		return limit
	}
	return limit - lossReserve
}

// scope is the kind of VM group that a rule applies to.
type scope int

const (
	scopePool scope = iota
	scopeService
	scopeZone
	scopeRack
)

// rule is the limit of a budget on the unavailable VMs of one group, and how many there are.
type rule struct {
	scope scope
	limit int
	used  int
}

// name describes the group of VMs that the rule applies to and that v is in.
func (r rule) name(t *Tracker, v manager.VM) string {
	service := t.Service(v.Pool)
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

// rules returns the rules that apply to a VM and their number. The rules for the availability zone and the rack
// are included only if the budget sets a limit for them, and that for the service only if it has several pools.
func (t *Tracker) rules(v manager.VM) ([maxRules]rule, int) {
	pool := t.pools[v.Pool]
	service := t.byService[pool.Service]
	list := [maxRules]rule{{scopePool, t.poolLimit(v.Pool), t.byPool[v.Pool].unavailable}}
	n := 1
	if len(t.servicePools[pool.Service]) > 1 {
		list[n] = rule{scopeService, t.serviceLimit(pool.Service), service.unavailable}
		n++
	}
	perZone, perRack := t.domainLimits(pool.Service)
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

func (t *Tracker) poolLimit(id manager.PoolID) int {
	return t.Profile(id).Budget.Limit(t.Size(id))
}

// serviceLimit returns the lowest limit that the profiles of a service's pools set for the whole service.
func (t *Tracker) serviceLimit(s manager.ServiceID) int {
	size := t.byService[s].size
	limit := size
	for _, id := range t.servicePools[s] {
		limit = min(limit, t.Profile(id).Budget.Limit(size))
	}
	return limit
}

// domainLimits returns the lowest limits per availability zone and per rack that the profiles of a service's
// pools set; 0 means no limit.
func (t *Tracker) domainLimits(s manager.ServiceID) (perZone, perRack int) {
	for _, id := range t.servicePools[s] {
		budget := t.Profile(id).Budget
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

// Check returns why an available VM must not be draining out of service now, or an empty string if it may be.
func (t *Tracker) Check(v manager.VM) string { return t.check(v, Spendable) }

// CheckWholeBudget is like Check for waves whose operator has accepted a loss: the reserve for an unplanned loss
// may be used too, but the budget itself still holds.
func (t *Tracker) CheckWholeBudget(v manager.VM) string {
	return t.check(v, func(limit int) int { return limit })
}

// Allows reports whether Check would allow a VM to be draining out of service, without the cost of a message.
func (t *Tracker) Allows(v manager.VM) bool {
	_, blocked := t.firstViolation(v, Spendable)
	return !blocked
}

// AllowsZone reports whether the rules other than that for the rack allow a VM of v's pool and availability zone
// to be draining out of service.
func (t *Tracker) AllowsZone(v manager.VM) bool {
	r, blocked := t.firstViolation(v, Spendable)
	return !blocked || r.scope == scopeRack
}

func (t *Tracker) check(v manager.VM, spendable func(int) int) string {
	if _, ok := t.pools[v.Pool]; !ok {
		return fmt.Sprintf("pool %q does not exist", v.Pool)
	}
	r, blocked := t.firstViolation(v, spendable)
	if !blocked {
		return ""
	}
	return r.reason(r.name(t, v))
}

// firstViolation returns the first rule that does not allow v to be draining out of service, if any.
func (t *Tracker) firstViolation(v manager.VM, spendable func(int) int) (rule, bool) {
	rules, n := t.rules(v)
	for _, r := range rules[:n] {
		if r.used >= spendable(r.limit) {
			return r, true
		}
	}
	return rule{}, false
}

func (r rule) reason(name string) string {
	if r.limit == 0 {
		return fmt.Sprintf("budget of %s allows no VM to be unavailable", name)
	}
	if r.used < r.limit {
		return fmt.Sprintf("budget of %s is spent: %d of %d unavailable, and %d is kept for an unplanned loss", name, r.used, r.limit, lossReserve)
	}
	return fmt.Sprintf("budget of %s is spent: %d of %d unavailable", name, r.used, r.limit)
}

// Left returns how many more VMs of a pool may be draining out of service under the limits of the pool and its
// service, not counting the reserve for an unplanned loss.
func (t *Tracker) Left(id manager.PoolID) int {
	s := t.Service(id)
	left := min(Spendable(t.poolLimit(id))-t.byPool[id].unavailable, Spendable(t.serviceLimit(s))-t.byService[s].unavailable)
	return max(left, 0)
}

// Limit returns how many VMs of a pool may be unavailable at once, and how many are unavailable now.
func (t *Tracker) Limit(id manager.PoolID) (limit, unavailable int) {
	if _, ok := t.byPool[id]; !ok {
		return 0, 0
	}
	return t.poolLimit(id), t.byPool[id].unavailable
}

// Limits are the numbers of VMs that waves may have out of service at once in one pool, and in its service as a
// whole, per availability zone and per rack.
type Limits struct {
	Pool    int
	Service int
	// PerZone and PerRack are 0 if there is no limit.
	PerZone int
	PerRack int
}

// SpendableLimits returns the limits for waves in a pool, without the reserve for an unplanned loss.
func (t *Tracker) SpendableLimits(id manager.PoolID) Limits {
	s := t.Service(id)
	perZone, perRack := t.domainLimits(s)
	return Limits{
		Pool:    Spendable(t.poolLimit(id)),
		Service: Spendable(t.serviceLimit(s)),
		PerZone: Spendable(perZone),
		PerRack: Spendable(perRack),
	}
}
