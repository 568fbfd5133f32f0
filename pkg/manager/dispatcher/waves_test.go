package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// waveFleet has workers whose VMs are down for two seconds after the platform accepts an order.
type waveFleet struct {
	*fleet
	down   map[manager.VMID]manager.Time
	busy   map[manager.VMID]bool
	waveOf map[manager.VMID]uint64
}

func newWaveFleet(t *testing.T, ids ...manager.WorkerID) *waveFleet {
	t.Helper()
	f := &waveFleet{fleet: newFleet(t), down: map[manager.VMID]manager.Time{}, busy: map[manager.VMID]bool{}, waveOf: map[manager.VMID]uint64{}}
	for _, id := range ids {
		f.worker(id, pool, 4000)
	}
	f.run(4 * manager.Second)
	return f
}

// runWithPlatform runs the fleet, answers orders as the platform does and checks the caps throughout.
func (f *waveFleet) runWithPlatform(d manager.Duration, caps map[uint64]int) {
	for end := f.now.Add(d); f.now < end; {
		f.run(50)
		for _, order := range f.platformOrders {
			outcome := dispatcher.OutcomeAccepted
			if _, down := f.down[order.VM]; down || f.busy[order.VM] {
				outcome = dispatcher.OutcomeBusy
			} else {
				f.down[order.VM], f.waveOf[order.VM] = f.now, order.Wave
			}
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: outcome}})
		}
		f.platformOrders = nil
		count := map[uint64]int{}
		for vm := range f.down {
			count[f.waveOf[vm]]++
		}
		for wave, most := range caps {
			require.LessOrEqual(f.t, count[wave], most, "wave %d at %d", wave, f.now)
		}
		f.restartVMs(f.down)
	}
}

// A VM that is down for another wave returns with a new worker instance, which must not count as its return from this
// wave.
func TestWavesThatShareAVMKeepTheirCaps(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3", "w4")
	wave := func(n uint64, vms ...manager.VMID) {
		f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: n, VMs: vms, DurationMs: 30_000, Cap: 1}})
	}
	wave(1, "vm-w1", "vm-w2")
	f.runWithPlatform(900, map[uint64]int{1: 1})
	wave(2, "vm-w1", "vm-w2", "vm-w3", "vm-w4")
	f.runWithPlatform(26*manager.Second, map[uint64]int{1: 1, 2: 1})
	require.True(t, f.state.Waves[1].Completed())
	require.True(t, f.state.Waves[2].Completed())
}

// A VM may be busy when its order arrives, and its worker may restart before the order is accepted. The new instance
// must not count as the return from maintenance.
func TestInstanceStartedBeforeMaintenanceIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2")
	f.busy["vm-w1"] = true
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2"}, DurationMs: 30_000, Cap: 1}})
	f.runWithPlatform(700, map[uint64]int{1: 1})
	require.Equal(t, recorder.MaintenanceOrdered, f.state.Waves[1].State["vm-w1"])
	f.workers[0].restart()
	f.runWithPlatform(500, map[uint64]int{1: 1})
	delete(f.busy, "vm-w1")
	f.runWithPlatform(12*manager.Second, map[uint64]int{1: 1})
	require.True(t, f.state.Waves[1].Completed())
}

// The last report of an instance that the maintenance has ended may be late. It is not a return either.
func TestLateReportDuringMaintenanceIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3")
	caps := map[uint64]int{1: 1}
	cut := f.workers[0]
	cut.silent = true
	f.runWithPlatform(16*manager.Second, caps)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{
		Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2", "vm-w3"}, DurationMs: 30_000, Cap: 1,
	}})
	for range 200 {
		if f.state.Waves[1] != nil && f.state.Waves[1].State["vm-w1"] == recorder.MaintenanceStarted {
			break
		}
		f.runWithPlatform(50, caps)
	}
	require.Equal(t, recorder.MaintenanceStarted, f.state.Waves[1].State["vm-w1"])
	f.runWithPlatform(100, caps)
	late := cut.report
	late.Sequence++
	f.send(dispatcher.Event{Report: &late})
	f.runWithPlatform(20*manager.Second, caps)
	require.True(t, f.state.Waves[1].Completed())
}

// A VM is lost and stays on the platform's list for a while: its order is answered as busy, and the wave would use a part
// of its cap for a VM that no longer exists.
func TestWaveEndsForVMThatIsGoneAfterItsOrder(t *testing.T) {
	f := newFleet(t)
	gone := f.worker("w1", pool, 4000)
	f.worker("w2", pool, 4000)
	f.run(4 * manager.Second)
	gone.silent = true
	f.run(16 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w1"}, DurationMs: 30_000, Cap: 1}})
	listed := map[manager.VMID]dispatcher.ListedVM{"vm-w1": {Pool: pool}, "vm-w2": {Pool: pool, Up: true}}
	for i := range 200 {
		f.run(50)
		if i == 100 {
			listed = map[manager.VMID]dispatcher.ListedVM{"vm-w2": {Pool: pool, Up: true}}
		}
		for _, order := range f.platformOrders {
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: dispatcher.OutcomeBusy}})
		}
		if f.d.WantsListing(f.now) {
			f.send(dispatcher.Event{Listing: &dispatcher.Listing{AskedAt: f.now, VMs: listed}})
		}
		f.platformOrders = nil
	}
	require.True(t, f.state.Waves[1].Completed(), "the wave waits for a VM that no longer exists")
}
