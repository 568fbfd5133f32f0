package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// tailThresholdPercent of its target is the tail latency below which a serving task leaves capacity for fillers.
	tailThresholdPercent = 70
	// paceStep is the step by which a filler's share changes.
	paceStep = 10
	// minShare is the least share of a filler. At 0 a filler does no work but keeps its memory.
	minShare = 0
)

// paceFillers lowers the shares of a worker's fillers while a serving task is near its latency target, and raises them
// slowly otherwise. It changes each share at most once for each report.
func (d *Dispatcher) paceFillers(w *worker) []manager.ThrottleOrder {
	var fillers []manager.TaskID
	worst := manager.Percent(0)
	for id, r := range w.running {
		j := d.State.Jobs[id.Graph]
		if j == nil || j.State.Ended() {
			continue
		}
		s := j.Steps[id.Step]
		switch {
		case s.BestEffort:
			fillers = append(fillers, id)
		case s.TailTargetMs > 0:
			worst = max(worst, manager.Percent(r.Gauge*100/int64(s.TailTargetMs)))
		}
	}
	slices.SortFunc(fillers, compareTasks)
	var list []manager.ThrottleOrder
	for _, id := range fillers {
		share, known := w.pace[id]
		if !known {
			share = 100
		}
		var next manager.Percent
		switch {
		case worst >= 100:
			next = max(minShare, share/2-paceStep)
		case worst > tailThresholdPercent:
			next = max(minShare, share-paceStep)
		default:
			next = min(100, share+paceStep)
		}
		if next == share && known {
			continue
		}
		w.pace[id] = next
		if next != share {
			list = append(list, manager.ThrottleOrder{Task: id, Run: w.running[id].Run, Share: next})
		}
	}
	return list
}
