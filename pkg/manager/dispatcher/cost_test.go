package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// crowd is a fleet with a pool of ten workers and a queue for each ten, each with a lasting job.
type crowd struct {
	book  *recorder.State
	d     *dispatcher.Dispatcher
	now   manager.Time
	pools int
	sent  manager.Sequence
	next  dispatcher.CallID
}

// newPools is a fleet without workers, with a queue for each pool.
func newPools(n int) (*crowd, *manager.FleetConfiguration) {
	c := &crowd{book: recorder.New(), now: 1_000_000, pools: n}
	f := &manager.FleetConfiguration{Version: 1}
	for p := range c.pools {
		pool := manager.PoolID(fmt.Sprintf("p%03d", p))
		f.Pools = append(f.Pools, manager.PoolSettings{Pool: pool})
		f.Queues = append(f.Queues, manager.QueueSettings{
			Queue: manager.QueueID("q" + pool), Host: "h", Prefix: "/" + string(pool) + "/", Pool: pool,
			TimeoutMs: 3000, SlackMs: 3600, Stretch: 1.6, MaxAttempts: 3,
		})
	}
	c.book.Apply(recorder.Changes{At: c.now, Configure: f})
	c.d = dispatcher.New(c.book, 1, dispatcher.Options{}, c.now)
	return c, f
}

func newCrowd(workers int) *crowd {
	c, f := newPools(max(1, workers/10))
	var jobs []dispatcher.Event
	for _, q := range f.Queues {
		jobs = append(jobs, dispatcher.Event{Submit: &manager.Graph{
			Graph: manager.GraphID("l" + q.Queue), Queue: q.Queue, Steps: []manager.GraphStep{lasting(1000, 5, 1)},
		}})
	}
	c.step(jobs)
	for range 3 {
		c.report(0, workers)
	}
	return c
}

func (c *crowd) step(events []dispatcher.Event) {
	for again := true; again; events = nil {
		changes, _ := c.d.RunCycle(c.now, events)
		if again = !changes.Empty(); again {
			c.book.Apply(changes)
			c.d.Committed(c.now)
		}
		c.d.LogLines()
		c.d.PlatformOrders()
	}
}

// report brings the heartbeats of some workers; everything that they were given is at work.
func (c *crowd) report(from, to int) {
	c.now = c.now.Add(20)
	c.sent++
	var events []dispatcher.Event
	for i := from; i < to; i++ {
		r := &manager.WorkerReport{
			Life: manager.WorkerLife{Worker: manager.WorkerID(fmt.Sprintf("w%04d", i)), Born: 1}, Sequence: c.sent,
			VM: manager.VMID(fmt.Sprintf("m%04d", i)), Pool: manager.PoolID(fmt.Sprintf("p%03d", i%c.pools)),
			Address:  manager.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)),
			Capacity: manager.Resources{ProcessorMilliCores: 16000, MemoryMegaBytes: 32768},
		}
		for id, run := range c.book.Runs(r.Life) {
			r.Running = append(r.Running, manager.RunningTask{Task: id, Run: run.Number, Progress: 100})
		}
		c.next++
		events = append(events, dispatcher.Event{Call: c.next, Report: r})
	}
	c.step(events)
}

// BenchmarkStep is a step with the reports of a fiftieth of the workers and a new job, whose tasks run on
// and pile up to four for each worker.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{60, 300, 1500} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newCrowd(workers)
			share := max(1, workers/50)
			b.ResetTimer()
			for i := range b.N {
				q := c.book.Configuration.Queues[i%c.pools]
				id := manager.GraphID(fmt.Sprintf("j%d", i))
				c.step([]dispatcher.Event{{Submit: &manager.Graph{Graph: id, Queue: q.Queue, Steps: []manager.GraphStep{task(500, 4)}}}})
				c.report(i%50*share, i%50*share+share)
				if i >= workers {
					c.step([]dispatcher.Event{{Cancel: ptr(manager.GraphID(fmt.Sprintf("j%d", i-workers)))}})
				}
			}
			b.StopTimer()
			data, err := c.book.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/float64(max(1, len(c.book.Jobs))), "snapshot-B/job")
		})
	}
}

func ptr[T any](v T) *T { return &v }
