package applier_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// BenchmarkJobs measures what jobs cost the replicated state: memory including a view, the snapshot, the
// log and the time of a step that starts a thousand tasks.
func BenchmarkJobs(b *testing.B) {
	for _, n := range []int{1_000, 6_000, 24_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			for range b.N {
				measureJobs(b, n)
			}
		})
	}
}

func measureJobs(b *testing.B, n int) {
	b.Helper()
	before := heap()
	s := applier.New()
	f := manager.LoadFleet{
		Profiles: []manager.Profile{{
			Profile: "cathode", Budget: manager.Budget{MaxUnavailable: 1},
			Wave: manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: manager.Minute, Order: manager.WaveOrderName},
		}},
		Pools: []manager.Pool{{Pool: "pricing", Profile: "cathode"}},
	}
	for i := range n / 4 {
		f.VMs = append(f.VMs, manager.VM{VM: manager.VMID(fmt.Sprintf("vm-%05d", i)), Pool: "pricing", Capacity: capacity(16, 32)})
	}
	s.Apply(manager.Command{At: start, LoadFleet: &f})
	var batch manager.TaskBatch
	for i := range n {
		id := manager.JobID(fmt.Sprintf("job-%06d", i))
		s.Apply(manager.Command{At: start, SubmitJob: &manager.SubmitJob{Job: manager.Job{Job: id, Team: "desk", Profile: "cathode", Declared: capacity(4, 8)}}})
		task := startTask(id, f.VMs[i/4].VM)
		task.Reserved = capacity(4, 8)
		batch.Start = append(batch.Start, task)
	}
	entry, err := json.Marshal(manager.Command{PlaceTasks: &manager.TaskBatch{Start: batch.Start[:1_000]}})
	require.NoError(b, err)
	b.ResetTimer()
	for i := 0; i < n; i += 1_000 {
		s.Apply(manager.Command{At: start, PlaceTasks: &manager.TaskBatch{Start: batch.Start[i : i+1_000]}})
	}
	b.StopTimer()
	require.Len(b, s.Fleet().LeasesOn("vm-00000"), 4)
	snapshot, err := s.Snapshot()
	require.NoError(b, err)
	b.ReportMetric(float64(heap()-before)/float64(n), "memory-B/job")
	b.ReportMetric(float64(len(snapshot))/float64(n), "snapshot-B/job")
	b.ReportMetric(float64(len(entry))/1_000, "log-B/start")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/float64(b.N), "us/start")
	runtime.KeepAlive(s)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
