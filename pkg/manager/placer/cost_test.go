package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	teams        = 63
	tasksOnVM    = 4
	runningDone  = 20 * manager.Second
	stepInterval = 2 * manager.Second
)

// busyFleet returns a fleet whose VMs run four tasks each, so that most are nearly full, and half as many waiting
// jobs as VMs. One waiting job in ten is urgent, every second one is bound to a pool.
func busyFleet(workers, pools int, seed uint64) (manager.Fleet, []manager.UsageReport) {
	random := rand.New(rand.NewPCG(seed, uint64(pools)))
	p := manager.Profile{
		Profile: "cathode", Budget: manager.Budget{MaxUnavailablePercent: 10}, Spread: manager.Spread{MaxPerRack: 64},
		JobClasses: []manager.JobClass{{Class: "urgent"}, {Class: "batch", Priority: 10, Checkpointable: true}},
	}
	whole := manager.Resources{ProcessorMilliCores: 16_000, MemoryMegaBytes: 32 << 10, Accelerators: 2}
	for i := range teams {
		many := manager.Resources{ProcessorMilliCores: 16_000 * manager.MilliCores(workers), MemoryMegaBytes: (32 << 10) * manager.MegaBytes(workers), Accelerators: 10_000}
		p.Quotas = append(p.Quotas, manager.Quota{Team: manager.TeamID(fmt.Sprintf("team-%02d", i)), Resources: many})
	}
	f := manager.Fleet{Now: 100_000, Profiles: []manager.Profile{p}}
	for i := range pools {
		f.Pools = append(f.Pools, manager.Pool{Pool: manager.PoolID(fmt.Sprintf("pool-%03d", i)), Profile: p.Profile})
	}
	var reports []manager.UsageReport
	for i := range workers {
		v := manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%05d", i)), Pool: f.Pools[i%pools].Pool, Epoch: 1, State: manager.VMRunning, Capacity: whole,
			AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", i/4%5)), Rack: manager.RackID(fmt.Sprintf("rack-%04d", i/4)),
		}
		f.VMs = append(f.VMs, v)
		for k := range tasksOnVM {
			id := manager.LeaseID(i*tasksOnVM + k + 1)
			j := randomJob(random, fmt.Sprintf("run-%06d", id), "batch")
			j.Declared = manager.Resources{ProcessorMilliCores: 3_000 + manager.MilliCores(random.IntN(1_000)), MemoryMegaBytes: 6_000 + manager.MegaBytes(random.IntN(2_000))}
			j.State = manager.JobRunning
			j.Lease = &manager.Lease{Lease: id, Job: j.Job, VM: v.VM, Epoch: 1, Until: 1_000_000, Reserved: j.Declared, StartAt: 90_000}
			f.Jobs = append(f.Jobs, j)
			reports = append(reports, manager.UsageReport{Lease: id, Job: j.Job, VM: v.VM, At: 99_000, Used: j.Declared, DoneMs: runningDone})
		}
	}
	for i := range workers / 2 {
		class := "batch"
		if i%10 == 0 {
			class = "urgent"
		}
		j := randomJob(random, fmt.Sprintf("wait-%06d", i), class)
		if i%2 == 0 {
			j.Pool = f.Pools[random.IntN(pools)].Pool
		}
		f.Jobs = append(f.Jobs, j)
	}
	return f, reports
}

func randomJob(random *rand.Rand, id, class string) manager.Job {
	return manager.Job{
		Job: manager.JobID(id), Team: manager.TeamID(fmt.Sprintf("team-%02d", random.IntN(teams))), Profile: "cathode", Class: class,
		Declared:   manager.Resources{ProcessorMilliCores: 500 + manager.MilliCores(random.IntN(8_000)), MemoryMegaBytes: 500 + manager.MegaBytes(random.IntN(12_000))},
		DeclaredMs: manager.Minute, Idempotent: true, State: manager.JobQueued, SubmittedAt: 95_000,
	}
}

// plan runs one full step of a placer on the fleet.
func plan(p manager.Placer, f manager.Fleet, reports []manager.UsageReport, n int) []manager.Command {
	now := f.Now.Add(manager.Duration(n) * stepInterval)
	for i := range reports {
		reports[i].At = now.Add(-stepInterval)
	}
	f.Revision = manager.Revision(n + 1)
	p.Observe(now, reports)
	return p.Plan(now, f)
}

// TestDecisionCostGrowsAsNLogN counts the visited hosts and tree nodes, which does not depend on timing. The
// bound is n log n growth from the smallest to the largest fleet.
func TestDecisionCostGrowsAsNLogN(t *testing.T) {
	sizes := []int{500, 1_500, 5_000}
	for _, pools := range []int{5, 112} {
		work := make([]int, len(sizes))
		for i, n := range sizes {
			for seed := range uint64(3) {
				f, reports := busyFleet(n, pools, seed)
				p := &Adaptive{}
				require.NotEmpty(t, plan(p, f, reports, 0))
				work[i] += p.visited
			}
		}
		t.Logf("%d pools: visited %d hosts and nodes with %d workers", pools, work, sizes)
		first, last := sizes[0], sizes[len(sizes)-1]
		allowed := float64(work[0]) * nLogN(last) / nLogN(first)
		require.LessOrEqual(t, float64(work[len(work)-1]), allowed)
	}
}

func nLogN(n int) float64 { return float64(n) * math.Log2(float64(n)) }

// TestPlanIsDeterministic repeats a step with the same fleet and reports.
func TestPlanIsDeterministic(t *testing.T) {
	f, reports := busyFleet(200, 5, 1)
	first := plan(&Adaptive{}, f, reports, 0)
	for range 3 {
		require.Equal(t, first, plan(&Adaptive{}, f, reports, 0))
	}
}

// TestMemoryIsBounded feeds reports of unknown leases and jobs of ever new families.
func TestMemoryIsBounded(t *testing.T) {
	p := &Adaptive{}
	f, reports := busyFleet(4, 1, 1)
	for i := range 20_000 {
		j := randomJob(rand.New(rand.NewPCG(1, 1)), fmt.Sprintf("kind-%d-x", i), "batch")
		p.init()
		p.estimator.record(j, j.Declared, manager.Second)
		p.Observe(f.Now, []manager.UsageReport{{Lease: manager.LeaseID(1_000_000 + i), At: f.Now}})
	}
	plan(p, f, reports, 1)
	require.LessOrEqual(t, len(p.usage), len(reports))
	require.LessOrEqual(t, len(p.estimator.current)+len(p.estimator.previous), 2*maxEstimates)
}

// BenchmarkPlan measures one step of each placer on the same fleets.
func BenchmarkPlan(b *testing.B) {
	placers := []struct {
		name string
		make func() manager.Placer
	}{
		{"naive", func() manager.Placer { return &FirstFit{} }},
		{"real", func() manager.Placer { return &Adaptive{} }},
	}
	for _, pools := range []int{5, 112} {
		for _, n := range []int{50, 500, 1_500, 5_000} {
			f, reports := busyFleet(n, pools, 1)
			for _, kind := range placers {
				b.Run(fmt.Sprintf("%s/workers=%d/pools=%d", kind.name, n, pools), func(b *testing.B) {
					p := kind.make()
					for i := range b.N {
						plan(p, f, reports, i)
					}
					perStep := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
					b.ReportMetric(perStep/nLogN(n), "ns/nlogn")
				})
			}
		}
	}
}
