package dispatcher

import (
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// surplusLoad limits the load of a pool after a VM was switched off. The rest is kept for work that arrives before a VM
// can be back.
const surplusLoad = 0.8

// switchOffSurplus moves the VMs that a pool can do without to a standby pool, as soon as they are idle. Until then they
// get no new finite tasks. It is made for the end of a load peak, when few tasks on each VM would keep all of them
// switched on.
func (d *Dispatcher) switchOffSurplus(now manager.Time, loads []*poolLoad, free []lendableVM, c *recorder.Changes) {
	standby := d.firstStandbyPool()
	if standby == "" {
		return
	}
	for _, vm := range free {
		if vm.worker == nil {
			continue
		}
		if l := findLoad(loads, vm.pool); l != nil {
			if l.loadWithSurplus(manager.Resources{}.Sub(vm.capacity)) > surplusLoad {
				continue
			}
			l.free = l.free.Sub(vm.capacity)
		}
		d.moveVM(now, vm, standby, c)
	}
}
