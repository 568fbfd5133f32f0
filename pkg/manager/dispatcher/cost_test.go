package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// benchFleet is a fleet with one pool and one queue for every ten workers, each with a long-running job.
type benchFleet struct {
	state    *recorder.State
	d        *dispatcher.Dispatcher
	now      manager.Time
	pools    int
	sequence manager.Sequence
	lastCall dispatcher.CallID
}

// newPools returns a fleet without workers and with a queue for each pool.
func newPools(n int) (*benchFleet, *manager.FleetConfiguration) {
	c := &benchFleet{state: recorder.New(), now: 1_000_000, pools: n}
	f := &manager.FleetConfiguration{Version: 1}
	for p := range c.pools {
		pool := manager.PoolID(fmt.Sprintf("p%03d", p))
		f.Pools = append(f.Pools, manager.PoolSettings{Pool: pool})
		f.Queues = append(f.Queues, manager.QueueSettings{
			Queue: manager.QueueID("q" + pool), Host: "h", Prefix: "/" + string(pool) + "/", Pool: pool,
			TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 3,
		})
	}
	c.state.Apply(recorder.Changes{At: c.now, Configure: f})
	c.d = dispatcher.New(c.state, 1, dispatcher.Options{}, c.now)
	return c, f
}

func newBenchFleet(workers int) *benchFleet {
	c, f := newPools(max(1, workers/10))
	var jobs []dispatcher.Event
	for _, q := range f.Queues {
		jobs = append(jobs, dispatcher.Event{Submit: &manager.Graph{
			Graph: manager.GraphID("l" + q.Queue), Queue: q.Queue, Steps: []manager.GraphStep{longRunning(1000, 5, 1)},
		}})
	}
	c.runCycles(jobs)
	for range 3 {
		c.report(0, workers)
	}
	return c
}

func (c *benchFleet) runCycles(events []dispatcher.Event) {
	for again := true; again; events = nil {
		changes, _ := c.d.RunCycle(c.now, events)
		if again = !changes.Empty(); again {
			c.state.Apply(changes)
			c.d.Committed(c.now)
		}
		c.d.LogLines()
		c.d.PlatformOrders()
	}
}

// report sends the heartbeats of some workers. Everything that was assigned to them is running.
func (c *benchFleet) report(from, to int) {
	c.now = c.now.Add(20)
	c.sequence++
	var events []dispatcher.Event
	for i := from; i < to; i++ {
		r := &manager.WorkerReport{
			Instance: manager.WorkerInstance{Worker: manager.WorkerID(fmt.Sprintf("w%04d", i)), StartedAt: 1}, Sequence: c.sequence,
			VM: manager.VMID(fmt.Sprintf("m%04d", i)), Pool: manager.PoolID(fmt.Sprintf("p%03d", i%c.pools)),
			Address:  manager.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)),
			Capacity: manager.Resources{ProcessorMilliCores: 16000, MemoryMegaBytes: 32768},
		}
		for id, run := range c.state.Runs(r.Instance) {
			r.Running = append(r.Running, manager.RunningTask{Task: id, Run: run.Number, Progress: 100})
		}
		c.lastCall++
		events = append(events, dispatcher.Event{Call: c.lastCall, Report: r})
	}
	c.runCycles(events)
}

// BenchmarkStep measures a cycle with the reports of a fiftieth of the workers and a new job. The jobs' tasks keep
// running and accumulate up to four for each worker.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{60, 300, 1500} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchFleet(workers)
			share := max(1, workers/50)
			b.ResetTimer()
			for i := range b.N {
				q := c.state.Configuration.Queues[i%c.pools]
				id := manager.GraphID(fmt.Sprintf("j%d", i))
				c.runCycles([]dispatcher.Event{{Submit: &manager.Graph{Graph: id, Queue: q.Queue, Steps: []manager.GraphStep{task(500, 4)}}}})
				c.report(i%50*share, i%50*share+share)
				if i >= workers {
					c.runCycles([]dispatcher.Event{{Cancel: ptr(manager.GraphID(fmt.Sprintf("j%d", i-workers)))}})
				}
			}
			b.StopTimer()
			data, err := c.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/float64(max(1, len(c.state.Jobs))), "snapshot-B/job")
		})
	}
}

func ptr[T any](v T) *T { return &v }

// newDispatcherHears returns how long the first cycle of a new dispatcher takes in which all workers report.
func newDispatcherHears(workers int) time.Duration {
	state := recorder.New()
	reports := make([]dispatcher.Event, workers)
	c := recorder.Changes{At: 1_000_000}
	for i := range workers {
		instance := manager.WorkerInstance{Worker: manager.WorkerID(fmt.Sprintf("w%04d", i)), StartedAt: manager.Time(i + 1)}
		vm, id := manager.VMID(fmt.Sprintf("m%04d", i)), manager.GraphID(fmt.Sprintf("j%04d", i))
		c.Submit = append(c.Submit, manager.Graph{Graph: id, Queue: queue, Steps: []manager.GraphStep{task(500, 1)}})
		c.Start = append(c.Start, recorder.Start{Task: manager.TaskID{Graph: id}, Run: 1, Instance: instance, VM: vm})
		reports[i] = dispatcher.Event{Call: dispatcher.CallID(i + 1), Report: &manager.WorkerReport{
			Instance: instance, Sequence: 1, VM: vm, Pool: pool, Address: manager.Address(instance.Worker),
			Running:  []manager.RunningTask{{Task: manager.TaskID{Graph: id}, Run: 1}},
			Capacity: manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 1 << 20},
		}}
	}
	state.Apply(c)
	d := dispatcher.New(state, 2, dispatcher.Options{}, 1_000_100)
	begin := time.Now()
	d.RunCycle(1_000_200, reports)
	return time.Since(begin)
}

// All workers and callers wait while a new dispatcher runs its first cycle.
func TestNewDispatcherHearsThousandsOfWorkersWithinASecond(t *testing.T) {
	require.Less(t, newDispatcherHears(5000), time.Second)
}

func BenchmarkNewDispatcherHearsAllWorkers(b *testing.B) {
	for _, workers := range []int{500, 2000, 5000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			total := time.Duration(0)
			for range b.N {
				total += newDispatcherHears(workers)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "cycle-ms/op")
		})
	}
}
