package demonstrator

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// services are the cathode desk's; the ledger's pool is the spare.
var services = []manager.ServiceID{"pricing", "futures", "assay", "freight", "ledger"}

// zones are the cathode desk's availability zones.
var zones = []manager.AvailabilityZone{"tallinn-a", "tallinn-b", "tallinn-c"}

const (
	vmsPerPool = 3
	vmsPerRack = 4
)

// fleet returns a small fleet of the cathode desk's shape.
func fleet() manager.LoadFleet {
	f := manager.LoadFleet{Profiles: []manager.Profile{profile()}}
	for _, s := range services {
		pool := manager.PoolID(s)
		f.Pools = append(f.Pools, manager.Pool{Pool: pool, Service: s, Profile: "cathode", Spare: s == "ledger"})
		for i := range vmsPerPool {
			n := len(f.VMs)
			f.VMs = append(f.VMs, manager.VM{
				VM:               manager.VMID(fmt.Sprintf("%s-%d", s, i+1)),
				Pool:             pool,
				AvailabilityZone: zones[i%len(zones)],
				Rack:             manager.RackID(fmt.Sprintf("rack-%d", n/vmsPerRack+1)),
				Capacity:         capacity,
			})
		}
	}
	return f
}

var capacity = manager.Resources{ProcessorMilliCores: 16_000, MemoryMegaBytes: 32_768}

func profile() manager.Profile {
	const (
		settle     = 200 * manager.Millisecond
		drainLimit = 20 * manager.Second
	)
	return manager.Profile{
		Profile:    "cathode",
		Capacity:   capacity,
		Budget:     manager.Budget{MaxUnavailable: 1},
		Wave:       manager.WaveRules{MaxAtOnce: 1, SettleMs: settle, DrainLimitMs: drainLimit, Order: manager.WaveOrderZone},
		Weights:    manager.Weights{BufferCost: 3, RollOutTime: 1, Moves: 1},
		JobClasses: []manager.JobClass{{Class: "urgent", Priority: 0}, {Class: "batch", Priority: 10, Checkpointable: true}},
		Quotas:     []manager.Quota{{Team: "settlement", Resources: capacity}},
	}
}
