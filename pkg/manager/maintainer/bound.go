package maintainer

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// limitedGroup is a set of VMs with a limit on how many may be out of service at once.
type limitedGroup struct {
	size  int
	limit int
	rules manager.WaveRules
}

// lowerBound returns a lower bound of the time to maintain a service's VMs: whatever the order, each group of VMs
// needs at least the time of maintaining as many at a time as its limit allows.
func (p *planner) lowerBound(s manager.ServiceID) manager.Duration {
	var longest manager.Duration
	for _, g := range p.groups(s) {
		longest = max(longest, g.shortestTime(p.start))
	}
	return longest
}

// shortestTime returns the time that a group takes if the next VMs start as soon as the limit and the maintenance
// window allow.
func (g limitedGroup) shortestTime(start manager.Time) manager.Duration {
	now := start
	for range rounds(g.size, g.limit) {
		now = g.rules.NextWindow(now).Add(expectedTime(g.rules))
	}
	return now.Sub(start)
}

// groups returns the groups of a service's VMs in the wave that have a limit: pools, the service, availability
// zones and racks.
func (p *planner) groups(s manager.ServiceID) []limitedGroup {
	type domain struct{ kind, name string }
	groups := map[domain]*limitedGroup{}
	var order []domain
	add := func(d domain, v manager.VM, limit int) {
		if limit <= 0 {
			return
		}
		g, ok := groups[d]
		if !ok {
			g = &limitedGroup{limit: limit, rules: p.profiles[v.Pool].Wave}
			groups[d] = g
			order = append(order, d)
		}
		g.size++
		if expectedTime(p.profiles[v.Pool].Wave) < expectedTime(g.rules) {
			g.rules = p.profiles[v.Pool].Wave
		}
	}
	for _, v := range p.vms[s] {
		limits := p.budgets.SpendableLimits(v.Pool)
		add(domain{"pool", string(v.Pool)}, v, min(limits.Pool, p.profiles[v.Pool].Wave.MaxAtOnce))
		add(domain{"service", string(s)}, v, limits.Service)
		add(domain{"zone", string(v.AvailabilityZone)}, v, limits.PerZone)
		add(domain{"rack", string(v.Rack)}, v, limits.PerRack)
	}
	list := make([]limitedGroup, 0, len(order))
	for _, d := range order {
		list = append(list, *groups[d])
	}
	return list
}
