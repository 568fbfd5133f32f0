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

// renew asks for a newer configuration; the lease counts from before the request, so that the
// controller's answer can't be older than the lease says.
func (k *configurationKeeper) renew(ctx context.Context) error {
	asked := k.clock.Now()
	cfg, err := k.client.Configuration(ctx, proposer.ConfigurationRequest{
		Gateway: k.gateway, After: k.revision(), WaitMs: configurationWait,
	})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if cfg.Revision >= k.current.Revision {
		k.current = cfg
		k.until = max(k.until, asked.Add(cfg.LeaseMs))
		meter.ConfigurationRevision().Set(uint64(cfg.Revision))
	}
	return nil
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
