package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

const (
	// maxAnnouncementBytes bounds an announcement.
	maxAnnouncementBytes = 16 << 10
)

// LockedRegistrar lets several goroutines use a Registrar.
type LockedRegistrar struct {
	Inner manager.Registrar

	mu sync.Mutex
}

var _ manager.Registrar = (*LockedRegistrar)(nil)

// Announce takes what an upstream said directly.
func (r *LockedRegistrar) Announce(now manager.Time, a manager.Announcement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.Announce(now, a)
}

// Gossip returns the message that opens an exchange with a peer.
func (r *LockedRegistrar) Gossip(now manager.Time, peer manager.GatewayID) manager.GossipMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.Gossip(now, peer)
}

// Answer takes a peer's message and returns the answer.
func (r *LockedRegistrar) Answer(now manager.Time, m manager.GossipMessage) manager.GossipMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.Answer(now, m)
}

// Merge takes the answer to a message and returns a second message if the two still differ.
func (r *LockedRegistrar) Merge(now, sent manager.Time, peer manager.GatewayID, m manager.GossipMessage) (manager.GossipMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.Merge(now, sent, peer, m)
}

// Ready returns the upstreams of a service that may get new work, ordered by id.
func (r *LockedRegistrar) Ready(now manager.Time, s manager.ServiceID) []manager.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.Ready(now, s)
}

// All returns every known upstream, ordered by id.
func (r *LockedRegistrar) All(now manager.Time) []manager.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Inner.All(now)
}

func announceHandler(r manager.Registrar, clock manager.Clock) echo.HandlerFunc {
	return func(c echo.Context) error {
		var a manager.Announcement
		if err := listener.Decode(c, maxAnnouncementBytes, &a); err != nil {
			return err
		}
		if err := r.Announce(clock.Now(), a); err != nil {
			return fmt.Errorf("announce: %w", err)
		}
		return c.JSON(http.StatusOK, manager.AnnouncementAnswer{
			PeriodMs: registrar.DefaultPeriod, TimeToLiveMs: registrar.DefaultTimeToLive,
		})
	}
}
