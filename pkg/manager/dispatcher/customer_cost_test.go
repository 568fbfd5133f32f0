package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// floodedTasks are the tasks that wait in the flooded pool.
const floodedTasks = 10_000

// BenchmarkFlood measures a cycle of a pool of 180 workers whose tasks are all taken, in which jobs of many customers wait
// and ten more arrive.
func BenchmarkFlood(b *testing.B) {
	for _, customers := range []int{0, 20, 200, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			c, f := newPools(1)
			next := *f
			next.Version, next.RequiresKeys = 2, customers > 0
			for i := range customers {
				next.Customers = append(next.Customers, manager.CustomerSettings{
					Customer: manager.CustomerID(fmt.Sprintf("c%d", i)), Weight: 1e6, Cap: manager.Resources{ProcessorMilliCores: 1 << 40},
				})
			}
			next.Index()
			events := []dispatcher.Event{{Configure: &next}}
			submit := func(i int) dispatcher.Event {
				g := &manager.Graph{Graph: manager.GraphID(fmt.Sprintf("j%d", i)), Queue: f.Queues[0].Queue, Steps: []manager.GraphStep{task(3100, 8)}}
				if customers > 0 {
					g.Customer = manager.CustomerID(fmt.Sprintf("c%d", i%customers))
				}
				return dispatcher.Event{Submit: g}
			}
			c.runCycles(events)
			for range 3 {
				c.report(0, 180)
			}
			for i := 0; i < floodedTasks/8; i += 50 {
				var list []dispatcher.Event
				for k := range 50 {
					list = append(list, submit(i+k))
				}
				c.runCycles(list)
			}
			b.ResetTimer()
			for i := range b.N {
				var list []dispatcher.Event
				for k := range 10 {
					list = append(list, submit(1_000_000+i*10+k))
				}
				c.now = c.now.Add(20)
				c.runCycles(list)
				b.StopTimer()
				list = nil
				for k := range 10 {
					list = append(list, dispatcher.Event{Cancel: ptr(manager.GraphID(fmt.Sprintf("j%d", 1_000_000+i*10+k)))})
				}
				c.runCycles(list)
				b.StartTimer()
			}
		})
	}
}
