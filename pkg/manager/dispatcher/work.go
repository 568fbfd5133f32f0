package dispatcher

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// work is capacity multiplied by time: each resource in its unit times milliseconds.
type work struct {
	processors   float64
	memory       float64
	accelerators float64
}

// add adds tasks of a step that run for the given time in total.
func (w *work) add(s manager.GraphStep, ms float64) {
	r := s.Reserved()
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

// over returns the time that the capacity needs for the work, which the scarcest resource decides.
func (w *work) over(r manager.Resources) float64 {
	return max(
		ratio(w.processors, float64(r.ProcessorMilliCores)),
		ratio(w.memory, float64(r.MemoryMegaBytes)),
		ratio(w.accelerators, float64(r.Accelerators)),
	)
}

// overCap returns the time that the work takes within a cap, of which a resource of 0 is not limited.
func (w *work) overCap(limit manager.Resources) float64 {
	longest := 0.0
	for _, r := range []struct {
		work  float64
		limit int64
	}{
		{w.processors, int64(limit.ProcessorMilliCores)},
		{w.memory, int64(limit.MemoryMegaBytes)},
		{w.accelerators, int64(limit.Accelerators)},
	} {
		if r.limit > 0 {
			longest = max(longest, r.work/float64(r.limit))
		}
	}
	return longest
}

// ratio divides an amount by a capacity. A capacity of zero counts as one unit, so that work without capacity takes
// very long.
func ratio(amount, capacity float64) float64 {
	if amount == 0 {
		return 0
	}
	return amount / max(1, capacity)
}

// leastFree returns the smaller of the shares of processor and memory that stay free after a placement.
func leastFree(free, need, capacity manager.Resources) float64 {
	left := free.Sub(need)
	share := float64(left.ProcessorMilliCores) / float64(max(1, capacity.ProcessorMilliCores))
	return min(share, float64(left.MemoryMegaBytes)/float64(max(1, capacity.MemoryMegaBytes)))
}
