package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

func (f *waveFleet) sendWave(id uint64, vms ...manager.VMID) {
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: id, VMs: vms, DurationMs: 30_000, Cap: 1}})
}

// requireOneWavePerVM asserts that no VM is ordered or in maintenance for two waves. The second order would be refused and
// use a part of its wave's cap meanwhile.
func requireOneWavePerVM(t require.TestingT, state *recorder.State) {
	waveOf := map[manager.VMID]uint64{}
	for id, w := range state.Waves {
		for vm, s := range w.State {
			if s != recorder.MaintenanceOrdered && s != recorder.MaintenanceStarted {
				continue
			}
			require.Zero(t, waveOf[vm], "%s is in maintenance for wave %d too at %d", vm, id, state.At)
			waveOf[vm] = id
		}
	}
}

// Two waves that are accepted together choose the same VM first. If both order it in one cycle, the second maintenance
// begins when the VM is back from the first, and the return from the first must not end the second.
func TestWavesAcceptedTogetherKeepTheirCaps(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3")
	f.sendWave(1, "vm-w1", "vm-w2")
	f.sendWave(2, "vm-w1", "vm-w3")
	for range 500 {
		f.runWithPlatform(50, map[uint64]int{1: 1, 2: 1})
		requireOneWavePerVM(t, f.state)
	}
	require.True(t, f.state.Waves[1].Completed())
	require.True(t, f.state.Waves[2].Completed())
}

// An earlier version recorded one VM as ordered by two waves. A leader that continues from its snapshot must complete
// both within their caps.
func TestVMOrderedByTwoWavesInASnapshotKeepsTheirCaps(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3")
	wave := func(id uint64, other manager.VMID) manager.MaintenanceRequest {
		return manager.MaintenanceRequest{Wave: id, VMs: []manager.VMID{"vm-w1", other}, DurationMs: 40_000, Cap: 1}
	}
	ordered := func(id uint64) recorder.MaintenanceChange {
		return recorder.MaintenanceChange{Wave: id, VM: "vm-w1", State: recorder.MaintenanceOrdered, InstanceStart: f.workers[0].report.Instance.StartedAt}
	}
	f.state.Apply(recorder.Changes{
		At: f.now, Wave: []manager.MaintenanceRequest{wave(1, "vm-w2"), wave(2, "vm-w3")},
		Maintenance: []recorder.MaintenanceChange{ordered(1), ordered(2)},
	})
	data, err := f.state.Snapshot()
	require.NoError(t, err)
	require.NoError(t, f.state.Restore(data))
	f.startDispatcher(2)
	f.runWithPlatform(35*manager.Second, map[uint64]int{1: 1, 2: 1})
	require.True(t, f.state.Waves[1].Completed())
	require.True(t, f.state.Waves[2].Completed())
}

// A VM has been through the maintenance of one wave. For the next wave its order is answered as busy, and its worker
// restarts meanwhile: the time of the first maintenance must not make this instance count as the return from the second.
func TestInstanceStartedBeforeSecondMaintenanceIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2")
	caps := map[uint64]int{1: 1, 2: 1}
	f.sendWave(1, "vm-w1")
	f.runWithPlatform(8*manager.Second, caps)
	require.True(t, f.state.Waves[1].Completed())
	f.busy["vm-w1"] = true
	f.sendWave(2, "vm-w1", "vm-w2")
	f.runWithPlatform(700, caps)
	require.Equal(t, recorder.MaintenanceOrdered, f.state.Waves[2].State["vm-w1"])
	f.workers[0].restart()
	f.runWithPlatform(500, caps)
	delete(f.busy, "vm-w1")
	f.runWithPlatform(14*manager.Second, caps)
	require.True(t, f.state.Waves[2].Completed())
}

// A VM is up again but its worker has not reported when the next wave takes it down. A list of VMs that was requested
// before then still shows it up, which must not count as the return from the second maintenance.
func TestListingBeforeSecondMaintenanceIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2")
	w := f.workers[0]
	w.silent = true
	f.run(16 * manager.Second)
	up := map[manager.VMID]dispatcher.ListedVM{"vm-w1": {Pool: pool, Up: true}, "vm-w2": {Pool: pool, Up: true}}
	order := func(wave uint64) {
		for range 40 {
			if f.state.Waves[wave] != nil && f.state.Waves[wave].State["vm-w1"] == recorder.MaintenanceStarted {
				return
			}
			f.run(50)
			for _, o := range f.platformOrders {
				f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: o, Outcome: dispatcher.OutcomeAccepted}})
			}
			f.platformOrders = nil
		}
		require.Fail(t, "the maintenance did not begin", "wave %d", wave)
	}
	f.sendWave(1, "vm-w1")
	order(1)
	f.run(2500)
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: up}})
	f.run(100)
	require.True(t, f.state.Waves[1].Completed())
	asked := f.now
	f.sendWave(2, "vm-w1", "vm-w2")
	order(2)
	f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: asked, VMs: up}})
	f.run(100)
	require.Equal(t, recorder.MaintenanceStarted, f.state.Waves[2].State["vm-w1"], "the list is older than the maintenance")
	require.Empty(t, f.platformOrders, "the next VM is ordered beside the one that is down")
}
