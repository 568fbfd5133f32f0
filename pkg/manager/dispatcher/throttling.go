package dispatcher

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// tailThresholdPercent of its target is the tail latency below which a serving task leaves capacity for best-effort
	// tasks.
	tailThresholdPercent = 70
	// throttleStep is the step by which the share of a best-effort task changes.
	throttleStep = 10
	// minShare is the least share of a best-effort task. At 0 the task does no work but keeps its memory.
	minShare = 0
)

// throttleBestEffort lowers the shares of a worker's best-effort tasks while a serving task is near its latency target,
// and raises them slowly otherwise. It changes each share at most once for each report.
func (d *Dispatcher) throttleBestEffort(w *worker) []manager.ThrottleOrder {
	var tasks []manager.TaskID
	worst := manager.Percent(0)
	for id, r := range w.running {
		// Another writer's report may name a task that the job does not have.
		j, t := d.State.Task(id)
		if t == nil || j.State.Ended() {
			continue
		}
		s := j.Steps[id.Step]
		switch {
		case s.BestEffort:
			tasks = append(tasks, id)
		case s.TailTargetMs > 0:
			worst = max(worst, manager.Percent(min(r.Gauge, int64(s.TailTargetMs))*100/int64(s.TailTargetMs)))
		}
	}
	slices.SortFunc(tasks, compareTasks)
	var list []manager.ThrottleOrder
	for _, id := range tasks {
		share, known := w.shares[id]
		if !known {
			share = 100
		}
		var next manager.Percent
		switch {
		case worst >= 100:
			next = max(minShare, share/2-throttleStep)
		case worst > tailThresholdPercent:
			next = max(minShare, share-throttleStep)
		default:
			next = min(100, share+throttleStep)
		}
		if next == share && known {
			continue
		}
		w.shares[id] = next
		if next != share {
			list = append(list, manager.ThrottleOrder{Task: id, Run: w.running[id].Run, Share: next})
		}
	}
	return list
}
