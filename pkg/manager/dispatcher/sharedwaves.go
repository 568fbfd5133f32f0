package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// waveVM identifies the maintenance of one VM for one wave.
type waveVM struct {
	wave uint64
	vm   manager.VMID
}

// recordStartTime notes when this dispatcher first saw that the maintenance of a VM for a wave has started.
func (d *Dispatcher) recordStartTime(now manager.Time, wave *recorder.Wave, vm manager.VMID) {
	id := waveVM{wave.Wave, vm}
	if d.maintenance.startedAt[id] == 0 {
		d.maintenance.startedAt[id] = now
	}
}

// dropStartTimes removes the start times of maintenance that is over.
func (d *Dispatcher) dropStartTimes() {
	for id := range d.maintenance.startedAt {
		if w := d.State.Waves[id.wave]; w == nil || w.State[id.vm] != recorder.MaintenanceStarted {
			delete(d.maintenance.startedAt, id)
		}
	}
}

// hasReturned reports whether a worker is an instance that started after its VM's maintenance for a wave, and not one
// that the maintenance ended: an instance that was first seen too early may have been ended too, as its order was delayed
// or its last report was late. Such an instance counts only after the maintenance must be over.
func (d *Dispatcher) hasReturned(now manager.Time, w *worker, wave *recorder.Wave) bool {
	vm := w.latest.VM
	began := d.maintenance.startedAt[waveVM{wave.Wave, vm}]
	if w.instance.StartedAt <= wave.InstanceStart[vm] {
		return false
	}
	over := now.Sub(began) >= maintenanceTime && now.Sub(w.heardAt) <= d.maxReportAge()
	return over || w.firstSeenAt.Sub(began) >= minMaintenanceTime
}

// inOtherWave reports whether a VM is in the maintenance of another wave, or is ordered for it in this cycle. The platform
// would refuse an order until the VM is back. A VM of several waves is maintained for one of them after the other, in the
// order in which they get to it, so that at any time at most one maintenance of a VM can begin or end.
func (d *Dispatcher) inOtherWave(wave *recorder.Wave, vm manager.VMID) bool {
	if d.maintenance.orderedNow[vm] {
		return true
	}
	for id, other := range d.State.Waves {
		if s := other.State[vm]; id != wave.Wave && (s == recorder.MaintenanceOrdered || s == recorder.MaintenanceStarted) {
			return true
		}
	}
	return false
}
