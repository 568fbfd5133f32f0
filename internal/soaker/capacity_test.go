package soaker

import "time"

// shrinkTime is the longest time for which a worker's capacity is smaller. It is longer than the time in which a start may
// still use the larger one.
const shrinkTime = 8 * time.Second

// shrinkWorker makes the capacity of some worker smaller for a while, every other call.
func (s *soak) shrinkWorker() {
	w := s.fleet.Workers[s.shrinks.IntN(len(s.fleet.Workers))]
	cpu, d := 500*s.shrinks.IntN(8), time.Duration(s.shrinks.Int64N(int64(shrinkTime)))
	if s.shrinks.IntN(2) > 0 {
		return
	}
	s.shrunk++
	w.SetCapacity(cpu)
	s.later(d, func() { w.SetCapacity(w.CPU) })
}
