package maintainer

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// bounded is a set of VMs of which only so many may be out of service at once.
type bounded struct {
	size  int
	limit int
	rules manager.WaveRules
}

// bound returns the shortest time in which a service's VMs can be maintained: no group of VMs can be
// done faster than its limit at a time, whatever the order is.
func (p *planner) bound(s manager.ServiceID) manager.Duration {
	var longest manager.Duration
	for _, g := range p.groups(s) {
		longest = max(longest, g.shortest(p.start))
	}
	return longest
}

// shortest returns the time that a group takes if each place is filled as soon as it is free and the
// window is open.
func (g bounded) shortest(start manager.Time) manager.Duration {
	now := start
	for range rounds(g.size, g.limit) {
		now = g.rules.NextWindow(now).Add(expectedTime(g.rules))
	}
	return now.Sub(start)
}

// groups returns the pools, zones and racks of a service's wave with their limits.
func (p *planner) groups(s manager.ServiceID) []bounded {
	type domain struct{ kind, name string }
	groups := map[domain]*bounded{}
	var order []domain
	add := func(d domain, v manager.VM, limit int) {
		if limit <= 0 {
			return
		}
		g, ok := groups[d]
		if !ok {
			g = &bounded{limit: limit, rules: p.profiles[v.Pool].Wave}
			groups[d] = g
			order = append(order, d)
		}
		g.size++
		if expectedTime(p.profiles[v.Pool].Wave) < expectedTime(g.rules) {
			g.rules = p.profiles[v.Pool].Wave
		}
	}
	for _, v := range p.all[s] {
		limits := p.book.SpendableLimits(v.Pool)
		add(domain{"pool", string(v.Pool)}, v, min(limits.Pool, p.profiles[v.Pool].Wave.MaxAtOnce))
		add(domain{"service", string(s)}, v, limits.Service)
		add(domain{"zone", string(v.AvailabilityZone)}, v, limits.PerZone)
		add(domain{"rack", string(v.Rack)}, v, limits.PerRack)
	}
	list := make([]bounded, 0, len(order))
	for _, d := range order {
		list = append(list, *groups[d])
	}
	return list
}
