package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newLendingFleet returns a fleet whose first pool has had its first job.
func newLendingFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.acceptOrders = true
	for _, id := range []manager.WorkerID{"w1", "w2"} {
		f.worker(id, pool, 4000)
	}
	f.worker("w3", other, 4000)
	f.run(4 * manager.Second)
	f.submit("first", task(100, 1))
	f.run(1 * manager.Second)
	return f
}

// overload submits more work than the pool can do.
func (f *fleet) overload(peak int) {
	for i := range 6 {
		f.submit(manager.GraphID(fmt.Sprintf("turn%d-%d", peak, i)), task(1000, 6))
	}
}

// offVMs returns VMs that are switched off.
func offVMs(n int) map[manager.VMID]dispatcher.ListedVM {
	vms := map[manager.VMID]dispatcher.ListedVM{}
	for i := range n {
		vms[manager.VMID(fmt.Sprintf("vm-o%d", i))] = dispatcher.ListedVM{
			Pool: spare, Up: true, Capacity: manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20},
		}
	}
	return vms
}

// Queues peak one after the other: a VM that was switched off after one peak is needed seconds later for the next.
func TestSwitchedOffVMIsLentAgainForNextPeak(t *testing.T) {
	f := newLendingFleet(t)
	f.sendListing(offVMs(1))
	f.overload(1)
	f.run(500)
	require.Len(t, f.platformOrders, 1)
	lent := f.worker("o0", pool, 4000)
	for len(f.platformOrders) < 2 {
		f.run(100)
	}
	require.Equal(t, spare, f.platformOrders[1].Pool, "the VM is not switched off after the peak")
	lent.silent = true
	f.run(2 * manager.Second)
	f.overload(2)
	f.run(700)
	require.Len(t, f.platformOrders, 3, "the VM that is switched off is not ordered")
	require.Equal(t, pool, f.platformOrders[2].Pool)
}

// The list of VMs may be read while some are being switched off. It is read again only 15 seconds later.
func TestVMsListedWhileMovingAreLent(t *testing.T) {
	f := newLendingFleet(t)
	vms := offVMs(2)
	for id, vm := range vms {
		vm.Up, vm.Moving = false, true
		vms[id] = vm
	}
	f.sendListing(vms)
	f.run(3 * manager.Second)
	f.overload(1)
	f.run(500)
	require.Len(t, f.platformOrders, 2)
}

// A VM that refuses orders for now must not count as incoming capacity, as the pool would then get no other VM.
func TestBusyVMDoesNotCountAsIncomingCapacity(t *testing.T) {
	f := newLendingFleet(t)
	f.acceptOrders = false
	f.sendListing(offVMs(6))
	f.overload(1)
	for len(f.platformOrders) == 0 {
		f.run(50)
	}
	require.Less(t, len(f.platformOrders), 6)
	for _, order := range f.platformOrders {
		f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: dispatcher.OutcomeBusy}})
	}
	f.platformOrders = nil
	f.run(300)
	require.NotEmpty(t, f.platformOrders, "the VMs that have not refused an order are not ordered")
}
