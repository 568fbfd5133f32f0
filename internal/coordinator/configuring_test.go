package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/coordinator"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// configuration returns a configuration of n routes whose document names each of them as an operator would.
func configuration(v manager.Version, n int) *manager.FleetConfiguration {
	c := &manager.FleetConfiguration{Version: v, Pools: []manager.PoolSettings{{Pool: "svc-quote"}}}
	var document strings.Builder
	fmt.Fprintf(&document, `{"version":%d,"routes":[`, v)
	for i := range n {
		q := manager.QueueSettings{
			Queue: manager.QueueID(fmt.Sprintf("r-%07d", i)), Host: fmt.Sprintf("h%d.example", i%40), Prefix: fmt.Sprintf("/p%x/", i*7919),
			Pool: "svc-quote", TimeoutMs: manager.Duration(3000 + i%17), SlackMs: 900, Stretch: 1.6, MaxAttempts: 4,
		}
		c.Queues = append(c.Queues, q)
		fmt.Fprintf(&document, `{"name":%q,"host":%q,"pathPrefix":%q,"timeoutMs":%d,"service":"svc-quote","maxAttempts":4,"slackMs":900,"stretch":1.6},`,
			q.Queue, q.Host, q.Prefix, q.TimeoutMs)
	}
	c.Document = []byte(strings.TrimSuffix(document.String(), ",") + `],"services":[{"name":"svc-quote"}]}`)
	return c
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkConfigurationChanges measures what changes of a configuration cost a single replica: the processor time of each,
// the largest size of its folder and the time of a restart. 2,200 routes are about the most that an entry holds.
func BenchmarkConfigurationChanges(b *testing.B) {
	for _, routes := range []int{100, 2_000, 2_200} {
		for _, changes := range []int{10, 100, 1_000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", routes, changes), func(b *testing.B) {
				for b.Loop() {
					benchmarkChanges(b, routes, changes)
				}
			})
		}
	}
}

func benchmarkChanges(b *testing.B, routes, changes int) {
	b.Helper()
	folder := b.TempDir()
	s, _ := openReplica(b, folder)
	began, largest, entry, last := processorTime(b), int64(0), 0, []byte(nil)
	for v := range changes {
		c := configuration(manager.Version(v+1), routes)
		data, err := recorder.Encode(recorder.Changes{Configure: c})
		require.NoError(b, err)
		require.NoError(b, s.ProposeEntry(b.Context(), data))
		entry, last = len(data), c.Document
		const often = 5
		if v%often == 0 || v == changes-1 {
			largest = max(largest, folderBytes(b, folder))
		}
	}
	used := processorTime(b) - began
	require.NoError(b, s.Close())
	start := time.Now()
	s, state := openReplica(b, folder)
	restart := time.Since(start)
	require.Equal(b, string(last), string(state.Configuration.Document))
	require.NoError(b, s.Close())
	b.ReportMetric(float64(entry), "entry-bytes")
	b.ReportMetric(float64(largest), "disk-bytes")
	b.ReportMetric(float64(used.Microseconds())/float64(changes), "cpu-us/change")
	b.ReportMetric(float64(restart.Milliseconds()), "restart-ms")
}

// openReplica opens a single replica with the limits of a disk of 128 MB and waits until it leads.
func openReplica(b *testing.B, folder string) (*storer.Replicated, *recorder.State) {
	b.Helper()
	const entries, size = 800, 16 << 20
	state := recorder.New()
	s := &storer.Replicated{
		Clock: timekeeper.New(), Replica: 1, HTTP: http.DefaultClient, Folder: folder, SnapshotEvery: entries, SnapshotBytes: size,
		Initial: []manager.ReplicaMember{{Replica: 1, Address: "127.0.0.1:1"}}, Machine: coordinator.Machine{State: state},
	}
	require.NoError(b, s.Open())
	require.Eventually(b, func() bool { _, leads := s.Leader(); return leads }, time.Minute, time.Millisecond)
	return s, state
}

func folderBytes(b *testing.B, folder string) int64 {
	b.Helper()
	files, err := os.ReadDir(folder)
	require.NoError(b, err)
	total := int64(0)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// The largest configuration of the benchmark has to be one that nodes accept.
func TestBenchmarkedConfigurationFitsAnEntry(t *testing.T) {
	t.Parallel()
	const routes = 2_200
	data, err := json.Marshal(configuration(1, routes))
	require.NoError(t, err)
	require.Less(t, len(data), storer.MaxEntryBytes-storer.MaxEntryBytes/16)
}
