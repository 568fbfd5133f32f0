package assembler

import (
	"fmt"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Process is what a process is built from.
type Process struct {
	Settings configurer.Settings
	Clock    manager.Clock
	// Seed makes the random choices repeatable.
	Seed uint64
	// Platform and Worker replace the ones that the settings name, for tests and the demo.
	Platform manager.Platform
	Worker   manager.Worker
}

// Build returns a supervisor with the services that the settings name.
func (p *Process) Build() (*supervisor.Supervisor, error) {
	s := &supervisor.Supervisor{ReadyDelay: p.Settings.Stop.ReadyDelayMs, Grace: p.Settings.Stop.GraceMs}
	if slices.Contains(p.Settings.Services, configurer.ServiceController) {
		c, leader, err := p.buildController()
		if err != nil {
			return nil, fmt.Errorf("build controller: %w", err)
		}
		s.Services = append(s.Services, c, leader)
	}
	if slices.Contains(p.Settings.Services, configurer.ServiceGateway) {
		g, err := p.buildGateway()
		if err != nil {
			return nil, fmt.Errorf("build gateway: %w", err)
		}
		s.Services = append(s.Services, g)
	}
	return s, nil
}
