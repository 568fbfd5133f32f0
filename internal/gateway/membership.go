package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

const (
	pathGossip = "/peer/gossip"
	// maxAnnouncementBytes bounds an announcement.
	maxAnnouncementBytes = 16 << 10
	// maxGossipBytes bounds a peer's message.
	maxGossipBytes = 4 << 20
	// gossipTimeout bounds one exchange with a peer, in milliseconds.
	gossipTimeout = 1 * manager.Second
)

// lockedRegistrar lets several goroutines use a Registrar.
type lockedRegistrar struct {
	inner manager.Registrar
	mu    *sync.Mutex
}

func (r *lockedRegistrar) Announce(now manager.Time, a manager.Announcement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.Announce(now, a)
}

func (r *lockedRegistrar) Merge(now manager.Time, m manager.GossipMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inner.Merge(now, m)
}

func (r *lockedRegistrar) Gossip(now manager.Time) manager.GossipMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.Gossip(now)
}

func (r *lockedRegistrar) Ready(now manager.Time, s manager.ServiceID) []manager.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.Ready(now, s)
}

func (r *lockedRegistrar) All(now manager.Time) []manager.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.All(now)
}

func announceHandler(r manager.Registrar, clock manager.Clock) echo.HandlerFunc {
	return func(c echo.Context) error {
		var a manager.Announcement
		if err := decode(c, maxAnnouncementBytes, &a); err != nil {
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

// gossipHandler takes a peer's message and answers with this gateway's own.
func gossipHandler(r manager.Registrar, clock manager.Clock) echo.HandlerFunc {
	return func(c echo.Context) error {
		var m manager.GossipMessage
		if err := decode(c, maxGossipBytes, &m); err != nil {
			return err
		}
		r.Merge(clock.Now(), m)
		return c.JSON(http.StatusOK, r.Gossip(clock.Now()))
	}
}

func decode(c echo.Context, limit int64, v any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	if err := configurer.Decode(body, v); err != nil {
		return errors.Join(manager.ErrInvalid{Field: "body", Reason: err.Error()}, err)
	}
	return nil
}

// gossiper exchanges membership with the other gateways.
type gossiper struct {
	registrar manager.Registrar
	clock     manager.Clock
	client    *http.Client
	token     string
}

func (g *gossiper) exchange(ctx context.Context, peer manager.Address) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout.Std())
	defer cancel()
	if err := g.send(ctx, peer); err != nil {
		klog.V(2).InfoS("Gossip failed", "Peer", peer, "Error", err.Error())
	}
}

func (g *gossiper) send(ctx context.Context, peer manager.Address) error {
	body, err := json.Marshal(g.registrar.Gossip(g.clock.Now()))
	if err != nil {
		return fmt.Errorf("encode gossip: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(peer)+pathGossip, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create gossip request: %w", err)
	}
	r.Header.Set(echo.HeaderAuthorization, "Bearer "+g.token)
	response, err := g.client.Do(r)
	if err != nil {
		return fmt.Errorf("send gossip: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("peer refused gossip: %w", translator.ReadError(response))
	}
	var m manager.GossipMessage
	if err := configurer.Decode(http.MaxBytesReader(nil, response.Body, maxGossipBytes), &m); err != nil {
		return fmt.Errorf("decode gossip: %w", err)
	}
	g.registrar.Merge(g.clock.Now(), m)
	return nil
}
