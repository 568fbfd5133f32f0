package soaker

import (
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/relayer"
)

// way is the way of data from one node to another, by the IP addresses that they call from.
type way struct{ from, to string }

// Network decides what befalls the data between nodes.
type Network struct {
	mu    sync.Mutex
	cuts  map[way]int
	delay map[string]time.Duration
}

// Judge returns the verdict on data of connections that others open to a node.
func (n *Network) Judge(node string) func(string, bool) relayer.Verdict {
	return func(from string, toTarget bool) relayer.Verdict {
		n.mu.Lock()
		defer n.mu.Unlock()
		w := way{from, node}
		if !toTarget {
			w = way{node, from}
		}
		return relayer.Verdict{Hold: n.cuts[w] > 0, Delay: n.delay[node]}
	}
}

// Cut holds the data on a way until as many calls of Heal have come.
func (n *Network) Cut(from, to string) { n.add(from, to, 1) }

// Heal ends one Cut.
func (n *Network) Heal(from, to string) { n.add(from, to, -1) }

func (n *Network) add(from, to string, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[way]int{}
	}
	n.cuts[way{from, to}] += by
}

// Delay slows the data of connections that others open to a node; 0 ends that.
func (n *Network) Delay(node string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delay == nil {
		n.delay = map[string]time.Duration{}
	}
	n.delay[node] = d
}
