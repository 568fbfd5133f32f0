package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	pathPeer = "/peer/exchange"
	// maxPeerBytes bounds a peer's message; it must exceed the entries of all members.
	maxPeerBytes = 4 << 20
	// peerTimeout bounds one exchange with a peer, in milliseconds.
	peerTimeout = 1 * manager.Second
)

// peerLoop exchanges membership and slots with the other gateways.
type peerLoop struct {
	registrar manager.Registrar
	slots     manager.SlotLeaser
	clock     manager.Clock
	client    *http.Client
	token     string
	// addresses are where the peers are reached.
	addresses map[manager.GatewayID]manager.Address
	// changed is called when slots may have come free.
	changed func()

	// sending counts the messages under way; each ends by peerTimeout.
	sending sync.WaitGroup
}

// send sends the messages that are due.
func (p *peerLoop) send(ctx context.Context) {
	for _, e := range p.slots.Outgoing(p.clock.Now()) {
		p.sending.Go(func() { p.exchange(ctx, e) })
	}
}

// stop gives the leases up, so that the other gateways need not wait for them to run out.
func (p *peerLoop) stop() {
	for _, e := range p.slots.Stop(p.clock.Now()) {
		p.sending.Go(func() { p.exchange(context.Background(), e) })
	}
	p.sending.Wait()
	p.client.CloseIdleConnections()
}

func (p *peerLoop) exchange(ctx context.Context, e manager.SlotExchange) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Std())
	defer cancel()
	sent := p.clock.Now()
	m := manager.PeerMessage{Slots: &e.Request}
	if e.Gossip {
		gossip := p.registrar.Gossip(sent, e.Peer)
		m.Membership = &gossip
	}
	a, err := p.post(ctx, e.Peer, m)
	if err != nil {
		p.slots.Failed(p.clock.Now(), e)
		klog.V(2).InfoS("Exchange with peer failed", "Peer", e.Peer, "Error", err.Error())
		return
	}
	if a.Slots != nil {
		if a.Slots.OtherSet {
			klog.InfoS("Peer was set up with other gateways", "Peer", e.Peer)
		}
		p.slots.Answered(p.clock.Now(), sent, e, *a.Slots)
	}
	if a.Membership != nil {
		p.merge(ctx, sent, e.Peer, *a.Membership)
	}
	if e.Request.Borrow != nil {
		p.changed()
	}
}

// merge takes a peer's membership, and sends a second message if the two still differ.
func (p *peerLoop) merge(ctx context.Context, sent manager.Time, peer manager.GatewayID, m manager.GossipMessage) {
	next, differs := p.registrar.Merge(p.clock.Now(), sent, peer, m)
	if !differs {
		return
	}
	sent = p.clock.Now()
	a, err := p.post(ctx, peer, manager.PeerMessage{Membership: &next})
	if err != nil {
		klog.V(2).InfoS("Membership not repaired", "Peer", peer, "Error", err.Error())
		return
	}
	if a.Membership != nil {
		p.registrar.Merge(p.clock.Now(), sent, peer, *a.Membership)
	}
}

// post sends a message with no more headers than needed, as they make up most of a small one.
func (p *peerLoop) post(ctx context.Context, peer manager.GatewayID, m manager.PeerMessage) (manager.PeerAnswer, error) {
	var a manager.PeerAnswer
	body, err := json.Marshal(m)
	if err != nil {
		return a, fmt.Errorf("encode message to peer: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(p.addresses[peer])+pathPeer, bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("create request to peer: %w", err)
	}
	r.Header.Set(echo.HeaderAuthorization, "Bearer "+p.token)
	r.Header.Set("User-Agent", "")
	response, err := p.client.Do(r)
	if err != nil {
		return a, fmt.Errorf("send to peer: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a, fmt.Errorf("peer refused the message: %w", translator.ReadError(response))
	}
	if err := configurer.Decode(http.MaxBytesReader(nil, response.Body, maxPeerBytes), &a); err != nil {
		return a, fmt.Errorf("decode peer's answer: %w", err)
	}
	return a, nil
}

// handle answers a peer's message.
func (p *peerLoop) handle(c echo.Context) error {
	var m manager.PeerMessage
	if err := listener.Decode(c, maxPeerBytes, &m); err != nil {
		return err
	}
	now := p.clock.Now()
	var a manager.PeerAnswer
	if m.Slots != nil {
		answer := p.slots.Handle(now, *m.Slots)
		a.Slots = &answer
	}
	if m.Membership != nil {
		answer := p.registrar.Answer(now, *m.Membership)
		a.Membership = &answer
	}
	if err := c.JSON(http.StatusOK, a); err != nil {
		return fmt.Errorf("answer peer: %w", err)
	}
	return nil
}
