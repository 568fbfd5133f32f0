package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// work is capacity over time, for each resource in its unit times milliseconds.
type work struct {
	processors   float64
	memory       float64
	accelerators float64
}

// add adds the work of tasks of a step that run this long together.
func (w *work) add(s manager.GraphStep, ms float64) {
	r := stepResources(s)
	w.processors += float64(r.ProcessorMilliCores) * ms
	w.memory += float64(r.MemoryMegaBytes) * ms
	w.accelerators += float64(r.Accelerators) * ms
}

func (w *work) plus(o work) {
	w.processors += o.processors
	w.memory += o.memory
	w.accelerators += o.accelerators
}

func (w *work) scale(x float64) {
	w.processors *= x
	w.memory *= x
	w.accelerators *= x
}

// over returns the time in which the capacity does the work; the scarcest resource decides.
func (w *work) over(r manager.Resources) float64 {
	return max(
		ratio(w.processors, float64(r.ProcessorMilliCores)),
		ratio(w.memory, float64(r.MemoryMegaBytes)),
		ratio(w.accelerators, float64(r.Accelerators)),
	)
}

// ratio treats a capacity of nothing as one unit, so that work without room takes very long.
func ratio(amount, capacity float64) float64 {
	if amount == 0 {
		return 0
	}
	return amount / max(1, capacity)
}

// leastFree returns the smallest share of the capacity that stays free once something is placed.
func leastFree(free, need, capacity manager.Resources) float64 {
	left := free.Sub(need)
	share := float64(left.ProcessorMilliCores) / float64(max(1, capacity.ProcessorMilliCores))
	return min(share, float64(left.MemoryMegaBytes)/float64(max(1, capacity.MemoryMegaBytes)))
}
