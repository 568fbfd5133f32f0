package budgeter

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Tracker counts the VMs of each pool and service that are out of service. Counting a VM takes constant
// time, whatever the size of the fleet.
type Tracker struct {
	profiles map[manager.ProfileID]manager.Profile
	pools    map[manager.PoolID]manager.Pool
	// servicePools lists the pools of each service, sorted by ID.
	servicePools map[manager.ServiceID][]manager.PoolID
	byPool       map[manager.PoolID]*count
	byService    map[manager.ServiceID]*count
}

// count is the number of VMs of a pool or service, and of those that are out of service for any reason.
type count struct {
	size        int
	unavailable int
	// planned counts the unavailable VMs that a wave or a move took out of service.
	planned int
	perZone map[manager.AvailabilityZone]int
	perRack map[manager.RackID]int
}

func newCount() *count {
	return &count{perZone: map[manager.AvailabilityZone]int{}, perRack: map[manager.RackID]int{}}
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		profiles:     map[manager.ProfileID]manager.Profile{},
		pools:        map[manager.PoolID]manager.Pool{},
		servicePools: map[manager.ServiceID][]manager.PoolID{},
		byPool:       map[manager.PoolID]*count{},
		byService:    map[manager.ServiceID]*count{},
	}
}

// FromFleet returns a Tracker that counts all VMs of a fleet.
func FromFleet(f manager.Fleet) *Tracker {
	t := New()
	for _, p := range f.Profiles {
		t.SetProfile(p)
	}
	for _, p := range f.Pools {
		t.SetPool(p)
	}
	for _, v := range f.VMs {
		t.Add(v)
	}
	return t
}

// SetProfile applies the budget of a profile to its pools.
func (t *Tracker) SetProfile(p manager.Profile) { t.profiles[p.Profile] = p }

// SetPool adds a pool. It must be called before the VMs of the pool are added.
func (t *Tracker) SetPool(p manager.Pool) {
	if _, ok := t.pools[p.Pool]; ok {
		return
	}
	t.pools[p.Pool] = p
	t.byPool[p.Pool] = newCount()
	if t.byService[p.Service] == nil {
		t.byService[p.Service] = newCount()
	}
	i, _ := slices.BinarySearch(t.servicePools[p.Service], p.Pool)
	t.servicePools[p.Service] = slices.Insert(t.servicePools[p.Service], i, p.Pool)
}

// Add counts a VM in its pool and service.
func (t *Tracker) Add(v manager.VM) { t.adjust(v, 1) }

// Remove undoes Add. It must be given the VM in the state in which it was added.
func (t *Tracker) Remove(v manager.VM) { t.adjust(v, -1) }

// adjust ignores a joining VM: it has not served in its new pool yet, so the pool loses no capacity.
func (t *Tracker) adjust(v manager.VM, delta int) {
	p, ok := t.pools[v.Pool]
	if !ok || v.Phase == manager.PhaseJoining {
		return
	}
	t.byPool[v.Pool].adjust(v, delta)
	t.byService[p.Service].adjust(v, delta)
}

func (c *count) adjust(v manager.VM, delta int) {
	c.size += delta
	if v.Available() {
		return
	}
	c.unavailable += delta
	c.perZone[v.AvailabilityZone] += delta
	c.perRack[v.Rack] += delta
	if v.Phase != manager.PhaseInService {
		c.planned += delta
	}
}

// MarkDraining counts an available VM as out of service.
func (t *Tracker) MarkDraining(v manager.VM) {
	t.Remove(v)
	v.Phase = manager.PhaseDraining
	t.Add(v)
}

// MarkAvailable undoes MarkDraining for the same VM.
func (t *Tracker) MarkAvailable(v manager.VM) {
	draining := v
	draining.Phase = manager.PhaseDraining
	t.Remove(draining)
	t.Add(v)
}

// Profile returns the profile of a pool.
func (t *Tracker) Profile(id manager.PoolID) manager.Profile { return t.profiles[t.pools[id].Profile] }

// Service returns the service of a pool.
func (t *Tracker) Service(id manager.PoolID) manager.ServiceID { return t.pools[id].Service }

// Size returns the number of VMs of a pool.
func (t *Tracker) Size(id manager.PoolID) int {
	if c, ok := t.byPool[id]; ok {
		return c.size
	}
	return 0
}
