package maintainer_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/maintainer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// fleet returns VMs that are assigned round-robin to pools and availability zones, in racks of four.
func fleet(p manager.Profile, vms, pools, zones int) manager.Fleet {
	f := manager.Fleet{Profiles: []manager.Profile{p}}
	for i := range pools {
		id := manager.PoolID(fmt.Sprintf("pool-%03d", i))
		f.Pools = append(f.Pools, manager.Pool{Pool: id, Service: manager.ServiceID(id), Profile: p.Profile})
	}
	for i := range vms {
		zone := i / pools % zones
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%04d", i)), Pool: f.Pools[i%pools].Pool, State: manager.VMRunning, Epoch: 1,
			AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
			Rack:             manager.RackID(fmt.Sprintf("rack-%d-%d", zone, i/zones/4)),
		})
	}
	return f
}

func profile(b manager.Budget, order manager.WaveOrder) manager.Profile {
	return manager.Profile{
		Profile: "test", Budget: b,
		Wave: manager.WaveRules{MaxAtOnce: 4, SettleMs: 30 * manager.Second, DrainLimitMs: 2 * manager.Minute, Order: order},
	}
}

func pools(f manager.Fleet) []manager.PoolID {
	var list []manager.PoolID
	for _, p := range f.Pools {
		list = append(list, p.Pool)
	}
	return list
}

// duration is the time that a plan assumes for one VM under the rules of these tests.
const duration = 10*manager.Second + 60*manager.Second + 30*manager.Second

// TestPlansKeepBudgets plans waves for random fleets and counts independently how many VMs are out of service at
// once.
func TestPlansKeepBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := manager.Budget{
			MaxUnavailable: rapid.IntRange(1, 5).Draw(t, "max unavailable"),
			MaxPerZone:     rapid.IntRange(0, 3).Draw(t, "max per zone"),
			MaxPerRack:     rapid.IntRange(0, 2).Draw(t, "max per rack"),
		}
		order := rapid.SampledFrom([]manager.WaveOrder{manager.WaveOrderName, manager.WaveOrderZone, manager.WaveOrderRack}).Draw(t, "order")
		f := fleet(profile(b, order), rapid.IntRange(1, 60).Draw(t, "VMs"), rapid.IntRange(1, 4).Draw(t, "pools"), rapid.IntRange(1, 4).Draw(t, "zones"))
		spec := manager.WaveSpec{Wave: "w", Pools: pools(f)}
		plan, err := maintainer.Pipelined{}.Plan(0, f, spec)
		require.NoError(t, err)
		baseline, err := maintainer.OneByOne{}.Plan(0, f, spec)
		require.NoError(t, err)
		require.Len(t, plan.Steps, len(f.VMs))
		require.GreaterOrEqual(t, plan.ExpectedMs, plan.BoundMs)
		require.LessOrEqual(t, plan.ExpectedMs, baseline.ExpectedMs)
		checkPlan(t, f, plan)
	})
}

func checkPlan(t *rapid.T, f manager.Fleet, plan manager.Wave) {
	b := f.Profiles[0].Budget
	vms := map[manager.VMID]manager.VM{}
	for _, v := range f.VMs {
		vms[v.VM] = v
	}
	size := map[manager.PoolID]int{}
	for _, v := range f.VMs {
		size[v.Pool]++
	}
	seen := map[manager.VMID]bool{}
	for _, at := range plan.Steps {
		require.False(t, seen[at.VM], "%s is maintained once", at.VM)
		seen[at.VM] = true
		inPool, inZone, inRack := 0, 0, 0
		for _, other := range plan.Steps {
			if other.Pool != at.Pool || other.StartMs > at.StartMs || other.StartMs+duration <= at.StartMs {
				continue
			}
			inPool++
			if vms[other.VM].AvailabilityZone == vms[at.VM].AvailabilityZone {
				inZone++
			}
			if vms[other.VM].Rack == vms[at.VM].Rack {
				inRack++
			}
		}
		limit := min(b.MaxUnavailable, size[at.Pool])
		require.LessOrEqual(t, inPool, min(4, max(1, limit-1)), "one VM of the budget is kept for an unplanned loss")
		require.Equal(t, limit-inPool, at.BudgetLeft)
		require.True(t, b.MaxPerZone == 0 || inZone <= max(1, b.MaxPerZone-1))
		require.True(t, b.MaxPerRack == 0 || inRack <= max(1, b.MaxPerRack-1))
	}
}

func TestPlanReachesItsBoundOverUnevenZones(t *testing.T) {
	f := fleet(profile(manager.Budget{MaxUnavailable: 3, MaxPerZone: 1}, manager.WaveOrderZone), 10, 1, 3)
	plan, err := maintainer.Pipelined{}.Plan(0, f, manager.WaveSpec{Wave: "w", Pools: pools(f)})
	require.NoError(t, err)
	require.Equal(t, 5*duration, plan.BoundMs)
	require.Equal(t, plan.BoundMs, plan.ExpectedMs)
}

func TestPlanNamesTheRuleThatForbidsIt(t *testing.T) {
	f := fleet(profile(manager.Budget{MaxUnavailablePercent: 10}, manager.WaveOrderName), 5, 1, 1)
	_, err := maintainer.Pipelined{}.Plan(0, f, manager.WaveSpec{Wave: "w", Pools: pools(f)})
	require.ErrorContains(t, err, `budget of pool "pool-000" allows no VM to be unavailable`)
	_, err = maintainer.Pipelined{}.Plan(0, f, manager.WaveSpec{Wave: "w", Pools: []manager.PoolID{"nowhere"}})
	require.True(t, manager.IsErrNotExist(err))
	_, err = maintainer.Pipelined{}.Plan(0, f, manager.WaveSpec{Wave: "w"})
	require.True(t, manager.IsErrInvalid(err))
}

func TestStepStartsTheNextVMWithTheEndOfTheLast(t *testing.T) {
	f := fleet(profile(manager.Budget{MaxUnavailable: 2}, manager.WaveOrderName), 3, 1, 1)
	f.VMs[0].Phase, f.VMs[0].Wave = manager.PhaseSettling, "w"
	f.Waves = []manager.Wave{{Wave: "w", Pools: pools(f), State: manager.WaveRunning, Steps: []manager.WaveStep{
		{VM: f.VMs[0].VM, Pool: f.VMs[0].Pool, State: manager.StepSettling},
		{VM: f.VMs[1].VM, Pool: f.VMs[1].Pool, State: manager.StepWaiting},
		{VM: f.VMs[2].VM, Pool: f.VMs[2].Pool, State: manager.StepWaiting},
	}}}
	require.Empty(t, maintainer.Pipelined{}.Step(manager.Time(29*manager.Second), f))
	commands := maintainer.Pipelined{}.Step(manager.Time(30*manager.Second), f)
	require.Len(t, commands, 2)
	require.Equal(t, manager.StepDone, commands[0].AdvanceStep.To)
	require.Equal(t, f.VMs[1].VM, commands[1].AdvanceStep.VM)
	require.Equal(t, manager.StepDraining, commands[1].AdvanceStep.To)
}

// BenchmarkDecisions measures a plan and a step of a wave over the whole fleet.
func BenchmarkDecisions(b *testing.B) {
	for name, m := range map[string]manager.Maintainer{"naive": maintainer.OneByOne{}, "real": maintainer.Pipelined{}} {
		for _, size := range []struct{ vms, pools int }{{50, 5}, {500, 5}, {1500, 5}, {5000, 5}, {500, 112}, {1500, 112}, {5000, 112}} {
			f := fleet(profile(manager.Budget{MaxUnavailablePercent: 30, MaxPerZone: 2}, manager.WaveOrderRack), size.vms, size.pools, 5)
			spec := manager.WaveSpec{Wave: "w", Pools: pools(f)}
			plan, err := m.Plan(0, f, spec)
			require.NoError(b, err)
			plan.State = manager.WaveRunning
			f.Waves = []manager.Wave{plan}
			b.Run(fmt.Sprintf("%s/plan/vms=%d/pools=%d", name, size.vms, size.pools), func(b *testing.B) {
				for b.Loop() {
					_, _ = m.Plan(0, f, spec)
				}
			})
			b.Run(fmt.Sprintf("%s/step/vms=%d/pools=%d", name, size.vms, size.pools), func(b *testing.B) {
				for b.Loop() {
					m.Step(0, f)
				}
			})
		}
	}
}
