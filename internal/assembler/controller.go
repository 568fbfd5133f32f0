package assembler

import (
	"fmt"
	"path/filepath"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/controller"
	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/platformer"
	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/maintainer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/placer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/rebalancer"
)

// buildController returns the controller and the conductor that runs the fleet beside it.
func (p *Process) buildController() (*controller.Service, *controller.Conductor, error) {
	cfg := p.Settings.Controller
	dial, err := listener.PeerDial(cfg.TLS)
	if err != nil {
		return nil, nil, fmt.Errorf("reach replicas: %w", err)
	}
	store := &storer.Replicated{
		Clock: p.Clock, Replica: cfg.Replica, Initial: initialMembers(cfg.Replicas),
		Folder: filepath.Join(cfg.DataFolder, "replica"), Token: p.Settings.Tokens.Peer, HTTP: newPeerClient(dial), Seed: p.Seed,
	}
	if err := store.Open(); err != nil {
		return nil, nil, fmt.Errorf("open store: %w", err)
	}
	c := &controller.Service{
		Settings:   p.Settings,
		Clock:      p.Clock,
		Store:      store,
		Maintainer: maintainer.Pipelined{},
		Demand:     &controller.DemandTable{},
	}
	leader := &controller.Conductor{Clock: p.Clock, Fleet: cfg.Fleet}
	p.addPlatform(c, leader)
	return c, leader, nil
}

func initialMembers(replicas []configurer.Replica) []manager.ReplicaMember {
	list := make([]manager.ReplicaMember, 0, len(replicas))
	for _, r := range replicas {
		list = append(list, manager.ReplicaMember{Replica: r.Replica, Address: r.Address, AvailabilityZone: r.AvailabilityZone})
	}
	return list
}

// addPlatform adds the loops that act on VMs and workers.
func (p *Process) addPlatform(c *controller.Service, leader *controller.Conductor) {
	platform, worker := p.Platform, p.Worker
	if platform == nil {
		platform, worker = p.settingsPlatform()
	}
	if platform != nil {
		c.Maintenance = &controller.MaintenanceLoop{
			Platform: platform, Maintainer: c.Maintainer, Rebalancer: &rebalancer.Shared{}, Demand: c.Demand,
		}
		leader.Loops = append(leader.Loops, c.Maintenance)
	}
	if worker != nil {
		placement := &controller.PlacementLoop{Worker: worker, Placer: &placer.Adaptive{}}
		leader.Loops = append(leader.Loops, placement)
		c.Explainer = placement
	}
}

// settingsPlatform returns the platform and workers that the settings name, or none.
func (p *Process) settingsPlatform() (manager.Platform, manager.Worker) {
	switch cfg := p.Settings.Controller.Platform; cfg.Kind {
	case configurer.PlatformFake:
		return p.fakePlatform()
	case configurer.PlatformHTTP:
		c := &platformer.Client{Address: cfg.Address, Token: cfg.Token, HTTP: newClient()}
		return c, c
	default:
		return nil, nil
	}
}

func (p *Process) fakePlatform() (manager.Platform, manager.Worker) {
	const rebootTime = 2 * manager.Second
	platform := &faker.Platform{Clock: p.Clock, RebootTime: rebootTime}
	for _, v := range p.Settings.Controller.Fleet.VMs {
		platform.Add(v)
	}
	worker := &faker.Worker{Clock: p.Clock, RunTime: func(j manager.Job) manager.Duration { return j.DeclaredMs }}
	return platform, worker
}
