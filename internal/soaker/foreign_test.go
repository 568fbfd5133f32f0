package soaker

import "math"

// writeForeignBeat sends some node the heartbeat of another writer that names a worker and lacks a field, which no node may
// take.
func (s *soak) writeForeignBeat() {
	w := s.fleet.Workers[s.foreign.IntN(len(s.fleet.Workers))]
	n, id := s.fleet.Nodes[s.foreign.IntN(len(s.fleet.Nodes))], [2]string{w.ID, "other"}[s.foreign.IntN(2)]
	choice := s.foreign.IntN(math.MaxInt32)
	s.work.Go(func() {
		missing, taken, err := w.SendForeignBeat(s.watch.ctx, n.At(portControl), id, choice)
		if err == nil && taken {
			s.watch.fail("%s takes a heartbeat without %s", n.Name, missing)
		}
	})
}
