package demonstrator

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

// tenant runs one stand-in upstream on each VM.
type tenant struct {
	gateways []manager.Address
	log      *responder.RunLog
	fleet    manager.LoadFleet

	mu        sync.Mutex
	upstreams map[manager.VMID]*seat
}

// seat is the upstream of one VM and when it began to leave.
type seat struct {
	upstream *responder.Upstream
	leftAt   time.Time
}

const (
	upstreamSlots       = 8
	upstreamConnections = 64
	upstreamWork        = 5 * time.Millisecond
	announcePeriod      = 250 * manager.Millisecond
)

func (t *tenant) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreams = map[manager.VMID]*seat{}
	for _, v := range t.fleet.VMs {
		u := t.newUpstream(v, manager.ServiceID(v.Pool), 0)
		if err := u.Run(); err != nil {
			return err
		}
		t.upstreams[v.VM] = &seat{upstream: u}
	}
	return nil
}

func (t *tenant) newUpstream(v manager.VM, s manager.ServiceID, last manager.Incarnation) *responder.Upstream {
	return &responder.Upstream{
		Announcement: manager.Announcement{
			Upstream: manager.UpstreamID("upstream-" + v.VM), Incarnation: last, Service: s, Pool: v.Pool, VM: v.VM,
			AvailabilityZone: v.AvailabilityZone, Rack: v.Rack, Slots: upstreamSlots, Connections: upstreamConnections,
		},
		Gateways: t.gateways, Work: upstreamWork, Period: announcePeriod, Log: t.log,
	}
}

// Leave lets the work on a VM end and no more begin.
func (t *tenant) Leave(v manager.VMID) {
	t.mu.Lock()
	s := t.upstreams[v]
	s.leftAt = time.Now()
	t.mu.Unlock()
	s.upstream.Leave()
}

// Left tells whether all work on a VM has ended and no gateway can believe an older announcement.
func (t *tenant) Left(v manager.VMID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[v]
	return time.Since(s.leftAt) >= registrar.DefaultTimeToLive.Std() && s.upstream.InFlight() == 0
}

// Return puts a VM back to work in a pool.
func (t *tenant) Return(id manager.VMID, p manager.PoolID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.upstreams[id].upstream
	old.Stop()
	for _, v := range t.fleet.VMs {
		if v.VM != id {
			continue
		}
		v.Pool = p
		u := t.newUpstream(v, manager.ServiceID(p), old.Announcement.Incarnation)
		if err := u.Run(); err != nil {
			klog.ErrorS(err, "Upstream did not return", "VM", id)
			return
		}
		t.upstreams[id] = &seat{upstream: u}
	}
}

// breaches counts the upstreams that got more requests at once than they have slots.
func (t *tenant) breaches() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.upstreams {
		if s.upstream.Maximum() > upstreamSlots {
			n++
		}
	}
	return n
}

func (t *tenant) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.upstreams {
		s.upstream.Stop()
	}
}
