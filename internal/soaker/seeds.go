package soaker

import "fmt"

// ExchangeSeeds makes other nodes the seeds of every node; those that run notice their changed settings. They get no signal, as
// it would end a process that has only just started.
func (f *Fleet) ExchangeSeeds(seeds []*Node) error {
	f.seedsMu.Lock()
	f.Seeds = seeds
	f.seedsMu.Unlock()
	for _, n := range f.Nodes {
		if err := f.reload(n); err != nil {
			return fmt.Errorf("exchange seeds of %s: %w", n.Name, err)
		}
	}
	return nil
}

func (f *Fleet) reload(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return nil
	}
	n.process.Settings = f.settings(n, false)
	if err := n.process.WriteSettings(); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
