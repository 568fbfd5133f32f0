package rebalancer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/rebalancer"
)

const slots = 8

// fleet returns pools of equal size over three availability zones; the last pool is the spare pool.
func fleet(w manager.Weights, vms, pools int) manager.Fleet {
	f := manager.Fleet{Profiles: []manager.Profile{{
		Profile: "test", Budget: manager.Budget{MaxUnavailable: 2}, Weights: w,
		Wave: manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: manager.Minute, SettleMs: 30 * manager.Second},
	}}}
	for i := range pools {
		id := manager.PoolID(fmt.Sprintf("pool-%03d", i))
		f.Pools = append(f.Pools, manager.Pool{Pool: id, Service: manager.ServiceID(id), Profile: "test", Spare: i == pools-1})
	}
	for i := range vms {
		zone := i / pools % 3
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%04d", i)), Pool: f.Pools[i%pools].Pool, State: manager.VMRunning, Epoch: 1,
			AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", zone)), Rack: manager.RackID(fmt.Sprintf("rack-%d-%d", zone, i/12)),
		})
	}
	return f
}

var cathodeWeights = manager.Weights{BufferCost: 5, RollOutTime: 1, Moves: 2}

// observe reports the same busy slots of each pool's service once a second, and returns the time after it.
func observe(r manager.Rebalancer, f manager.Fleet, from manager.Time, seconds int, busy ...int) manager.Time {
	for range seconds {
		list := make([]manager.Demand, 0, len(f.Pools))
		for i, p := range f.Pools {
			list = append(list, manager.Demand{Service: p.Service, BusySlots: busy[i%len(busy)], SlotsPerVM: slots})
		}
		r.Observe(from, list)
		from = from.Add(manager.Second)
	}
	return from
}

func starts(commands []manager.Command) []manager.StartMove {
	var list []manager.StartMove
	for _, c := range commands {
		if c.StartMove != nil {
			list = append(list, *c.StartMove)
		}
	}
	return list
}

func TestSingleSurgeMovesNothing(t *testing.T) {
	f := fleet(cathodeWeights, 18, 3)
	production, baseline := &rebalancer.Shared{}, &rebalancer.Fixed{}
	for _, r := range []manager.Rebalancer{production, baseline} {
		now := observe(r, f, 1_000, 600, 44, 44, 4)
		observe(r, f, now, 5, 100, 4, 4)
	}
	require.Empty(t, starts(production.Plan(700_000, f)))
	require.NotEmpty(t, starts(baseline.Plan(700_000, f)), "the baseline moves a VM for each surge")
}

func TestSpareGivesFirstToRecurringDemand(t *testing.T) {
	f := fleet(cathodeWeights, 18, 3)
	r := &rebalancer.Shared{}
	now := observe(r, f, 1_000, 600, 60, 4, 4)
	moves := starts(r.Plan(now, f))
	require.NotEmpty(t, moves)
	require.Equal(t, manager.PoolID("pool-000"), moves[0].To)
	require.Contains(t, moves[0].Reason, `pool "pool-000" needs 8 VMs for recurring demand and has 6; pool "pool-002"`)
}

func TestUnneededVMsGoToTheSpareOnlyOnceLearned(t *testing.T) {
	f := fleet(cathodeWeights, 18, 3)
	r := &rebalancer.Shared{}
	now := observe(r, f, 1_000, 240, 4, 4, 4)
	require.Empty(t, r.Plan(now, f), "four minutes of observation are too short to shrink a pool")
	now = observe(r, f, now, 120, 4, 4, 4)
	moves := starts(r.Plan(now, f))
	require.Len(t, moves, 1, "moves in progress are bounded")
	require.Equal(t, manager.PoolID("pool-002"), moves[0].To)
	f.VMs[0].MoveTo, f.VMs[0].Phase = "pool-002", manager.PhaseDraining
	require.Empty(t, starts(r.Plan(now, f)))
}

func TestMoveKeepsResidenceBudgetAndWaves(t *testing.T) {
	f := fleet(cathodeWeights, 18, 3)
	r := &rebalancer.Shared{}
	now := observe(r, f, 1_000, 600, 4, 4, 4)
	for i := range f.VMs {
		f.VMs[i].PoolSince = now - manager.Time(9*manager.Minute)
	}
	require.Empty(t, starts(r.Plan(now, f)), "no VM has been in its pool for the minimum stay")
	f = fleet(cathodeWeights, 18, 3)
	for i := range 3 {
		f.VMs[i].State = manager.VMFailed
	}
	require.Empty(t, starts(r.Plan(now, f)), "the lost VMs have used up the budget for moves in each pool")
	f = fleet(cathodeWeights, 18, 3)
	w := manager.Wave{Wave: "w", State: manager.WaveRunning}
	for _, v := range f.VMs {
		w.Steps = append(w.Steps, manager.WaveStep{VM: v.VM, State: manager.StepWaiting})
	}
	f.Waves = []manager.Wave{w}
	require.Empty(t, starts(r.Plan(now, f)), "every VM has an unfinished step of the wave")
}

func TestMoveIsCommittedOrAbandoned(t *testing.T) {
	cases := map[string]struct {
		state     manager.VMState
		at        manager.Time
		commits   bool
		abandoned string
	}{
		"drained": {state: manager.VMDrained, commits: true},
		"failed":  {state: manager.VMFailed, abandoned: "failed while it drained"},
		"late":    {state: manager.VMDraining, at: 60_001, abandoned: "limit of 60000 ms"},
		"on time": {state: manager.VMDraining, at: 60_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := fleet(cathodeWeights, 18, 3)
			f.VMs[0].MoveTo, f.VMs[0].Phase, f.VMs[0].State = "pool-002", manager.PhaseDraining, c.state
			commands := (&rebalancer.Shared{}).Plan(c.at, f)
			require.Equal(t, c.commits, len(commands) == 1 && commands[0].CommitMove != nil)
			if c.abandoned != "" {
				require.Contains(t, commands[0].AbandonMove.Reason, c.abandoned)
			}
		})
	}
}

func TestWeightsDecideWhatIsKept(t *testing.T) {
	rollOut := fleet(manager.Weights{BufferCost: 1, RollOutTime: 5, Moves: 2}, 18, 3)
	r := &rebalancer.Shared{}
	now := observe(r, rollOut, 1_000, 600, 4, 4, 4)
	require.Empty(t, starts(r.Plan(now, rollOut)))
	reserves := r.Reserves(now, rollOut)
	require.Equal(t, 5, reserves[0].ReserveWanted, reserves[0].Why)
	require.Contains(t, reserves[0].Why, "weighs roll-out time")
}

func TestSharedReserveCoversTheWorstDomain(t *testing.T) {
	f := fleet(cathodeWeights, 18, 3)
	r := &rebalancer.Shared{}
	now := observe(r, f, 1_000, 600, 40, 40, 4)
	spare := r.Reserves(now, f)[2]
	// The loss of a zone leaves 4 of 6 VMs: two pools lack 1 each at their mean, and one of them
	// 1 more at its highest; the spare itself needs 3 and uses 1.
	require.Equal(t, 3-1+3, spare.ReserveWanted, spare.Why)
	require.Contains(t, spare.Why, "availability zone")
}

// BenchmarkDecisions measures one plan of moves.
func BenchmarkDecisions(b *testing.B) {
	for name, make := range map[string]func() manager.Rebalancer{
		"naive": func() manager.Rebalancer { return &rebalancer.Fixed{} },
		"real":  func() manager.Rebalancer { return &rebalancer.Shared{} },
	} {
		for _, size := range []struct{ vms, pools int }{{50, 5}, {500, 5}, {1500, 5}, {5000, 5}, {500, 112}, {1500, 112}, {5000, 112}} {
			f := fleet(cathodeWeights, size.vms, size.pools)
			r := make()
			now := observe(r, f, 1_000, 600, 4, 24, 16)
			b.Run(fmt.Sprintf("%s/vms=%d/pools=%d", name, size.vms, size.pools), func(b *testing.B) {
				for b.Loop() {
					r.Plan(now, f)
				}
			})
		}
	}
}
