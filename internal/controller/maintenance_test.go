package controller_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/maintainer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/rebalancer"
)

var (
	realParts = parts{
		maintainer: func() manager.Maintainer { return maintainer.Pipelined{} },
		rebalancer: func() manager.Rebalancer { return &rebalancer.Shared{} },
	}
	naiveParts = parts{
		maintainer: func() manager.Maintainer { return maintainer.OneByOne{} },
		rebalancer: func() manager.Rebalancer { return &rebalancer.Fixed{} },
	}
)

// bothParts runs a test with the naive and the real decision parts.
func bothParts(t *testing.T, f func(t *testing.T, p parts)) {
	t.Helper()
	t.Run("naive", func(t *testing.T) {
		t.Parallel()
		f(t, naiveParts)
	})
	t.Run("real", func(t *testing.T) {
		t.Parallel()
		f(t, realParts)
	})
}

func smallWorld(t *testing.T, p parts) *world {
	t.Helper()
	return newWorld(t, testFleet(testProfile(manager.Budget{MaxUnavailable: 2, MaxPerZone: 1}), 2, 9), p)
}

func TestWaveMaintainsEveryVMOnce(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		w := smallWorld(t, p)
		w.approve("w", "pool-0", "pool-1")
		w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
		for _, v := range w.load.VMs {
			require.Equal(t, 1, w.platform.Reboots(v.VM), v.VM)
			require.True(t, w.vm(v.VM).Available())
		}
	})
}

func TestWaveRunsNearItsBound(t *testing.T) {
	w := newWorld(t, testFleet(testProfile(manager.Budget{MaxUnavailable: 3, MaxPerZone: 2}), 4, 9), realParts)
	plan := w.approve("w", "pool-0", "pool-1", "pool-2", "pool-3")
	took := w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
	require.GreaterOrEqual(t, plan.ExpectedMs, plan.BoundMs)
	// The plan assumes longer drains and reboots than the platform of this test needs.
	require.LessOrEqual(t, took, plan.BoundMs)
}

func TestFailurePausesWaveUntilSettled(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		w := smallWorld(t, p)
		w.approve("w", "pool-0")
		w.run(10 * manager.Second)
		w.platform.Fail("vm-0-08")
		w.run(5 * manager.Second)
		require.Equal(t, manager.WavePaused, w.wave("w").State)
		require.Contains(t, w.wave("w").Reason, `VM "vm-0-08" of pool "pool-0" is failed`)
		w.run(10 * manager.Minute)
		require.Equal(t, 1, countStates(w.wave("w"), manager.StepDone), "only the VM that was under way ends")
		w.platform.Repair("vm-0-08")
		w.run(20 * manager.Second)
		require.Equal(t, manager.WavePaused, w.wave("w").State, "a repaired VM has to settle first")
		w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
	})
}

func countStates(w manager.Wave, s manager.StepState) int {
	n := 0
	for _, step := range w.Steps {
		if step.State == s {
			n++
		}
	}
	return n
}

func TestOperatorResumesDespiteLostVM(t *testing.T) {
	w := newWorld(t, testFleet(testProfile(manager.Budget{MaxUnavailable: 2}), 2, 9), realParts)
	w.approve("w", "pool-0")
	w.platform.Fail("vm-0-08")
	w.run(10 * manager.Second)
	require.Equal(t, manager.WavePaused, w.wave("w").State)
	require.NotNil(t, w.set("w", manager.SetWaveState{State: manager.WaveRunning}).Failure)
	require.Nil(t, w.set("w", manager.SetWaveState{State: manager.WaveRunning, Accept: true}).Failure)
	w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
	require.Equal(t, 8, countStates(w.wave("w"), manager.StepDone))
	require.Equal(t, 1, countStates(w.wave("w"), manager.StepAbandoned))
}

func TestOperatorPauseLasts(t *testing.T) {
	w := smallWorld(t, realParts)
	w.approve("w", "pool-0")
	require.Nil(t, w.set("w", manager.SetWaveState{State: manager.WavePaused, Held: true, Reason: "closing time"}).Failure)
	w.run(10 * manager.Minute)
	require.Equal(t, "closing time", w.wave("w").Reason)
	require.Zero(t, countStates(w.wave("w"), manager.StepDone))
	require.Nil(t, w.set("w", manager.SetWaveState{State: manager.WaveRunning, Accept: true}).Failure)
	w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
}

func TestSecondLossAfterRepairIsCovered(t *testing.T) {
	w := newWorld(t, testFleet(testProfile(manager.Budget{MaxUnavailable: 3}), 1, 9), realParts)
	w.approve("w", "pool-0")
	w.run(10 * manager.Second)
	for _, second := range []manager.VMID{"vm-0-07", "vm-0-08"} {
		w.platform.Fail("vm-0-06")
		w.run(5 * manager.Second)
		w.platform.Repair("vm-0-06")
		w.runUntil(10*manager.Minute, "resume", func() bool { return w.wave("w").State == manager.WaveRunning })
		w.run(5 * manager.Second)
		w.platform.Fail(second)
		w.run(2 * manager.Second)
		down := 0
		for _, v := range w.state.Fleet().VMs {
			if !v.Available() {
				down++
			}
		}
		require.LessOrEqual(t, down, 3)
		w.platform.Repair(second)
	}
	w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
}

func TestCancelLeavesNothingHalfDrained(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		for at := manager.Duration(0); at < 100*manager.Second; at += 7 * manager.Second {
			w := smallWorld(t, p)
			w.approve("w", "pool-0", "pool-1")
			w.run(at)
			w.set("w", manager.SetWaveState{State: manager.WaveCancelled})
			w.run(3 * manager.Minute)
			requireQuiet(t, w)
		}
	})
}

// requireQuiet fails unless every VM is back in service, in the state and on the platform.
func requireQuiet(t require.TestingT, w *world) {
	for _, v := range w.state.Fleet().VMs {
		require.True(t, v.Available(), "%+v", v)
		require.Empty(t, v.Wave)
		require.Empty(t, v.MoveTo)
	}
	observations, err := w.platform.Platform.Observe(context.Background())
	require.NoError(t, err)
	for _, o := range observations {
		require.Equal(t, manager.VMRunning, o.State, o.VM)
	}
	for _, x := range w.state.Fleet().Waves {
		for _, step := range x.Steps {
			require.False(t, step.State.Active(), "%s of %s", step.VM, x.Wave)
		}
	}
}

func TestStuckDrainIsGivenUp(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		w := smallWorld(t, p)
		w.tenant.stuck["vm-0-00"] = true
		w.approve("w", "pool-0")
		w.run(130 * manager.Second)
		step := w.wave("w").Steps[0]
		require.Equal(t, manager.StepAbandoned, step.State)
		require.Contains(t, step.Reason, "limit of 120000 ms")
		w.tenant.stuck["vm-0-00"] = false
		w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
		require.True(t, w.vm("vm-0-00").Available())
		require.Zero(t, w.platform.Reboots("vm-0-00"))
	})
}

func TestRebootThatNeverEndsPausesWave(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		w := smallWorld(t, p)
		w.platform.RebootTime = 24 * manager.Hour
		w.approve("w", "pool-0")
		w.run(6 * manager.Minute)
		x := w.wave("w")
		require.Equal(t, manager.WavePaused, x.State)
		require.Equal(t, manager.StepAbandoned, x.Steps[0].State)
		w.platform.RebootTime = testReboot
		w.platform.Repair(x.Steps[0].VM)
		w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
	})
}

func TestWavesOnTheSameVM(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		w := smallWorld(t, p)
		w.approve("w1", "pool-0")
		w.approve("w2", "pool-0", "pool-1")
		w.runUntil(4*manager.Hour, "waves", func() bool { return w.isDone("w1")() && w.isDone("w2")() })
		require.Equal(t, 2, w.platform.Reboots("vm-0-00"))
		require.Equal(t, 1, w.platform.Reboots("vm-1-00"))
	})
}

func TestWaveMeetsMove(t *testing.T) {
	w := smallWorld(t, realParts)
	plan := w.plan("w", "pool-0")
	v := w.vm("vm-0-01")
	require.Nil(t, w.apply(manager.Command{StartMove: &manager.StartMove{VM: v.VM, Epoch: v.Epoch, To: "pool-1"}}).Failure)
	result := w.apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: "w", PlanVersion: plan.PlanVersion}})
	require.Nil(t, result.Failure, "the VM is still its old pool's")
	w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
	require.Equal(t, manager.PoolID("pool-1"), w.vm("vm-0-01").Pool)
	require.Equal(t, manager.PoolID("pool-1"), w.tenant.serves["vm-0-01"])
	require.Equal(t, 1, countStates(w.wave("w"), manager.StepAbandoned))
	require.Equal(t, 8, countStates(w.wave("w"), manager.StepDone))
}

func TestChangedPlanNeedsNewApproval(t *testing.T) {
	w := smallWorld(t, realParts)
	plan := w.plan("w", "pool-0")
	p := w.state.Fleet().Profiles[0]
	p.Wave.MaxAtOnce = 1
	require.Nil(t, w.apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}}).Failure)
	result := w.apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: "w", PlanVersion: plan.PlanVersion}})
	require.Contains(t, result.Failure.Reason, `profile "test" of pool "pool-0" has version 2 and the plan was made for 1`)
	plan = w.plan("w", "pool-0")
	v := w.vm("vm-1-01")
	require.Nil(t, w.apply(manager.Command{StartMove: &manager.StartMove{VM: v.VM, Epoch: v.Epoch, To: "pool-0"}}).Failure)
	w.run(manager.Minute)
	result = w.apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: "w", PlanVersion: plan.PlanVersion}})
	require.Contains(t, result.Failure.Reason, `VM "vm-1-01" has come to pool "pool-0"`)
}

func TestWaveKeepsItsWindow(t *testing.T) {
	p := testProfile(manager.Budget{MaxUnavailable: 2})
	p.Wave.WindowStartMinute, p.Wave.WindowEndMinute = 23*60+50, 10
	w := newWorld(t, testFleet(p, 1, 9), realParts)
	w.clock.At = manager.Time(12 * manager.Hour)
	plan := w.approve("w", "pool-0")
	require.Equal(t, 11*manager.Hour+50*manager.Minute, plan.Steps[0].StartMs)
	w.run(11 * manager.Hour)
	require.Zero(t, countStates(w.wave("w"), manager.StepDone))
	require.Contains(t, w.wave("w").Reason, "opens at minute 1430")
	w.runUntil(2*manager.Hour, "wave", w.isDone("w"))
}

func TestRecurringDemandMovesVMsFromTheSpare(t *testing.T) {
	w := smallWorld(t, realParts)
	busy := manager.Demand{Service: "pool-0", BusySlots: 72, SlotsPerVM: 8, RefusedRequests: 1}
	idle := manager.Demand{Service: "pool-1", BusySlots: 4, SlotsPerVM: 8}
	for range 20 * 60 {
		w.report([]manager.Demand{busy, idle})
		w.step()
	}
	moved := 0
	for _, v := range w.state.Fleet().VMs {
		if v.Pool == "pool-0" {
			moved++
		}
	}
	require.Greater(t, moved, 9)
	for v, p := range w.tenant.serves {
		require.Equal(t, w.vm(v).Pool, p, "the VM serves the pool that owns it")
	}
}
