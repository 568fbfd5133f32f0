package rebalancer

import (
	"fmt"
	"math"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// headroomPercent is the headroom of a pool above the estimated demand, to allow for errors of the averages.
const headroomPercent = 5

// poolView is a pool as seen by one call, in VMs.
type poolView struct {
	manager.Pool
	profile manager.Profile
	// vms are the pool's VMs without those that are moving out; size also counts those that are moving in.
	vms  []manager.VM
	size int
	// perDomain counts vms by failure domain.
	perDomain map[string]int
	// busy is the current demand, mean the average demand, minSize the size below which the pool must not shrink
	// and growTo the size up to which it grows.
	busy     int
	mean     int
	minSize  int
	growTo   int
	warmedUp bool
}

// fleetView is the fleet as seen by one call.
type fleetView struct {
	now     manager.Time
	pools   []*poolView
	byPool  map[manager.PoolID]*poolView
	budgets *budgeter.Tracker
	// inWave holds the VMs with an unfinished step of a running or paused wave.
	inWave map[manager.VMID]bool
	// domains lists the failure domains in order of first appearance among the VMs.
	domains []string
	known   map[string]bool
	// reserve is the reserve shared by all pools.
	reserve reserve
}

// reserve is the reserve shared by all pools, in VMs, and the failure domain whose loss determines it.
type reserve struct {
	vms    int
	domain string
}

func (r *Shared) newFleetView(f manager.Fleet) *fleetView {
	x := &fleetView{byPool: map[manager.PoolID]*poolView{}, inWave: vmsInWaves(f), known: map[string]bool{}}
	profiles := map[manager.ProfileID]manager.Profile{}
	for _, p := range f.Profiles {
		profiles[p.Profile] = p
	}
	for _, p := range f.Pools {
		pool := &poolView{Pool: p, profile: profiles[p.Profile], perDomain: map[string]int{}}
		x.pools = append(x.pools, pool)
		x.byPool[p.Pool] = pool
	}
	for _, v := range f.VMs {
		x.addVM(v)
	}
	sizes := map[manager.ServiceID]int{}
	for _, p := range x.pools {
		sizes[p.Service] += p.size
	}
	for _, p := range x.pools {
		p.estimate(r.services[p.Service], sizes[p.Service])
	}
	x.reserve = x.sharedReserve()
	return x
}

// vmsInWaves returns the VMs with an unfinished step of a running or paused wave; a move would take them from it.
func vmsInWaves(f manager.Fleet) map[manager.VMID]bool {
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

func (x *fleetView) addVM(v manager.VM) {
	if v.MoveTo != "" {
		if to, ok := x.byPool[v.MoveTo]; ok {
			to.size++
		}
		return
	}
	if p, ok := x.byPool[v.Pool]; ok {
		p.size++
		p.vms = append(p.vms, v)
		for _, d := range domainsOf(v) {
			if p.perDomain[d] == 0 && !x.known[d] {
				x.known[d] = true
				x.domains = append(x.domains, d)
			}
			p.perDomain[d]++
		}
	}
}

// estimate converts the estimated demand of a service into VMs of one of its pools, by the pool's share of the
// service's VMs.
func (p *poolView) estimate(e *demandEstimator, serviceSize int) {
	if e == nil || e.slotsPerVM == 0 || serviceSize == 0 {
		p.minSize, p.growTo = p.size, p.size
		return
	}
	share := float64(p.size) / float64(serviceSize) / float64(e.slotsPerVM)
	headroom := 1 + headroomPercent/100.0
	p.busy = min(p.size, ceilVMs(float64(e.latest.BusySlots)*share))
	p.mean = ceilVMs(e.mean * share)
	p.minSize = max(minPoolSize, ceilVMs(e.highest()*share*headroom))
	p.growTo = ceilVMs(e.recurring() * share * headroom)
	p.warmedUp = e.warmedUp()
}

func ceilVMs(x float64) int {
	const tolerance = 1e-9
	return int(math.Ceil(x - tolerance))
}

// surplus returns how many VMs a pool can give up. The profile's weights hold back a part of the free VMs to keep
// roll-outs fast, because the budget of a larger pool lets more VMs be out of service at once.
func (p *poolView) surplus() int {
	free := p.size - p.minSize
	if free <= 0 || !p.warmedUp {
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

// sharedReserve returns how many VMs would be missing after the loss of the worst failure domain. It covers one pool
// at its highest demand and the others at their mean, because queues surge at different times.
func (x *fleetView) sharedReserve() reserve {
	var worst reserve
	for _, d := range x.domains {
		missing := x.missingAfterLoss(d)
		if missing > worst.vms {
			worst = reserve{vms: missing, domain: d}
		}
	}
	return worst
}

// Kinds of failure domains, used as prefixes of their names.
const (
	kindZone = "availability zone "
	kindRack = "rack "
)

func domainsOf(v manager.VM) [2]string {
	return [2]string{kindZone + string(v.AvailabilityZone), kindRack + string(v.Rack)}
}

func (x *fleetView) missingAfterLoss(domain string) int {
	mean, extra := 0, 0
	for _, p := range x.pools {
		if !p.warmedUp {
			continue
		}
		left := p.size - p.perDomain[domain]
		atMean := max(0, p.mean-left)
		mean += atMean
		extra = max(extra, max(0, p.minSize-left)-atMean)
	}
	return mean + extra
}

// poolReserve returns the pool's actual and wanted reserve, with the reason.
func (p *poolView) poolReserve(shared reserve) manager.PoolReserve {
	x := manager.PoolReserve{
		Pool: p.Pool.Pool, Size: p.size, Busy: p.busy, Idle: p.size - p.busy, Need: p.minSize,
	}
	if !p.warmedUp {
		x.ReserveWanted = x.Idle
		x.Reason = "demand has not been observed for long enough, so the pool keeps all its idle VMs"
		return x
	}
	x.ReserveWanted = max(0, p.minSize-p.busy)
	why := []string{fmt.Sprintf("the highest demand of the last %d minutes needs %d VMs", horizonPeriods, p.minSize)}
	if p.Spare && shared.vms > 0 {
		x.ReserveWanted += shared.vms
		why = append(why, fmt.Sprintf("%d more are the reserve shared by all pools for the loss of %s", shared.vms, shared.domain))
	}
	if kept := p.size - p.minSize - p.surplus(); kept > 0 && !p.Spare {
		x.ReserveWanted += kept
		why = append(why, fmt.Sprintf("%d more are kept as the profile weighs roll-out time and moves against buffer cost", kept))
	}
	x.Reason = strings.Join(why, "; ")
	return x
}
