package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const day = 24 * manager.Hour

// TestTwoYearSizeIsMaintainedInEightWeeks runs a wave over 1,500 VMs in 112 pools with a nightly window of
// five minutes and the failures of ordinary days; the time between the windows is run in coarse steps.
func TestTwoYearSizeIsMaintainedInEightWeeks(t *testing.T) {
	const vms, pools, failuresADay = 1_500, 112, 9
	p := testProfile(manager.Budget{MaxUnavailablePercent: 20, MaxPerZone: 2})
	p.Wave.WindowStartMinute, p.Wave.WindowEndMinute = 2*60, 2*60+5
	load := wideFleet(p, vms, pools)
	w := newWorld(t, load, realParts)
	w.unchecked = true
	w.clock.At = manager.Time(20_000 * day)
	random := rand.New(rand.NewPCG(1, 1))
	w.approve("all", poolIDs(load)...)
	start := w.clock.Now()
	broken := map[manager.VMID]manager.Time{}
	for !w.isDone("all")() {
		require.Less(t, w.clock.Now().Sub(start), 56*day)
		pace := 10 * manager.Second
		if !p.Wave.InWindow(w.clock.Now()) {
			pace = min(10*manager.Minute, p.Wave.NextWindow(w.clock.Now()).Sub(w.clock.Now()))
		}
		if random.Float64() < failuresADay*float64(pace)/float64(day) {
			id := load.VMs[random.IntN(vms)].VM
			w.platform.Fail(id)
			broken[id] = w.clock.Now()
		}
		for _, v := range load.VMs {
			if since, ok := broken[v.VM]; ok && w.clock.Now().Sub(since) > manager.Hour {
				w.platform.Repair(v.VM)
				delete(broken, v.VM)
			}
		}
		w.step()
		w.clock.Advance(pace - testStep)
	}
	done := countStates(w.wave("all"), manager.StepDone)
	t.Logf("%d of %d VMs maintained in %.1f days", done, vms, float64(w.clock.Now().Sub(start))/float64(day))
	require.GreaterOrEqual(t, done, vms-failuresADay, "a VM that fails while it is maintained is left for the next wave")
}

// wideFleet returns VMs over five zones, four to a rack.
func wideFleet(p manager.Profile, vms, pools int) manager.LoadFleet {
	const zones, perRack = 5, 4
	f := manager.LoadFleet{Profiles: []manager.Profile{p}}
	for i := range pools {
		id := manager.PoolID(fmt.Sprintf("pool-%03d", i))
		f.Pools = append(f.Pools, manager.Pool{Pool: id, Service: manager.ServiceID(id), Profile: p.Profile, Spare: i == 0})
	}
	for i := range vms {
		zone := i % zones
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%04d", i)), Pool: f.Pools[i%pools].Pool,
			AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
			Rack:             manager.RackID(fmt.Sprintf("rack-%d-%d", zone, i/zones/perRack)),
		})
	}
	return f
}
