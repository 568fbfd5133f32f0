package rebalancer

import (
	"fmt"
	"math"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// headroomPercent is what a pool holds beyond the learned demand, against errors of the averages.
const headroomPercent = 5

// poolView is what one call sees of a pool, in VMs.
type poolView struct {
	manager.Pool
	profile manager.Profile
	// vms are the pool's VMs without those that are leaving; size counts those that are coming too.
	vms  []manager.VM
	size int
	// perDomain counts vms by failure domain.
	perDomain map[string]int
	// busy is the present demand, mean the average one, least what the pool may not shrink below and
	// want what it grows to.
	busy    int
	mean    int
	least   int
	want    int
	learned bool
}

// survey is what one call sees of the fleet.
type survey struct {
	now   manager.Time
	pools []*poolView
	index map[manager.PoolID]*poolView
	book  *budgeter.Book
	// inWave holds the VMs that an approved wave will still take.
	inWave map[manager.VMID]bool
	// domains are the failure domains in the order in which the VMs name them.
	domains []string
	known   map[string]bool
	// reserve is the shared reserve, in VMs.
	reserve reserve
}

// reserve is the idle capacity that all pools share, and the failure domain which sets it.
type reserve struct {
	vms    int
	domain string
}

func (r *Shared) survey(f manager.Fleet) *survey {
	t := &survey{index: map[manager.PoolID]*poolView{}, inWave: wavesVMs(f), known: map[string]bool{}}
	profiles := map[manager.ProfileID]manager.Profile{}
	for _, p := range f.Profiles {
		profiles[p.Profile] = p
	}
	for _, p := range f.Pools {
		view := &poolView{Pool: p, profile: profiles[p.Profile], perDomain: map[string]int{}}
		t.pools = append(t.pools, view)
		t.index[p.Pool] = view
	}
	for _, v := range f.VMs {
		t.count(v)
	}
	sizes := map[manager.ServiceID]int{}
	for _, p := range t.pools {
		sizes[p.Service] += p.size
	}
	for _, p := range t.pools {
		p.estimate(r.services[p.Service], sizes[p.Service])
	}
	t.reserve = t.sharedReserve()
	return t
}

// wavesVMs returns the VMs with an unfinished step, which a move would take from their wave.
func wavesVMs(f manager.Fleet) map[manager.VMID]bool {
	list := map[manager.VMID]bool{}
	for _, w := range f.Waves {
		if w.State != manager.WaveRunning && w.State != manager.WavePaused {
			continue
		}
		for _, step := range w.Steps {
			if !step.State.Ended() {
				list[step.VM] = true
			}
		}
	}
	return list
}

func (t *survey) count(v manager.VM) {
	if v.MoveTo != "" {
		if to, ok := t.index[v.MoveTo]; ok {
			to.size++
		}
		return
	}
	if p, ok := t.index[v.Pool]; ok {
		p.size++
		p.vms = append(p.vms, v)
		for _, d := range domainsOf(v) {
			if p.perDomain[d] == 0 && !t.known[d] {
				t.known[d] = true
				t.domains = append(t.domains, d)
			}
			p.perDomain[d]++
		}
	}
}

// estimate turns the learned demand of a service into VMs of one of its pools, by the pool's share.
func (p *poolView) estimate(l *learner, serviceSize int) {
	if l == nil || l.slotsPerVM == 0 || serviceSize == 0 {
		p.least, p.want = p.size, p.size
		return
	}
	share := float64(p.size) / float64(serviceSize) / float64(l.slotsPerVM)
	headroom := 1 + headroomPercent/100.0
	p.busy = min(p.size, vmsFor(float64(l.latest.BusySlots)*share))
	p.mean = vmsFor(l.mean * share)
	p.least = max(leastPool, vmsFor(l.highest()*share*headroom))
	p.want = vmsFor(l.recurring() * share * headroom)
	p.learned = l.learned()
}

func vmsFor(x float64) int {
	const tolerance = 1e-9
	return int(math.Ceil(x - tolerance))
}

// surplus returns how many VMs a pool could give without missing them. The share that the profile's
// weights hold back keeps roll-outs fast, as a larger pool's budget lets more VMs go at once.
func (p *poolView) surplus() int {
	free := p.size - p.least
	if free <= 0 || !p.learned {
		return 0
	}
	w := p.profile.Weights
	kept := 0
	if w.BufferCost+w.RollOutTime > 0 {
		kept = free * w.RollOutTime / (w.BufferCost + w.RollOutTime)
	}
	worth := 1 + w.Moves/max(1, w.BufferCost)
	if free-kept < min(worth, free) {
		return 0
	}
	return free - kept
}

// sharedReserve returns the VMs that the loss of the worst failure domain leaves missing. Queues
// surge in turns, so it covers one pool at its highest demand and the others at their mean.
func (t *survey) sharedReserve() reserve {
	var worst reserve
	for _, d := range t.domains {
		missing := t.missingAfter(d)
		if missing > worst.vms {
			worst = reserve{vms: missing, domain: d}
		}
	}
	return worst
}

// Kinds of failure domains, as they begin a domain's name.
const (
	kindZone = "availability zone "
	kindRack = "rack "
)

func domainsOf(v manager.VM) [2]string {
	return [2]string{kindZone + string(v.AvailabilityZone), kindRack + string(v.Rack)}
}

func (t *survey) missingAfter(domain string) int {
	mean, extra := 0, 0
	for _, p := range t.pools {
		if !p.learned {
			continue
		}
		left := p.size - p.perDomain[domain]
		atMean := max(0, p.mean-left)
		mean += atMean
		extra = max(extra, max(0, p.least-left)-atMean)
	}
	return mean + extra
}

// reserve explains what the pool is meant to hold.
func (p *poolView) reserve(shared reserve) manager.PoolReserve {
	x := manager.PoolReserve{
		Pool: p.Pool.Pool, Size: p.size, Busy: p.busy, Idle: p.size - p.busy, Need: p.least,
	}
	if !p.learned {
		x.ReserveWanted = x.Idle
		x.Why = "the demand is not known for long enough, so that nothing is given away"
		return x
	}
	x.ReserveWanted = max(0, p.least-p.busy)
	why := []string{fmt.Sprintf("the highest demand of the last %d minutes asks for %d VMs", horizonSlots, p.least)}
	if p.Spare && shared.vms > 0 {
		x.ReserveWanted += shared.vms
		why = append(why, fmt.Sprintf("%d more are the reserve shared by all pools for the loss of %s", shared.vms, shared.domain))
	}
	if kept := p.size - p.least - p.surplus(); kept > 0 && !p.Spare {
		x.ReserveWanted += kept
		why = append(why, fmt.Sprintf("%d more are kept as the profile weighs roll-out time and moves against buffer cost", kept))
	}
	x.Why = strings.Join(why, "; ")
	return x
}
