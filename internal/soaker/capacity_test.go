package soaker

import "time"

const (
	// shrinkTime is the longest time for which a worker's capacity is smaller. It is longer than the time in which a
	// start may still use the larger one.
	shrinkTime = 8 * time.Second
	// shrinkPause is the longest time that a deaf worker is deaf before, and not deaf after.
	shrinkPause = time.Second
)

// shrinkWorker makes the capacity of some worker smaller for a while, every other call. Every other time its answers are
// lost meanwhile, so that start orders are repeated.
func (s *soak) shrinkWorker() {
	w := s.fleet.Workers[s.shrinks.IntN(len(s.fleet.Workers))]
	cpu, deaf := 500*s.shrinks.IntN(8), s.shrinks.IntN(2) == 0
	draw := func(longest time.Duration) time.Duration { return time.Duration(s.shrinks.Int64N(int64(longest))) }
	before, small, after := draw(shrinkPause), draw(shrinkTime), draw(shrinkPause)
	if s.shrinks.IntN(2) > 0 {
		return
	}
	s.shrunk++
	w.Deafen(deaf)
	s.work.Go(func() {
		time.Sleep(before)
		w.SetCapacity(cpu)
		time.Sleep(small)
		w.Deafen(false)
		time.Sleep(after)
		w.SetCapacity(w.CPU)
	})
}
