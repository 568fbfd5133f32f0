package budgeter

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// CheckProfile returns why a profile's budget may not come into force now; it is empty if it may.
// A budget that planned work already exceeds would be breached by the change itself, and one that
// allows no VM of a pool to be unavailable would bar every wave there.
func (b *Tracker) CheckProfile(p manager.Profile) string {
	old, existed := b.profiles[p.Profile]
	b.profiles[p.Profile] = p
	defer func() {
		if existed {
			b.profiles[p.Profile] = old
			return
		}
		delete(b.profiles, p.Profile)
	}()
	for _, id := range b.poolsOf(p.Profile) {
		if reason := b.checkPool(id); reason != "" {
			return reason
		}
	}
	return ""
}

func (b *Tracker) poolsOf(profile manager.ProfileID) []manager.PoolID {
	var list []manager.PoolID
	for id, p := range b.pools {
		if p.Profile == profile {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (b *Tracker) checkPool(id manager.PoolID) string {
	size := b.Size(id)
	if size > 0 && b.poolLimit(id) == 0 {
		return fmt.Sprintf("allows none of the %d VMs of pool %q to be unavailable, so that no wave could run there", size, id)
	}
	if c := b.byPool[id]; c.planned > 0 && c.unavailable > b.poolLimit(id) {
		return breach(fmt.Sprintf("pool %q", id), c.unavailable, b.poolLimit(id))
	}
	return b.checkService(b.Service(id))
}

func (b *Tracker) checkService(s manager.ServiceID) string {
	c := b.byService[s]
	if c.planned == 0 {
		return ""
	}
	if limit := b.serviceLimit(s); c.unavailable > limit {
		return breach(fmt.Sprintf("service %q", s), c.unavailable, limit)
	}
	perZone, perRack := b.domainLimits(s)
	if reason := checkDomains(s, "availability zone", c.perZone, perZone); reason != "" {
		return reason
	}
	return checkDomains(s, "rack", c.perRack, perRack)
}

func checkDomains[K ~string](s manager.ServiceID, kind string, used map[K]int, limit int) string {
	if limit == 0 {
		return ""
	}
	domains := make([]K, 0, len(used))
	for d := range used {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	for _, d := range domains {
		if used[d] > limit {
			return breach(fmt.Sprintf("service %q in %s %q", s, kind, d), used[d], limit)
		}
	}
	return ""
}

func breach(name string, used, limit int) string {
	return fmt.Sprintf("%s has %d VMs unavailable and the new budget allows %d", name, used, limit)
}
