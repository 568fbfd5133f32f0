package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Outdated returns a worker whose cached usage differs from the computed one, or "".
func (d *Dispatcher) Outdated() manager.WorkerID {
	for _, w := range d.sortedWorkers() {
		if *d.usageOf(w) != d.computeUsage(w) {
			return w.instance.Worker
		}
	}
	return ""
}
