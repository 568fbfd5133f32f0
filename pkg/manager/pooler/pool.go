package pooler

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ConnectionID numbers the connections of one pool.
type ConnectionID uint64

// Defaults of a pool's limits.
const (
	// DefaultMaxAge bounds a connection's life; an older one may have been forgotten between its ends.
	DefaultMaxAge = 60 * manager.Second
	// DefaultMaxIdle bounds a connection's idle time; it is below the keep-alive time of common
	// servers, as a request sent into the server's close has an unknown outcome.
	DefaultMaxIdle = 4 * manager.Second
	// DefaultFreshIdle bounds the idle time of a connection that a non-idempotent request may use.
	DefaultFreshIdle = 1 * manager.Second
	// ageSpread keeps connections that were opened together from ending together.
	ageSpread = 16
)

// Pool keeps the connections of one process to all upstreams; it is not safe for concurrent use.
type Pool struct {
	// MaxAge, MaxIdle and FreshIdle are in milliseconds; 0 takes the default.
	MaxAge    manager.Duration
	MaxIdle   manager.Duration
	FreshIdle manager.Duration

	last        ConnectionID
	connections map[ConnectionID]*connection
	paths       map[manager.Address]*path
}

// state is what a connection does.
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
	suspected  bool
	openedAt   manager.Time
	// usedAt is when the current exchange got the connection.
	usedAt    manager.Time
	idleSince manager.Time
	idleLimit manager.Duration
}

// path is what connections to one address share.
type path struct {
	// idle lists idle connections, the latest used last.
	idle []*connection
	// open counts connections in any state.
	open int
	// provenAt is when a reused connection last carried a whole answer.
	provenAt manager.Time
	// checks counts the checks of which nothing was heard yet, and silent those that failed.
	checks int
	silent int
	// probe is the connection that checks whether new connections work.
	probe ConnectionID
}

// AcquireOptions is what an exchange asks of the pool.
type AcquireOptions struct {
	Address    manager.Address
	Idempotent bool
}

// Grant is the connection for an exchange; one that is not Reused has to be opened first.
type Grant struct {
	Connection ConnectionID
	Reused     bool
}

// ActionKind tells what to do with a connection.
type ActionKind int

// Kinds of actions.
const (
	// ActionClose closes a connection.
	ActionClose ActionKind = iota + 1
	// ActionCheck sends a check over an idle connection and reports by Checked.
	ActionCheck
	// ActionProbe opens a connection, sends a check over it and reports by Checked.
	ActionProbe
	// ActionAbort ends an exchange whose connection is lost.
	ActionAbort
)

// Action is what the pool wants done.
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
	p.paths = map[manager.Address]*path{}
	setDefault(&p.MaxAge, DefaultMaxAge)
	setDefault(&p.MaxIdle, DefaultMaxIdle)
	setDefault(&p.FreshIdle, DefaultFreshIdle)
}

func setDefault(field *manager.Duration, value manager.Duration) {
	if *field == 0 {
		*field = value
	}
}

// MaxIdlePerGateway returns how many idle connections to an upstream one of several gateways may keep: what
// its limit leaves after those in use, of which there are at most as many as slots, and as many again
// that are being closed.
func MaxIdlePerGateway(limit manager.Connections, slots manager.Slots, gateways int) manager.Connections {
	const perSlot = 2
	left := int(limit) - perSlot*int(slots)
	return manager.Connections(max(left, 0) / max(gateways, 1))
}

// Acquire grants a connection; the caller opens it if it is not reused.
func (p *Pool) Acquire(now manager.Time, d AcquireOptions) (Grant, []Action) {
	p.init()
	t := p.path(d.Address)
	var actions []Action
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		if p.expired(now, c) {
			t.idle = t.idle[:len(t.idle)-1]
			actions = append(actions, p.drop(c))
			continue
		}
		if !d.Idempotent && now.Sub(c.idleSince) > p.FreshIdle {
			break
		}
		t.idle = t.idle[:len(t.idle)-1]
		c.state, c.reused, c.idempotent, c.usedAt = stateActive, true, d.Idempotent, now
		return Grant{Connection: c.id, Reused: true}, actions
	}
	c := p.open(now, d.Address, stateActive)
	c.idempotent = d.Idempotent
	return Grant{Connection: c.id}, actions
}

// Replace grants an unopened connection in place of a reused one that was found dead.
func (p *Pool) Replace(now manager.Time, id ConnectionID) Grant {
	c := p.connections[id]
	fresh := p.open(now, c.address, stateActive)
	fresh.idempotent = c.idempotent
	p.drop(c)
	return Grant{Connection: fresh.id}
}

// Release takes back a connection after an exchange that brought a whole answer; limit is how long
// the upstream keeps it idle, or 0, and share how many idle ones may be kept.
func (p *Pool) Release(now manager.Time, id ConnectionID, limit manager.Duration, share manager.Connections) []Action {
	c, ok := p.connections[id]
	if !ok {
		return nil
	}
	t := p.paths[c.address]
	if c.reused {
		t.provenAt = now
	}
	c.state, c.suspected = stateIdle, false
	c.idleSince, c.idleLimit = now, p.MaxIdle
	if limit > 0 {
		c.idleLimit = min(limit, p.MaxIdle)
	}
	t.idle = append(t.idle, c)
	var actions []Action
	if p.expired(now, c) {
		t.idle = t.idle[:len(t.idle)-1]
		return append(actions, p.drop(c))
	}
	for len(t.idle) > int(share) {
		oldest := t.idle[0]
		t.idle = slices.Delete(t.idle, 0, 1)
		actions = append(actions, p.drop(oldest))
	}
	return actions
}

// Discard forgets a connection that must not carry another exchange.
func (p *Pool) Discard(id ConnectionID) {
	if c, ok := p.connections[id]; ok {
		p.unlist(c)
		p.drop(c)
	}
}

// ExpireIdle closes the idle connections whose time is over.
func (p *Pool) ExpireIdle(now manager.Time) []Action {
	p.init()
	var expired []*connection
	for _, t := range p.paths {
		for _, c := range t.idle {
			if p.expired(now, c) {
				expired = append(expired, c)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *connection) int { return int(a.id) - int(b.id) })
	actions := make([]Action, 0, len(expired))
	for _, c := range expired {
		p.unlist(c)
		actions = append(actions, p.drop(c))
	}
	return actions
}

// OpenCount returns how many connections to an address are open or being opened.
func (p *Pool) OpenCount(a manager.Address) int {
	if t, ok := p.paths[a]; ok {
		return t.open
	}
	return 0
}

func (p *Pool) expired(now manager.Time, c *connection) bool {
	spread := p.MaxAge / ageSpread * manager.Duration(c.id%ageSpread) / ageSpread
	return now.Sub(c.openedAt) >= p.MaxAge-spread || now.Sub(c.idleSince) >= c.idleLimit
}

func (p *Pool) path(a manager.Address) *path {
	if p.paths[a] == nil {
		p.paths[a] = &path{}
	}
	return p.paths[a]
}

func (p *Pool) open(now manager.Time, a manager.Address, s state) *connection {
	p.last++
	c := &connection{id: p.last, address: a, state: s, openedAt: now, usedAt: now, idleSince: now, idleLimit: p.MaxIdle}
	p.connections[c.id] = c
	p.path(a).open++
	return c
}

func (p *Pool) drop(c *connection) Action {
	delete(p.connections, c.id)
	t := p.paths[c.address]
	t.open--
	if t.open == 0 {
		delete(p.paths, c.address)
	}
	return Action{Kind: ActionClose, Connection: c.id, Address: c.address}
}

func (p *Pool) unlist(c *connection) {
	t := p.paths[c.address]
	t.idle = slices.DeleteFunc(t.idle, func(other *connection) bool { return other == c })
}
