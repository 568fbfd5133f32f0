package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/localizer"
)

// BenchmarkRackWaits measures a cycle of a pool of 70 workers of 32 cores with thousands of waiting tasks, in which one worker
// reports. The tasks never end, so that all cycles decide on the same tasks. With Always, some 3,500 tasks wait by choice.
func BenchmarkRackWaits(b *testing.B) {
	for _, o := range []dispatcher.Options{{}, {RemoteFactor: 3}, {RemoteFactor: 3, Locality: localizer.Always{}}} {
		b.Run(fmt.Sprintf("factor=%v/%T", o.RemoteFactor, o.Locality), func(b *testing.B) {
			r := newRackFleet(b, rackLoad{factor: 3}, nil, 1)
			r.options = o
			r.startDispatcher(3)
			for i := range 70 {
				w := r.worker(manager.WorkerID(fmt.Sprintf("w%02d", i)), pool, 32_000)
				w.report.Rack = rackLabel(i / 8)
				w.report.Labels = []manager.Label{w.report.Rack}
				w.taskTime = 24 * 60 * manager.Minute
			}
			r.duration = nil
			r.run(600)
			for i := range 500 {
				// Nine of ten jobs have their data on the first rack, so that other racks have capacity.
				s := task(3100, 8)
				s.DataRack = rackLabel(0)
				if i%10 == 0 {
					s.DataRack = rackLabel(1 + i/10%8)
				}
				r.submit(manager.GraphID(fmt.Sprintf("job%d", i)), s)
			}
			r.run(2 * manager.Second)
			waiting := 0
			for _, j := range r.state.Active() {
				waiting += j.Remaining(0) - j.OpenRuns()
			}
			b.ResetTimer()
			for i := range b.N {
				w := r.workers[i%len(r.workers)]
				r.now = r.now.Add(1)
				w.send()
				r.runCycle()
			}
			b.ReportMetric(float64(waiting), "waiting-tasks")
		})
	}
}
