package maintainer

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

const (
	// drainEstimate is the time that a plan assumes for one drain, which a drain limit may shorten.
	drainEstimate = 10 * manager.Second
	// rebootEstimate is the time that a plan assumes for one reboot.
	rebootEstimate = 60 * manager.Second
)

// expectedTime is how long a plan assumes that one VM is out of service.
func expectedTime(r manager.WaveRules) manager.Duration {
	return min(drainEstimate, r.DrainLimitMs) + rebootEstimate + r.SettleMs
}

// Plan returns the steps of a wave in the order in which a run without trouble starts them.
func (Pipelined) Plan(now manager.Time, f manager.Fleet, spec manager.WaveSpec) (manager.Wave, error) {
	w := manager.Wave{Wave: spec.Wave, Pools: spec.Pools}
	if err := checkSpec(f, spec); err != nil {
		return w, err
	}
	p := newPlanner(now, f, spec)
	for _, s := range p.services {
		if err := p.run(s); err != nil {
			return w, err
		}
		w.BoundMs = max(w.BoundMs, p.bound(s))
	}
	w.Steps = p.steps
	w.ExpectedMs = p.finish.Sub(now)
	number(w.Steps)
	return w, nil
}

// planner runs a wave in virtual time on a fleet in which every VM serves.
type planner struct {
	start    manager.Time
	finish   manager.Time
	book     *budgeter.Book
	profiles map[manager.PoolID]manager.Profile
	services []manager.ServiceID
	// all lists the VMs of each service in the order of the profiles.
	all   map[manager.ServiceID][]manager.VM
	steps []manager.WaveStep
}

func newPlanner(now manager.Time, f manager.Fleet, spec manager.WaveSpec) *planner {
	p := &planner{
		start: now, finish: now, profiles: profilesByPool(f), all: map[manager.ServiceID][]manager.VM{},
	}
	nominal := f
	nominal.VMs = make([]manager.VM, 0, len(f.VMs))
	for _, v := range f.VMs {
		v.State, v.Phase = manager.VMRunning, manager.PhaseInService
		nominal.VMs = append(nominal.VMs, v)
	}
	p.book = budgeter.FromFleet(nominal)
	for _, v := range nominal.VMs {
		if slices.Contains(spec.Pools, v.Pool) {
			s := p.book.Service(v.Pool)
			p.all[s] = append(p.all[s], v)
		}
	}
	for _, pool := range f.Pools {
		if _, ok := p.all[pool.Service]; ok && !slices.Contains(p.services, pool.Service) {
			p.services = append(p.services, pool.Service)
			p.sort(p.all[pool.Service])
		}
	}
	return p
}

// sort puts the VMs of a service into the order that their profiles ask for.
func (p *planner) sort(vms []manager.VM) {
	slices.SortStableFunc(vms, func(a, b manager.VM) int {
		return cmp.Or(
			cmp.Compare(p.domain(a), p.domain(b)),
			cmp.Compare(a.VM, b.VM),
		)
	})
}

// domain returns what the VM's profile orders by before the name.
func (p *planner) domain(v manager.VM) string {
	switch p.profiles[v.Pool].Wave.Order {
	case manager.WaveOrderZone:
		return string(v.AvailabilityZone) + "\x00" + string(v.Rack)
	case manager.WaveOrderRack:
		return string(v.Rack)
	default:
		return ""
	}
}

// number gives the steps that start together the same batch, from 1.
func number(steps []manager.WaveStep) {
	slices.SortStableFunc(steps, func(a, b manager.WaveStep) int { return cmp.Compare(a.StartMs, b.StartMs) })
	batch := 0
	for i := range steps {
		if i == 0 || steps[i].StartMs != steps[i-1].StartMs {
			batch++
		}
		steps[i].Batch = batch
	}
}
