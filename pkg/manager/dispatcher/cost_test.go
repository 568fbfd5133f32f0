package dispatcher_test

import (
	"fmt"
	"testing"

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
