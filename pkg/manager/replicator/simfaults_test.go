package replicator_test

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// endFaults ends every fault and starts the nodes that are down.
func (s *sim) endFaults() {
	s.blocked, s.loss, s.duplicate = map[[2]manager.ReplicaID]bool{}, 0, 0
	for _, id := range s.order {
		n := s.nodes[id]
		n.diskHangs = false
		if !n.up && !n.gone {
			s.start(n)
		}
	}
}

// probeUnheard tells a replica now and then which disks are in use at the homes of voters that it doesn't hear.
func (s *sim) probeUnheard(n *simNode) {
	for _, m := range n.replica.UnheardVoters(s.clock(n)) {
		for _, id := range s.order {
			other := s.nodes[id]
			cut := s.blocked[[2]manager.ReplicaID{n.id, id}] || s.blocked[[2]manager.ReplicaID{id, n.id}]
			if other.up && other.home == s.nodes[m.Replica].home && !cut && s.rng.IntN(20) == 0 {
				n.replica.NoteDisk(s.clock(n), m.Replica, other.disk.id)
			}
		}
	}
}
