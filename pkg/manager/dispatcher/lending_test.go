package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newLent returns a fleet whose second pool has had its first job.
func newLent(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.answerDuty = true
	for _, id := range []manager.WorkerID{"w1", "w2"} {
		f.worker(id, pool, 4000)
	}
	f.worker("w3", other, 4000)
	f.run(4 * manager.Second)
	f.submit("first", task(100, 1))
	f.run(1 * manager.Second)
	return f
}

// surge hands in more than the pool can do.
func (f *fleet) surge(turn int) {
	for i := range 6 {
		f.submit(manager.GraphID(fmt.Sprintf("turn%d-%d", turn, i)), task(1000, 6))
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

// Queues that surge in turns: a VM that was switched off after one turn is wanted for the next one seconds later.
func TestVMThatWasSwitchedOffComesBackForTheNextTurn(t *testing.T) {
	f := newLent(t)
	f.list(offVMs(1))
	f.surge(1)
	f.run(500)
	require.Len(t, f.duties, 1)
	lent := f.worker("o0", pool, 4000)
	for len(f.duties) < 2 {
		f.run(100)
	}
	require.Equal(t, spare, f.duties[1].Pool, "the VM is switched off after the turn")
	lent.silent = true
	f.run(2 * manager.Second)
	f.surge(2)
	f.run(700)
	require.Len(t, f.duties, 3, "the VM that is off is not ordered")
	require.Equal(t, pool, f.duties[2].Pool)
}

// The list of VMs is read while some are being switched off; it is read again a quarter of a minute later.
func TestVMsThatWereListedOnTheirWayAreLent(t *testing.T) {
	f := newLent(t)
	vms := offVMs(2)
	for id, vm := range vms {
		vm.Up, vm.Moving = false, true
		vms[id] = vm
	}
	f.list(vms)
	f.run(3 * manager.Second)
	f.surge(1)
	f.run(500)
	require.Len(t, f.duties, 2)
}

// A VM that refuses orders for now must not be counted as room on its way, as the pool then gets no other.
func TestVMThatCanNotBeOrderedHidesNoLack(t *testing.T) {
	f := newLent(t)
	f.answerDuty = false
	f.list(offVMs(6))
	f.surge(1)
	for len(f.duties) == 0 {
		f.run(50)
	}
	require.Less(t, len(f.duties), 6)
	for _, duty := range f.duties {
		f.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: duty, Outcome: dispatcher.OutcomeBusy}})
	}
	f.duties = nil
	f.run(300)
	require.NotEmpty(t, f.duties, "the VMs that were not asked yet are ordered")
}
