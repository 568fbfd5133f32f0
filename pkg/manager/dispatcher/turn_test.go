package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newPeakFleet returns a fleet in which the jobs of one of four pools need three times its capacity.
func newPeakFleet(workers int) *benchFleet {
	c, _ := newPools(4)
	for range 3 {
		c.report(0, workers)
	}
	var jobs []dispatcher.Event
	for i := range workers / 2 {
		second := task(2300, 8)
		second.DependsOn = []int{0}
		jobs = append(jobs, dispatcher.Event{Submit: &manager.Graph{
			Graph: manager.GraphID(fmt.Sprintf("j%04d", i)), Queue: "qp000", Steps: []manager.GraphStep{task(2300, 8), second},
		}})
	}
	c.runCycles(jobs)
	return c
}

// BenchmarkTurn measures a cycle with the reports of a twentieth of the workers while one pool is at its peak and no
// run ends.
func BenchmarkTurn(b *testing.B) {
	for _, workers := range []int{60, 540, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newPeakFleet(workers)
			share := workers / 20
			for i := 0; b.Loop(); i++ {
				c.report(i%20*share, i%20*share+share)
			}
		})
	}
}
