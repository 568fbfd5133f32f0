package maintainer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

const (
	// drainEstimate is the time that a plan assumes for one drain, unless the drain limit is shorter.
	drainEstimate = 10 * manager.Second
	// rebootEstimate is the time that a plan assumes for one reboot.
	rebootEstimate = 60 * manager.Second
)

// expectedTime returns how long a plan assumes that one VM is out of service.
func expectedTime(r manager.WaveRules) manager.Duration {
	return min(drainEstimate, r.DrainLimitMs) + rebootEstimate + r.SettleMs
}

// Plan returns the wave with its steps in the order in which they start if nothing fails.
func (Pipelined) Plan(now manager.Time, f manager.Fleet, spec manager.WaveSpec) (manager.Wave, error) {
	w := manager.Wave{Wave: spec.Wave, Pools: spec.Pools}
	if err := checkSpec(f, spec); err != nil {
		return w, err
	}
	p := newPlanner(now, f, spec)
	for _, s := range p.services {
		if err := p.planService(s); err != nil {
			return w, err
		}
		w.BoundMs = max(w.BoundMs, p.lowerBound(s))
	}
	w.Steps = p.steps
	w.ExpectedMs = p.finish.Sub(now)
	numberBatches(w.Steps)
	return w, nil
}

// planner simulates a wave in virtual time on a fleet in which every VM is in service.
type planner struct {
	start    manager.Time
	finish   manager.Time
	budgets  *budgeter.Tracker
	profiles map[manager.PoolID]manager.Profile
	services []manager.ServiceID
	// vms lists the VMs of each service in the order that their profiles set.
	vms   map[manager.ServiceID][]manager.VM
	steps []manager.WaveStep
}

func newPlanner(now manager.Time, f manager.Fleet, spec manager.WaveSpec) *planner {
	p := &planner{
		start: now, finish: now, profiles: profilesByPool(f), vms: map[manager.ServiceID][]manager.VM{},
	}
	nominal := f
	nominal.VMs = make([]manager.VM, 0, len(f.VMs))
	for _, v := range f.VMs {
		v.State, v.Phase = manager.VMRunning, manager.PhaseInService
		nominal.VMs = append(nominal.VMs, v)
	}
	p.budgets = budgeter.FromFleet(nominal)
	for _, v := range nominal.VMs {
		if slices.Contains(spec.Pools, v.Pool) {
			s := p.budgets.Service(v.Pool)
			p.vms[s] = append(p.vms[s], v)
		}
	}
	for _, pool := range f.Pools {
		if _, ok := p.vms[pool.Service]; ok && !slices.Contains(p.services, pool.Service) {
			p.services = append(p.services, pool.Service)
			p.sortVMs(p.vms[pool.Service])
		}
	}
	return p
}

// sortVMs sorts the VMs of a service in the order that their profiles set.
func (p *planner) sortVMs(vms []manager.VM) {
	slices.SortStableFunc(vms, func(a, b manager.VM) int {
		return cmp.Or(
			cmp.Compare(p.orderKey(a), p.orderKey(b)),
			cmp.Compare(a.VM, b.VM),
		)
	})
}

// orderKey returns the key by which the VM's profile sorts before the name.
func (p *planner) orderKey(v manager.VM) string {
	switch p.profiles[v.Pool].Wave.Order {
	case manager.WaveOrderZone:
		return string(v.AvailabilityZone) + "\x00" + string(v.Rack)
	case manager.WaveOrderRack:
		return string(v.Rack)
	default:
		return ""
	}
}

// numberBatches sorts the steps by start and numbers their batches from 1; steps that start together share a batch.
func numberBatches(steps []manager.WaveStep) {
	slices.SortStableFunc(steps, func(a, b manager.WaveStep) int { return cmp.Compare(a.StartMs, b.StartMs) })
	batch := 0
	for i := range steps {
		if i == 0 || steps[i].StartMs != steps[i-1].StartMs {
			batch++
		}
		steps[i].Batch = batch
	}
}
