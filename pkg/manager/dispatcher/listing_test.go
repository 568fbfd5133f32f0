package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// sendWaveForSilentVM starts a wave over a VM without a worker and sends a list that does not show the VM.
func sendWaveForSilentVM(t *testing.T, l dispatcher.Listing) *fleet {
	t.Helper()
	f := newFleet(t)
	f.worker("w1", pool, 4000)
	f.run(6 * manager.Second)
	f.send(dispatcher.Event{Wave: &manager.MaintenanceRequest{Wave: 1, VMs: []manager.VMID{"vm-w2"}, DurationMs: 30_000, Cap: 1}})
	f.run(200)
	l.AskedAt = f.now
	l.VMs = map[manager.VMID]dispatcher.ListedVM{"vm-w1": {Pool: pool, Up: true}}
	f.send(dispatcher.Event{Listing: &l})
	f.run(200)
	return f
}

func TestVMWithAnOddEntryIsNotGone(t *testing.T) {
	f := sendWaveForSilentVM(t, dispatcher.Listing{})
	require.True(t, f.state.Waves[1].Completed(), "the list does not show the VM")
	f = sendWaveForSilentVM(t, dispatcher.Listing{Unread: map[manager.VMID]string{"vm-w2": "number too large"}})
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-w2"], "the entry of the VM could not be used")
	f = sendWaveForSilentVM(t, dispatcher.Listing{Unnamed: 1, UnnamedReason: "nested too deeply"})
	require.NotEqual(t, recorder.MaintenanceDone, f.state.Waves[1].State["vm-w2"], "an entry that could not be used may be that of the VM")
}

func TestOddEntriesOfEachListAreLoggedOnce(t *testing.T) {
	f := newFleet(t)
	lines := 0
	for range 100 {
		l := dispatcher.Listing{AskedAt: f.now, Unread: map[manager.VMID]string{}, Unnamed: 2, UnnamedReason: "nested too deeply"}
		for i := range 1000 {
			l.Unread[manager.VMID(fmt.Sprintf("vm-%d", i))] = "number too large"
		}
		f.d.RunCycle(f.now, []dispatcher.Event{{Listing: &l}})
		for _, line := range f.d.LogLines() {
			if line.Message == manager.LogListEntryNotUsed {
				lines++
			}
		}
	}
	require.Positive(t, lines)
	require.LessOrEqual(t, lines, 20)
}
