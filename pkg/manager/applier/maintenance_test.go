package applier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

func maintenanceProfile() manager.Profile {
	return manager.Profile{
		Profile: "desk", Budget: manager.Budget{MaxUnavailable: 2},
		Wave: manager.WaveRules{MaxAtOnce: 2, SettleMs: 30_000, DrainLimitMs: 60_000, Order: manager.WaveOrderName},
	}
}

// newFleet returns a state with two pools of one service, each with three VMs in three zones.
func newFleet(t *testing.T, p manager.Profile) *applier.State {
	t.Helper()
	load := manager.LoadFleet{Profiles: []manager.Profile{p}}
	for _, id := range []manager.PoolID{"a", "b"} {
		load.Pools = append(load.Pools, manager.Pool{Pool: id, Service: "quotes", Profile: p.Profile})
		for i := range 3 {
			load.VMs = append(load.VMs, manager.VM{
				VM: manager.VMID(fmt.Sprintf("%s%d", id, i)), Pool: id,
				AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", i)), Rack: manager.RackID(fmt.Sprintf("rack-%d", i)),
			})
		}
	}
	s := applier.New()
	require.Nil(t, s.Apply(manager.Command{LoadFleet: &load}).Failure)
	return s
}

func vmByID(t *testing.T, s *applier.State, id manager.VMID) manager.VM {
	t.Helper()
	for _, v := range s.Fleet().VMs {
		if v.VM == id {
			return v
		}
	}
	require.Fail(t, "no such VM", id)
	return manager.VM{}
}

func startMove(t *testing.T, s *applier.State, id manager.VMID, to manager.PoolID) *manager.Failure {
	t.Helper()
	return s.Apply(manager.Command{StartMove: &manager.StartMove{VM: id, Epoch: vmByID(t, s, id).Epoch, To: to}}).Failure
}

func observe(s *applier.State, at manager.Time, id manager.VMID, state manager.VMState) manager.Result {
	return s.Apply(manager.Command{At: at, ObserveVM: &manager.ObserveVM{VM: id, State: state}})
}

// startWave starts a wave over pool a.
func startWave(t *testing.T, s *applier.State) {
	t.Helper()
	w := manager.Wave{Wave: "w", Pools: []manager.PoolID{"a"}}
	for _, id := range []manager.VMID{"a0", "a1", "a2"} {
		w.Steps = append(w.Steps, manager.WaveStep{VM: id, Pool: "a", State: manager.StepWaiting})
	}
	require.Nil(t, s.Apply(manager.Command{PlanWave: &manager.PlanWave{Wave: w}}).Failure)
	require.Nil(t, s.Apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: "w", PlanVersion: 1}}).Failure)
}

func TestLossPausesWaveInTheSameEntry(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	startWave(t, s)
	observe(s, 0, "b2", manager.VMFailed)
	require.Equal(t, manager.WavePaused, s.Fleet().Waves[0].State, "the other pool belongs to the same service")
	resume := manager.SetWaveState{Wave: "w", State: manager.WaveRunning}
	require.Contains(t, s.Apply(manager.Command{SetWaveState: &resume}).Failure.Reason, `VM "b2" is lost`)
	observe(s, 0, "b2", manager.VMRunning)
	require.NotNil(t, s.Apply(manager.Command{At: 29_999, SetWaveState: &resume}).Failure, "not settled")
	require.Nil(t, s.Apply(manager.Command{At: 30_000, SetWaveState: &resume}).Failure)
}

func TestProfileErrorsNameEveryField(t *testing.T) {
	cases := map[string]func(p *manager.Profile){
		"Profile":                      func(p *manager.Profile) { p.Profile = "" },
		"Capacity":                     func(p *manager.Profile) { p.Capacity.MemoryMegaBytes = -1 },
		"Spread.MaxPerRack":            func(p *manager.Profile) { p.Spread.MaxPerRack = -1 },
		"Budget":                       func(p *manager.Profile) { p.Budget = manager.Budget{} },
		"Budget.MaxUnavailablePercent": func(p *manager.Profile) { p.Budget.MaxUnavailablePercent = 101 },
		"Budget.MaxPerZone":            func(p *manager.Profile) { p.Budget.MaxPerZone = -1 },
		"Wave.MaxAtOnce":               func(p *manager.Profile) { p.Wave.MaxAtOnce = 0 },
		"Wave.SettleMs":                func(p *manager.Profile) { p.Wave.SettleMs = 8 * 24 * manager.Hour },
		"Wave.DrainLimitMs":            func(p *manager.Profile) { p.Wave.DrainLimitMs = 0 },
		"Wave.RebootLimitMs":           func(p *manager.Profile) { p.Wave.RebootLimitMs = -1 },
		"Wave.Order":                   func(p *manager.Profile) { p.Wave.Order = "random" },
		"Wave.WindowStartMinute":       func(p *manager.Profile) { p.Wave.WindowStartMinute = 1440 },
		"Weights.Moves":                func(p *manager.Profile) { p.Weights.Moves = -1 },
		"JobClasses[1].Class":          func(p *manager.Profile) { p.JobClasses = []manager.JobClass{{Class: "x"}, {Class: "x"}} },
		"Quotas[0].Team":               func(p *manager.Profile) { p.Quotas = []manager.Quota{{}} },
	}
	for field, invalidate := range cases {
		t.Run(field, func(t *testing.T) {
			p := maintenanceProfile()
			invalidate(&p)
			f := applier.ValidateProfile(p)
			require.NotNil(t, f)
			require.Equal(t, field, f.Field)
		})
	}
	p := maintenanceProfile()
	p.Budget.MaxPerRack, p.Wave.Order, p.Weights.BufferCost = -1, "", 1001
	require.Equal(t, `must not be negative; Wave.Order: must be "name", "zone" or "rack"; Weights.BufferCost: must be from 0 to 1000`,
		applier.ValidateProfile(p).Reason)
}

func TestBudgetCountsTheWholeService(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	require.Nil(t, startMove(t, s, "a0", "b"))
	require.Contains(t, startMove(t, s, "b0", "a").Reason, `budget of service "quotes" is spent: 1 of 2 unavailable, and 1 is kept`)
}

func TestProfileThatBreachesABudgetIsRefused(t *testing.T) {
	p := maintenanceProfile()
	p.Budget.MaxUnavailable = 3
	s := newFleet(t, p)
	require.Nil(t, startMove(t, s, "a0", "b"))
	require.Nil(t, startMove(t, s, "b1", "a"))
	p.Version, p.Budget.MaxUnavailable = 1, 1
	f := s.Apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}}).Failure
	require.Equal(t, "Budget", f.Field)
	require.Equal(t, `service "quotes" has 2 VMs unavailable and the new budget allows 1`, f.Reason)
	p.Budget = manager.Budget{MaxUnavailablePercent: 30}
	f = s.Apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}}).Failure
	require.Equal(t, `allows none of the 3 VMs of pool "a" to be unavailable, so that no wave could run there`, f.Reason)
}

func TestPreviewMatchesApply(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	p := maintenanceProfile()
	p.Version, p.Budget.MaxUnavailable = 1, 3
	preview, after, f := applier.Preview(s.Fleet(), p)
	require.Nil(t, f)
	require.Equal(t, []manager.FieldChange{{Field: "Budget.MaxUnavailable", From: "2", To: "3"}}, preview.Changes)
	require.Equal(t, manager.PoolChange{Pool: "a", VMs: 3, BudgetFrom: 2, BudgetTo: 3}, preview.Pools[0])
	require.Equal(t, manager.Version(1), s.Fleet().Profiles[0].Version, "a dry run changes nothing")
	result := s.Apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}})
	require.Equal(t, *result.Profile, after.Profiles[0])
	_, _, f = applier.Preview(s.Fleet(), p)
	require.Equal(t, manager.FailureConflict, f.Kind, "the version is no longer current")
}

func TestMovedVMIsNotLostInItsNewPool(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	require.Nil(t, startMove(t, s, "a0", "b"))
	old := vmByID(t, s, "a0")
	observe(s, 1_000, "a0", manager.VMDrained)
	require.Nil(t, s.Apply(manager.Command{At: 1_000, CommitMove: &manager.CommitMove{VM: "a0", Epoch: old.Epoch}}).Failure)
	require.NotNil(t, s.Apply(manager.Command{AbandonMove: &manager.AbandonMove{VM: "a0", Epoch: old.Epoch}}).Failure, "the old epoch is no longer valid")
	v := vmByID(t, s, "a0")
	require.Equal(t, manager.PoolID("b"), v.Pool)
	require.Equal(t, manager.PhaseJoining, v.Phase)
	require.Nil(t, startMove(t, s, "b0", "a"), "the joining VM does not count against the budget")
	observe(s, 2_000, "a0", manager.VMRunning)
	s.Apply(manager.Command{At: 31_999, Batch: &manager.Batch{}})
	require.False(t, vmByID(t, s, "a0").Available())
	s.Apply(manager.Command{At: 32_000, Batch: &manager.Batch{}})
	require.True(t, vmByID(t, s, "a0").Available())
}

func TestObservationBeforeRebootIsRefused(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	startWave(t, s)
	step := func(from, to manager.StepState) *manager.Failure {
		return s.Apply(manager.Command{AdvanceStep: &manager.AdvanceStep{Wave: "w", VM: "a0", Epoch: vmByID(t, s, "a0").Epoch, From: from, To: to}}).Failure
	}
	require.Nil(t, step(manager.StepWaiting, manager.StepDraining))
	require.NotNil(t, step(manager.StepDraining, manager.StepRebooting), "not drained yet")
	observe(s, 0, "a0", manager.VMDrained)
	drain := vmByID(t, s, "a0").Epoch
	require.Nil(t, step(manager.StepDraining, manager.StepRebooting))
	late := s.Apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: "a0", State: manager.VMRunning, Epoch: drain}})
	require.NotNil(t, late.Failure)
	require.NotNil(t, step(manager.StepRebooting, manager.StepSettling))
	require.Nil(t, s.Apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: "a0", State: manager.VMRunning, Epoch: drain + 1}}).Failure)
	require.Nil(t, step(manager.StepRebooting, manager.StepSettling))
}

func TestBatchContinuesAfterRefusal(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	result := s.Apply(manager.Command{Batch: &manager.Batch{Commands: []manager.Command{
		{ObserveVM: &manager.ObserveVM{VM: "nobody", State: manager.VMFailed}},
		{ObserveVM: &manager.ObserveVM{VM: "a0", State: manager.VMFailed}},
		{Batch: &manager.Batch{}},
	}}})
	require.Nil(t, result.Failure)
	require.Len(t, result.Refused, 2)
	require.Equal(t, manager.VMFailed, vmByID(t, s, "a0").State)
	tooMany := manager.Batch{Commands: make([]manager.Command, manager.MaxBatch+1)}
	require.NotNil(t, s.Apply(manager.Command{Batch: &tooMany}).Failure)
}

func TestRestoredStateKeepsItsCounts(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	require.Nil(t, startMove(t, s, "a0", "b"))
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := applier.New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, startMove(t, s, "b0", "a"), startMove(t, restored, "b0", "a"))
	require.NotNil(t, startMove(t, restored, "b0", "a"))
}

func TestResentPlanGetsTheFirstResult(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	plan := func(expected manager.Duration) manager.Result {
		w := manager.Wave{Wave: "w", Pools: []manager.PoolID{"a"}, ExpectedMs: expected}
		for _, id := range []manager.VMID{"a0", "a1", "a2"} {
			w.Steps = append(w.Steps, manager.WaveStep{VM: id, Pool: "a", State: manager.StepWaiting})
		}
		return s.Apply(manager.Command{Command: "c1", Digest: "plan w over a", PlanWave: &manager.PlanWave{Wave: w}})
	}
	first := plan(1_000)
	require.Nil(t, first.Failure)
	require.Equal(t, first, plan(2_000))
	require.Equal(t, manager.Version(1), s.Fleet().Waves[0].PlanVersion)
}

func TestOldestEndedWaveIsDroppedFirst(t *testing.T) {
	s := newFleet(t, maintenanceProfile())
	plan := func(at manager.Time, id manager.WaveID) *manager.Failure {
		w := manager.Wave{Wave: id, Pools: []manager.PoolID{"a"}}
		for _, v := range []manager.VMID{"a0", "a1", "a2"} {
			w.Steps = append(w.Steps, manager.WaveStep{VM: v, Pool: "a", State: manager.StepWaiting})
		}
		return s.Apply(manager.Command{At: at, PlanWave: &manager.PlanWave{Wave: w}}).Failure
	}
	for i := range applier.MaxWaves {
		id := manager.WaveID(fmt.Sprintf("w%04d", applier.MaxWaves-i))
		require.Nil(t, plan(manager.Time(i), id))
		if i < 2 {
			cancel := manager.SetWaveState{Wave: id, State: manager.WaveCancelled}
			require.Nil(t, s.Apply(manager.Command{At: manager.Time(i), SetWaveState: &cancel}).Failure)
		}
	}
	require.Nil(t, plan(5_000, "next"))
	kept := map[manager.WaveID]bool{}
	for _, w := range s.Fleet().Waves {
		kept[w.Wave] = true
	}
	require.False(t, kept["w1000"], "it ended first")
	require.True(t, kept["w0999"])
	require.Nil(t, plan(5_000, "last"))
	require.Contains(t, plan(5_000, "too many").Reason, "leave no room")
}
