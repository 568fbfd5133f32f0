package budgeter

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// CheckProfile returns why a profile's budget can't be applied now, or an empty string if it can. It rejects a
// budget that is already exceeded while VMs are out of service for a wave or a move, because the change itself would
// break it, and one that allows no VM of a pool to be unavailable, because no wave could run in that pool.
func (t *Tracker) CheckProfile(p manager.Profile) string {
	old, existed := t.profiles[p.Profile]
	t.profiles[p.Profile] = p
	defer func() {
		if existed {
			t.profiles[p.Profile] = old
			return
		}
		delete(t.profiles, p.Profile)
	}()
	for _, id := range t.poolsWithProfile(p.Profile) {
		if reason := t.checkPool(id); reason != "" {
			return reason
		}
	}
	return ""
}

func (t *Tracker) poolsWithProfile(profile manager.ProfileID) []manager.PoolID {
	var list []manager.PoolID
	for id, p := range t.pools {
		if p.Profile == profile {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (t *Tracker) checkPool(id manager.PoolID) string {
	size := t.Size(id)
	if size > 0 && t.poolLimit(id) == 0 {
		return fmt.Sprintf("allows none of the %d VMs of pool %q to be unavailable, so that no wave could run there", size, id)
	}
	if c := t.byPool[id]; c.planned > 0 && c.unavailable > t.poolLimit(id) {
		return exceeded(fmt.Sprintf("pool %q", id), c.unavailable, t.poolLimit(id))
	}
	return t.checkService(t.Service(id))
}

func (t *Tracker) checkService(s manager.ServiceID) string {
	c := t.byService[s]
	if c.planned == 0 {
		return ""
	}
	if limit := t.serviceLimit(s); c.unavailable > limit {
		return exceeded(fmt.Sprintf("service %q", s), c.unavailable, limit)
	}
	perZone, perRack := t.domainLimits(s)
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
			return exceeded(fmt.Sprintf("service %q in %s %q", s, kind, d), used[d], limit)
		}
	}
	return ""
}

func exceeded(name string, used, limit int) string {
	return fmt.Sprintf("%s has %d VMs unavailable and the new budget allows %d", name, used, limit)
}
