package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// newTurn is a fleet in which one pool of four has its turn: its jobs ask for three times what it holds.
func newTurn(workers int) *crowd {
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
	c.step(jobs)
	return c
}

// BenchmarkTurn is a step with the reports of a twentieth of the workers while one pool has its turn and
// nothing ends.
func BenchmarkTurn(b *testing.B) {
	for _, workers := range []int{60, 540, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newTurn(workers)
			share := workers / 20
			for i := 0; b.Loop(); i++ {
				c.report(i%20*share, i%20*share+share)
			}
		})
	}
}
