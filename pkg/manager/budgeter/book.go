package budgeter

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Tracker counts the VMs of each pool and service; it costs the same for each change, however large the fleet is.
type Tracker struct {
	profiles map[manager.ProfileID]manager.Profile
	pools    map[manager.PoolID]manager.Pool
	// members lists the pools of each service, ordered by id.
	members   map[manager.ServiceID][]manager.PoolID
	byPool    map[manager.PoolID]*count
	byService map[manager.ServiceID]*count
}

// count counts the VMs that do not serve, for any reason.
type count struct {
	size        int
	unavailable int
	// planned counts those that the system itself took out of service.
	planned int
	perZone map[manager.AvailabilityZone]int
	perRack map[manager.RackID]int
}

func newCount() *count {
	return &count{perZone: map[manager.AvailabilityZone]int{}, perRack: map[manager.RackID]int{}}
}

// New returns an empty book.
func New() *Tracker {
	return &Tracker{
		profiles:  map[manager.ProfileID]manager.Profile{},
		pools:     map[manager.PoolID]manager.Pool{},
		members:   map[manager.ServiceID][]manager.PoolID{},
		byPool:    map[manager.PoolID]*count{},
		byService: map[manager.ServiceID]*count{},
	}
}

// FromFleet returns the book of a fleet.
func FromFleet(f manager.Fleet) *Tracker {
	b := New()
	for _, p := range f.Profiles {
		b.SetProfile(p)
	}
	for _, p := range f.Pools {
		b.SetPool(p)
	}
	for _, v := range f.VMs {
		b.Add(v)
	}
	return b
}

// SetProfile puts a profile's budget in force.
func (b *Tracker) SetProfile(p manager.Profile) { b.profiles[p.Profile] = p }

// SetPool adds a pool; its VMs are added after it.
func (b *Tracker) SetPool(p manager.Pool) {
	if _, ok := b.pools[p.Pool]; ok {
		return
	}
	b.pools[p.Pool] = p
	b.byPool[p.Pool] = newCount()
	if b.byService[p.Service] == nil {
		b.byService[p.Service] = newCount()
	}
	i, _ := slices.BinarySearch(b.members[p.Service], p.Pool)
	b.members[p.Service] = slices.Insert(b.members[p.Service], i, p.Pool)
}

// Add counts a VM.
func (b *Tracker) Add(v manager.VM) { b.change(v, 1) }

// Remove takes back what Add counted for the same VM.
func (b *Tracker) Remove(v manager.VM) { b.change(v, -1) }

// change leaves out a joining VM: it never served in its new pool, so it is no loss there.
func (b *Tracker) change(v manager.VM, by int) {
	p, ok := b.pools[v.Pool]
	if !ok || v.Phase == manager.PhaseJoining {
		return
	}
	b.byPool[v.Pool].change(v, by)
	b.byService[p.Service].change(v, by)
}

func (c *count) change(v manager.VM, by int) {
	c.size += by
	if v.Available() {
		return
	}
	c.unavailable += by
	c.perZone[v.AvailabilityZone] += by
	c.perRack[v.Rack] += by
	if v.Phase != manager.PhaseInService {
		c.planned += by
	}
}

// MarkDraining counts an available VM as taken out of service.
func (b *Tracker) MarkDraining(v manager.VM) {
	b.Remove(v)
	v.Phase = manager.PhaseDraining
	b.Add(v)
}

// MarkAvailable takes back what Take counted for the same VM.
func (b *Tracker) MarkAvailable(v manager.VM) {
	taken := v
	taken.Phase = manager.PhaseDraining
	b.Remove(taken)
	b.Add(v)
}

// Profile returns the profile of a pool.
func (b *Tracker) Profile(id manager.PoolID) manager.Profile { return b.profiles[b.pools[id].Profile] }

// Service returns the service of a pool.
func (b *Tracker) Service(id manager.PoolID) manager.ServiceID { return b.pools[id].Service }

// Size returns how many VMs a pool has.
func (b *Tracker) Size(id manager.PoolID) int {
	if c, ok := b.byPool[id]; ok {
		return c.size
	}
	return 0
}
