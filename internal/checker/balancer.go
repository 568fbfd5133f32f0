package checker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// probePeriod is the balancer's pause between two probes; a gateway's ready delay must exceed it.
const probePeriod = 50 * time.Millisecond

// balancer stands in for the platform's: it brings work to gateways whose /readyz is fine.
type balancer struct {
	gateways []manager.Address
	client   *http.Client

	mu    sync.Mutex
	ready map[manager.Address]bool
	turn  int
}

func newBalancer(gateways []manager.Address) *balancer {
	b := &balancer{
		gateways: gateways,
		client:   &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		ready:    map[manager.Address]bool{},
	}
	for _, g := range gateways {
		b.ready[g] = true
	}
	return b
}

func (b *balancer) run(ctx context.Context) {
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		for _, g := range b.gateways {
			ready := b.probe(ctx, g)
			b.mu.Lock()
			b.ready[g] = ready
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *balancer) probe(ctx context.Context, g manager.Address) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(g)+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the ready gateways in turn, or all of them if none is ready.
func (b *balancer) pick() manager.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.gateways {
		b.turn++
		if g := b.gateways[b.turn%len(b.gateways)]; b.ready[g] {
			return g
		}
	}
	return b.gateways[b.turn%len(b.gateways)]
}
