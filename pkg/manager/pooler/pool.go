package pooler

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ConnectionID identifies a connection of a pool.
type ConnectionID uint64

// Defaults of a pool's limits.
const (
	// DefaultMaxAge limits the lifetime of a connection. A device on the network path may have dropped the state of an
	// older one.
	DefaultMaxAge = 60 * manager.Second
	// DefaultMaxIdleTime limits the idle time of a connection. It is below the keep-alive timeout of common servers, as a
	// request sent while the server closes the connection has an unknown outcome.
	DefaultMaxIdleTime = 4 * manager.Second
	// DefaultMaxIdleNonIdempotent limits the idle time of a connection that a non-idempotent request may use.
	DefaultMaxIdleNonIdempotent = 1 * manager.Second
	// ageJitterParts sets the jitter that keeps connections that were opened together from expiring together: it
	// shortens MaxAge by up to a 16th, in 16 steps.
	ageJitterParts = 16
)

// Pool manages the connections of one process to all upstreams. It is not safe for concurrent use.
type Pool struct {
	// MaxAge, MaxIdleTime and MaxIdleNonIdempotent are in milliseconds; 0 means the default.
	MaxAge               manager.Duration
	MaxIdleTime          manager.Duration
	MaxIdleNonIdempotent manager.Duration

	last        ConnectionID
	connections map[ConnectionID]*connection
	endpoints   map[manager.Address]*endpoint
}

// state is the state of a connection.
type state int

const (
	stateActive state = iota + 1
	stateIdle
	stateChecking
	stateProbing
)

type connection struct {
	id         ConnectionID
	address    manager.Address
	state      state
	idempotent bool
	reused     bool
	stalled    bool
	openedAt   manager.Time
	// usedAt is when the connection was acquired for the current exchange.
	usedAt      manager.Time
	idleSince   manager.Time
	idleTimeout manager.Duration
}

// endpoint is the state shared by the connections to one address.
type endpoint struct {
	// idle lists the idle connections, the most recently used one last.
	idle []*connection
	// open counts the connections in any state.
	open int
	// reuseVerifiedAt is when a reused connection last carried a complete response.
	reuseVerifiedAt manager.Time
	// pendingChecks counts the checks without a result yet, and failedChecks those that failed since abortStalled
	// last decided.
	pendingChecks int
	failedChecks  int
	// probe is the connection opened to check whether new connections work, or 0.
	probe ConnectionID
}

// AcquireOptions describes the exchange for which a connection is acquired.
type AcquireOptions struct {
	Address    manager.Address
	Idempotent bool
}

// Grant is the connection for an exchange. The caller opens it first unless it is Reused.
type Grant struct {
	Connection ConnectionID
	Reused     bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionClose closes a connection.
	ActionClose ActionKind = iota + 1
	// ActionCheck sends a check over an idle connection; the result goes to ReportCheck.
	ActionCheck
	// ActionProbe opens a connection and sends a check over it; the result goes to ReportCheck.
	ActionProbe
	// ActionAbort aborts an exchange whose connection is lost.
	ActionAbort
)

// Action is an operation on a connection that the caller has to carry out.
type Action struct {
	Kind       ActionKind
	Connection ConnectionID
	Address    manager.Address
}

func (p *Pool) init() {
	if p.connections != nil {
		return
	}
	p.connections = map[ConnectionID]*connection{}
	p.endpoints = map[manager.Address]*endpoint{}
	setDefault(&p.MaxAge, DefaultMaxAge)
	setDefault(&p.MaxIdleTime, DefaultMaxIdleTime)
	setDefault(&p.MaxIdleNonIdempotent, DefaultMaxIdleNonIdempotent)
}

func setDefault(field *manager.Duration, value manager.Duration) {
	if *field == 0 {
		*field = value
	}
}

// MaxIdlePerGateway returns how many idle connections to an upstream each gateway may keep. The upstream's connection
// limit, less two connections per slot, is divided by the gateways: at most one connection per slot is in use, and at
// most as many again are being closed.
func MaxIdlePerGateway(limit manager.Connections, slots manager.Slots, gateways int) manager.Connections {
	const perSlot = 2
	available := int(limit) - perSlot*int(slots)
	return manager.Connections(max(available, 0) / max(gateways, 1))
}

// Acquire grants a connection: an idle one if it may be reused, or else a new one, which the caller opens.
func (p *Pool) Acquire(now manager.Time, o AcquireOptions) (Grant, []Action) {
	p.init()
	e := p.endpoint(o.Address)
	var actions []Action
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if p.expired(now, c) {
			e.idle = e.idle[:len(e.idle)-1]
			actions = append(actions, p.remove(c))
			continue
		}
		if !o.Idempotent && now.Sub(c.idleSince) > p.MaxIdleNonIdempotent {
			break
		}
		e.idle = e.idle[:len(e.idle)-1]
		c.state, c.reused, c.idempotent, c.usedAt = stateActive, true, o.Idempotent, now
		return Grant{Connection: c.id, Reused: true}, actions
	}
	c := p.open(now, o.Address, stateActive)
	c.idempotent = o.Idempotent
	return Grant{Connection: c.id}, actions
}

// Replace grants a new connection in place of a reused one that was found unusable.
func (p *Pool) Replace(now manager.Time, id ConnectionID) Grant {
	c := p.connections[id]
	fresh := p.open(now, c.address, stateActive)
	fresh.idempotent = c.idempotent
	p.remove(c)
	return Grant{Connection: fresh.id}
}

// Release returns a connection to the pool after an exchange with a complete response. keepAlive is how long the
// upstream keeps the connection open while it is idle, or 0 if unknown, and maxIdle is the number of idle connections to
// the upstream that may be kept.
func (p *Pool) Release(now manager.Time, id ConnectionID, keepAlive manager.Duration, maxIdle manager.Connections) []Action {
	c, ok := p.connections[id]
	if !ok {
		return nil
	}
	e := p.endpoints[c.address]
	if c.reused {
		e.reuseVerifiedAt = now
	}
	c.state, c.stalled = stateIdle, false
	c.idleSince, c.idleTimeout = now, p.MaxIdleTime
	if keepAlive > 0 {
		c.idleTimeout = min(keepAlive, p.MaxIdleTime)
	}
	e.idle = append(e.idle, c)
	var actions []Action
	if p.expired(now, c) {
		e.idle = e.idle[:len(e.idle)-1]
		return append(actions, p.remove(c))
	}
	for len(e.idle) > int(maxIdle) {
		oldest := e.idle[0]
		e.idle = slices.Delete(e.idle, 0, 1)
		actions = append(actions, p.remove(oldest))
	}
	return actions
}

// Discard removes a connection that must not carry another exchange.
func (p *Pool) Discard(id ConnectionID) {
	if c, ok := p.connections[id]; ok {
		p.removeIdle(c)
		p.remove(c)
	}
}

// ExpireIdle closes the idle connections that have reached their maximum age or idle time.
func (p *Pool) ExpireIdle(now manager.Time) []Action {
	p.init()
	var expired []*connection
	for _, e := range p.endpoints {
		for _, c := range e.idle {
			if p.expired(now, c) {
				expired = append(expired, c)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *connection) int { return int(a.id) - int(b.id) })
	actions := make([]Action, 0, len(expired))
	for _, c := range expired {
		p.removeIdle(c)
		actions = append(actions, p.remove(c))
	}
	return actions
}

// OpenCount returns the number of connections to an address that are open or being opened.
func (p *Pool) OpenCount(a manager.Address) int {
	if e, ok := p.endpoints[a]; ok {
		return e.open
	}
	return 0
}

func (p *Pool) expired(now manager.Time, c *connection) bool {
	jitter := p.MaxAge / ageJitterParts * manager.Duration(c.id%ageJitterParts) / ageJitterParts
	return now.Sub(c.openedAt) >= p.MaxAge-jitter || now.Sub(c.idleSince) >= c.idleTimeout
}

func (p *Pool) endpoint(a manager.Address) *endpoint {
	if p.endpoints[a] == nil {
		p.endpoints[a] = &endpoint{}
	}
	return p.endpoints[a]
}

func (p *Pool) open(now manager.Time, a manager.Address, s state) *connection {
	p.last++
	c := &connection{id: p.last, address: a, state: s, openedAt: now, usedAt: now, idleSince: now, idleTimeout: p.MaxIdleTime}
	p.connections[c.id] = c
	p.endpoint(a).open++
	return c
}

func (p *Pool) remove(c *connection) Action {
	delete(p.connections, c.id)
	e := p.endpoints[c.address]
	e.open--
	if e.open == 0 {
		delete(p.endpoints, c.address)
	}
	return Action{Kind: ActionClose, Connection: c.id, Address: c.address}
}

func (p *Pool) removeIdle(c *connection) {
	e := p.endpoints[c.address]
	e.idle = slices.DeleteFunc(e.idle, func(other *connection) bool { return other == c })
}
