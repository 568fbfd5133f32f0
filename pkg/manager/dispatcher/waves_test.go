package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// waveFleet has workers whose VMs are down for two seconds when the platform takes an order.
type waveFleet struct {
	*fleet
	down map[manager.VMID]manager.Time
	busy map[manager.VMID]bool
	of   map[manager.VMID]uint64
}

func newWaveFleet(t *testing.T, ids ...manager.WorkerID) *waveFleet {
	t.Helper()
	f := &waveFleet{fleet: newFleet(t), down: map[manager.VMID]manager.Time{}, busy: map[manager.VMID]bool{}, of: map[manager.VMID]uint64{}}
	for _, id := range ids {
		f.worker(id, pool, 4000)
	}
	f.run(4 * manager.Second)
	return f
}

// play answers orders as the platform does and checks the caps all the while.
func (f *waveFleet) play(d manager.Duration, caps map[uint64]int) {
	for end := f.now.Add(d); f.now < end; {
		f.run(50)
		for _, duty := range f.duties {
			outcome := dispatcher.OutcomeAccepted
			if _, down := f.down[duty.VM]; down || f.busy[duty.VM] {
				outcome = dispatcher.OutcomeBusy
			} else {
				f.down[duty.VM], f.of[duty.VM] = f.now, duty.Wave
			}
			f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: duty, Outcome: outcome}})
		}
		f.duties = nil
		count := map[uint64]int{}
		for vm := range f.down {
			count[f.of[vm]]++
		}
		for wave, most := range caps {
			require.LessOrEqual(f.t, count[wave], most, "wave %d at %d", wave, f.now)
		}
		f.comeBack(f.down)
	}
}

// A VM that another wave has down comes back in a new life, which must not pass for its return from this one.
func TestWavesThatShareAVMKeepTheirCaps(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3", "w4")
	wave := func(n uint64, vms ...manager.VMID) {
		f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: n, VMs: vms, DurationMs: 30_000, Cap: 1}})
	}
	wave(1, "vm-w1", "vm-w2")
	f.play(900, map[uint64]int{1: 1})
	wave(2, "vm-w1", "vm-w2", "vm-w3", "vm-w4")
	f.play(26*manager.Second, map[uint64]int{1: 1, 2: 1})
	require.True(t, f.book.Waves[1].Completed())
	require.True(t, f.book.Waves[2].Completed())
}

// The same holds for a VM that was busy when its order came, crashed and came back before the order was taken.
func TestLifeThatBeganBeforeTheUpkeepIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2")
	f.busy["vm-w1"] = true
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2"}, DurationMs: 30_000, Cap: 1}})
	f.play(700, map[uint64]int{1: 1})
	require.Equal(t, recorder.MaintenanceOrdered, f.book.Waves[1].State["vm-w1"])
	f.workers[0].crash()
	f.play(500, map[uint64]int{1: 1})
	delete(f.busy, "vm-w1")
	f.play(12*manager.Second, map[uint64]int{1: 1})
	require.True(t, f.book.Waves[1].Completed())
}

// The last report of a life that the upkeep has ended can be late; it is no return either.
func TestLateReportAfterTheUpkeepBeganIsNoReturn(t *testing.T) {
	f := newWaveFleet(t, "w1", "w2", "w3")
	caps := map[uint64]int{1: 1}
	cut := f.workers[0]
	cut.silent = true
	f.play(16*manager.Second, caps)
	f.send(dispatcher.Event{Wave: &manager.UpkeepWave{
		Wave: 1, VMs: []manager.VMID{"vm-w1", "vm-w2", "vm-w3"}, DurationMs: 30_000, Cap: 1,
	}})
	for range 200 {
		if f.book.Waves[1] != nil && f.book.Waves[1].State["vm-w1"] == recorder.MaintenanceStarted {
			break
		}
		f.play(50, caps)
	}
	require.Equal(t, recorder.MaintenanceStarted, f.book.Waves[1].State["vm-w1"])
	f.play(100, caps)
	late := cut.report
	late.Sequence++
	f.send(dispatcher.Event{Report: &late})
	f.play(20*manager.Second, caps)
	require.True(t, f.book.Waves[1].Completed())
}
