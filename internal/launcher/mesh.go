package launcher

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/internal/relayer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// link is the way from one node to another.
type link struct{ from, to string }

// Mesh holds a relay for each way between two nodes.
type Mesh struct {
	targets map[string]manager.Address
	relays  map[link]*relayer.Relay
}

// Add names the address at which a node listens.
func (m *Mesh) Add(node string, a manager.Address) {
	if m.targets == nil {
		m.targets = map[string]manager.Address{}
		m.relays = map[link]*relayer.Relay{}
	}
	m.targets[node] = a
}

// Way returns the address by which one node reaches another.
func (m *Mesh) Way(from, to string) (manager.Address, error) {
	if from == to {
		return m.targets[to], nil
	}
	l := link{from: from, to: to}
	if r, ok := m.relays[l]; ok {
		return r.Addr(), nil
	}
	r := &relayer.Relay{Target: m.targets[to]}
	if err := r.Run(); err != nil {
		return "", fmt.Errorf("relay %s to %s: %w", from, to, err)
	}
	m.relays[l] = r
	return r.Addr(), nil
}

// CutOff stops all traffic from and to a node.
func (m *Mesh) CutOff(node string) { m.each(node, (*relayer.Relay).Cut) }

// Rejoin ends a cut.
func (m *Mesh) Rejoin(node string) { m.each(node, (*relayer.Relay).Heal) }

// Silence makes the open connections from and to a node silent; new ones work.
func (m *Mesh) Silence(node string) { m.each(node, (*relayer.Relay).Silence) }

func (m *Mesh) each(node string, f func(*relayer.Relay)) {
	for l, r := range m.relays {
		if l.from == node || l.to == node {
			f(r)
		}
	}
}

// Close ends all relays.
func (m *Mesh) Close() {
	for _, r := range m.relays {
		r.Close()
	}
}
