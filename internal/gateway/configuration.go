package gateway

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// configurationWait is how long a controller holds the request for a newer configuration; it
	// must be well under the lease, or the lease ends between two requests.
	configurationWait = 1 * manager.Second
	// maxLease bounds a lease, whatever a controller grants; an accepted change must be in force
	// everywhere within 5 s.
	maxLease = 4 * manager.Second
	// configurationPause is the pause after a failed request.
	configurationPause = 100 * time.Millisecond
)

// configurationKeeper keeps the latest configuration and the lease under which it may be used.
type configurationKeeper struct {
	gateway manager.GatewayID
	clock   manager.Clock
	client  *proposer.Client

	mu      sync.Mutex
	current proposer.Configuration
	until   manager.Time
}

func (k *configurationKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.renew(ctx); err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("Configuration not renewed", "Error", err.Error())
			time.Sleep(configurationPause)
		}
	}
}

// renew asks for a newer configuration. The lease counts from before the request, plus the time that
// the controller held it before it confirmed that it leads.
func (k *configurationKeeper) renew(ctx context.Context) error {
	asked := k.clock.Now()
	cfg, err := k.client.Configuration(ctx, proposer.ConfigurationRequest{
		Gateway: k.gateway, After: k.revision(), WaitMs: configurationWait,
	})
	if err != nil {
		return err
	}
	k.take(asked, cfg)
	return nil
}

// take brings a configuration into force unless a newer one is; an answer that took longer to
// arrive than its lease lasts changes nothing.
func (k *configurationKeeper) take(asked manager.Time, cfg proposer.Configuration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cfg.Revision < k.current.Revision || cfg.Unchanged && cfg.Revision != k.current.Revision {
		return
	}
	if !cfg.Unchanged {
		k.current = cfg
		meter.ConfigurationRevision().Set(uint64(cfg.Revision))
	}
	confirmed := min(asked.Add(max(cfg.HeldMs, 0)), k.clock.Now())
	k.until = max(k.until, confirmed.Add(min(cfg.LeaseMs, maxLease)))
}

func (k *configurationKeeper) revision() manager.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Revision
}

// inForce tells whether the configuration may be used now.
func (k *configurationKeeper) inForce() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now() < k.until
}
