package faker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Platform is a fake of the platform's pools of VMs.
type Platform struct {
	Clock manager.Clock
	// RebootTime is how long a reboot takes, in milliseconds.
	RebootTime manager.Duration
	// Tenant is told what happens to a VM; nil leaves every VM empty.
	Tenant Tenant

	mu  sync.Mutex
	vms map[manager.VMID]*machine
}

// Tenant is what runs on the VMs.
type Tenant interface {
	// Leave lets the work on a VM end and no more begin.
	Leave(v manager.VMID)
	// Left tells whether all work on a VM has ended.
	Left(v manager.VMID) bool
	// Return puts a VM back to work in a pool.
	Return(v manager.VMID, p manager.PoolID)
}

type machine struct {
	state    manager.VMState
	pool     manager.PoolID
	epoch    manager.Epoch
	draining bool
	upAt     manager.Time
	reboots  int
	// returning says that the VM goes back to work once what ran on it has ended.
	returning bool
}

var _ manager.Platform = (*Platform)(nil)

// Add adds a running VM.
func (p *Platform) Add(v manager.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.vms = map[manager.VMID]*machine{}
	}
	p.vms[v.VM] = &machine{state: manager.VMRunning, pool: v.Pool}
}

// order finds a VM and refuses an epoch older than the latest it has seen.
func (p *Platform) order(v manager.VMID, e manager.Epoch) (*machine, error) {
	m, ok := p.vms[v]
	if !ok {
		return nil, manager.ErrNotExist{Kind: "VM", Name: string(v)}
	}
	if e < m.epoch {
		return nil, manager.ErrConflict{Kind: "VM", Name: string(v), Reason: fmt.Sprintf("epoch %d is older than %d", e, m.epoch)}
	}
	m.epoch = e
	return m, nil
}

// Drain lets the VM finish its work and take no more.
func (p *Platform) Drain(_ context.Context, v manager.VMID, e manager.Epoch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, err := p.order(v, e)
	if err != nil {
		return err
	}
	if m.draining || m.state != manager.VMRunning {
		return nil
	}
	m.draining = true
	m.returning = false
	if p.Tenant != nil {
		p.Tenant.Leave(v)
	}
	return nil
}

// Reboot restarts a drained VM; a repeated order with the same epoch restarts it once.
func (p *Platform) Reboot(_ context.Context, v manager.VMID, e manager.Epoch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, err := p.order(v, e)
	if err != nil {
		return err
	}
	if m.state != manager.VMDrained {
		return nil
	}
	m.state = manager.VMRebooting
	m.draining = false
	m.reboots++
	m.upAt = p.Clock.Now().Add(p.RebootTime)
	return nil
}

// Restore puts a draining or drained VM back to work in a pool; one that still drains cuts off no work.
func (p *Platform) Restore(_ context.Context, v manager.VMID, e manager.Epoch, pool manager.PoolID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, err := p.order(v, e)
	if err != nil {
		return err
	}
	if m.state != manager.VMDrained && !m.draining {
		return nil
	}
	m.pool = pool
	m.returning = true
	p.advance(v, m)
	return nil
}

func (p *Platform) start(v manager.VMID, m *machine) {
	m.state = manager.VMRunning
	m.draining = false
	m.returning = false
	if p.Tenant != nil {
		p.Tenant.Return(v, m.pool)
	}
}

// Observe returns the state of every VM.
func (p *Platform) Observe(context.Context) ([]manager.VMObservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]manager.VMObservation, 0, len(p.vms))
	for id, m := range p.vms {
		p.advance(id, m)
		list = append(list, manager.VMObservation{VM: id, State: m.shown(), Epoch: m.epoch})
	}
	slices.SortFunc(list, func(a, b manager.VMObservation) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return list, nil
}

func (p *Platform) advance(v manager.VMID, m *machine) {
	if m.draining && m.state == manager.VMRunning && (p.Tenant == nil || p.Tenant.Left(v)) {
		m.state = manager.VMDrained
	}
	if m.state == manager.VMDrained && m.returning {
		p.start(v, m)
	}
	if m.state == manager.VMRebooting && p.Clock.Now() >= m.upAt {
		p.start(v, m)
	}
}

// shown returns the state that the platform tells; a VM that drains still finishes work.
func (m *machine) shown() manager.VMState {
	if m.draining && m.state == manager.VMRunning {
		return manager.VMDraining
	}
	return m.state
}

// Fail makes a VM fail; Repair brings it back.
func (p *Platform) Fail(v manager.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.vms[v]
	m.state, m.draining, m.returning = manager.VMFailed, false, false
}

// Repair brings a failed VM back.
func (p *Platform) Repair(v manager.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(v, p.vms[v])
}

// Reboots returns how often a VM was restarted.
func (p *Platform) Reboots(v manager.VMID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms[v].reboots
}
