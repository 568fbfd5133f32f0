package connector

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/pooler"
)

const (
	// dialTimeout bounds the wait for a connection; what waits longer is refused as not-run.
	dialTimeout = 1 * time.Second
	// checkTimeout bounds a check; a slower connection is closed.
	checkTimeout = 500 * time.Millisecond
	// tickPeriod is the pause between two looks at idle connections.
	tickPeriod = 500 * time.Millisecond
)

// Connector is the Exchanger over connections of its own.
type Connector struct {
	Clock manager.Clock
	// Pool decides which connections are used and kept; nil takes one with the defaults.
	Pool *pooler.Pool
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, a manager.Address) (net.Conn, error)

	mu     sync.Mutex
	links  map[pooler.ConnectionID]*link
	shares map[manager.Address]manager.Connections
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

var _ Exchanger = (*Connector)(nil)

// Start begins to look after idle connections.
func (c *Connector) Start() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.links = map[pooler.ConnectionID]*link{}
	c.shares = map[manager.Address]manager.Connections{}
	if c.Pool == nil {
		c.Pool = &pooler.Pool{}
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	c.work.Go(c.tick)
}

// Stop closes every connection; exchanges have to be over.
func (c *Connector) Stop() {
	c.cancel()
	c.mu.Lock()
	for _, l := range c.links {
		l.close()
	}
	c.mu.Unlock()
	c.work.Wait()
}

func dialTCP(ctx context.Context, a manager.Address) (net.Conn, error) {
	// Probes of the kernel find peers that are gone without a reset.
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
	}}
	return d.DialContext(ctx, "tcp", string(a))
}

func (c *Connector) tick() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			c.mu.Lock()
			c.act(c.Pool.ExpireIdle(c.Clock.Now()))
			c.mu.Unlock()
		}
	}
}

// act does what the pool asks; mu is held.
func (c *Connector) act(actions []pooler.Action) {
	for _, a := range actions {
		l := c.links[a.Connection]
		switch a.Kind {
		case pooler.ActionClose:
			delete(c.links, a.Connection)
			if l != nil {
				l.close()
			}
		case pooler.ActionAbort:
			if l != nil {
				l.abandon()
			}
		case pooler.ActionCheck, pooler.ActionProbe:
			if c.ctx.Err() == nil {
				c.work.Go(func() { c.check(a, l) })
			}
		}
	}
}

// acquire returns an open connection for an exchange.
func (c *Connector) acquire(ctx context.Context, to Target, idempotent bool) (*link, bool, error) {
	c.mu.Lock()
	grant, actions := c.Pool.Acquire(c.Clock.Now(), pooler.AcquireOptions{Address: to.Address, Idempotent: idempotent})
	c.shares[to.Address] = to.Idle
	c.act(actions)
	l := c.links[grant.Connection]
	c.mu.Unlock()
	if !grant.Reused {
		l, err := c.open(ctx, grant.Connection, to.Address)
		return l, false, err
	}
	if l.quiet() {
		return l, true, nil
	}
	l, err := c.replace(ctx, l, to.Address)
	return l, false, err
}

// replace opens a connection in place of one on which nothing was sent.
func (c *Connector) replace(ctx context.Context, dead *link, a manager.Address) (*link, error) {
	dead.close()
	c.mu.Lock()
	delete(c.links, dead.id)
	grant := c.Pool.Replace(c.Clock.Now(), dead.id)
	c.mu.Unlock()
	return c.open(ctx, grant.Connection, a)
}

func (c *Connector) open(ctx context.Context, id pooler.ConnectionID, a manager.Address) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, a)
	if err != nil {
		c.mu.Lock()
		c.Pool.Discard(id)
		c.mu.Unlock()
		return nil, ErrExchange{RunState: manager.RunStateNotRun, Stage: "connect", Err: err}
	}
	l := newLink(id, conn)
	c.mu.Lock()
	c.links[id] = l
	c.mu.Unlock()
	return l, nil
}

// release keeps a connection after a whole answer.
func (c *Connector) release(l *link, limit manager.Duration, to Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.act(c.Pool.Release(c.Clock.Now(), l.id, limit, to.Idle))
}

// discard closes a connection that must not carry another exchange.
func (c *Connector) discard(l *link) {
	l.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l.id)
	c.Pool.Discard(l.id)
}

// Open returns how many connections to an address are open.
func (c *Connector) Open(a manager.Address) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Pool.OpenCount(a)
}

// check asks an idle or a new connection for the server's options, which runs no work there.
func (c *Connector) check(a pooler.Action, l *link) {
	ctx, cancel := context.WithTimeout(c.ctx, checkTimeout)
	defer cancel()
	if a.Kind == pooler.ActionProbe {
		opened, err := c.Dial(ctx, a.Address)
		if err == nil {
			l = newLink(a.Connection, opened)
		}
	}
	alive := l != nil && l.options(ctx, a.Address) == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if alive {
		c.links[a.Connection] = l
	} else if l != nil {
		l.close()
		delete(c.links, a.Connection)
	}
	c.act(c.Pool.ReportCheck(c.Clock.Now(), a.Connection, alive, c.shares[a.Address]))
}

// options exchanges a request that any server answers by itself.
func (l *link) options(ctx context.Context, a manager.Address) error {
	lift := l.until(ctx)
	defer lift()
	r, err := newRequest(a, Request{Method: http.MethodOptions, Path: "*"})
	if err != nil {
		return err
	}
	if err := l.send(r, nil); err != nil {
		return err
	}
	response, err := l.reader.next(r)
	if err != nil {
		return err
	}
	body, err := readHeld(response, nil)
	if err != nil {
		return err
	}
	if body.rest || response.Close || !l.reader.drained() || !lift() {
		return fmt.Errorf("check %s: %w", a, ErrFraming)
	}
	return nil
}
