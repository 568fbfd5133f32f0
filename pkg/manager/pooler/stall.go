package pooler

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ReportStall reports that an exchange has received no byte for a long time. The idle connections to the same address
// are checked, and a probe over a new connection finds out whether the upstream responds at all. A stall does not count
// as a failure of the upstream.
func (p *Pool) ReportStall(now manager.Time, id ConnectionID) []Action {
	c, ok := p.connections[id]
	if !ok || c.state != stateActive {
		return nil
	}
	c.stalled = true
	e := p.endpoints[c.address]
	var actions []Action
	for _, sibling := range e.idle {
		sibling.state, sibling.reused = stateChecking, true
		e.pendingChecks++
		actions = append(actions, Action{Kind: ActionCheck, Connection: sibling.id, Address: sibling.address})
	}
	e.idle = nil
	if e.probe == 0 {
		e.probe = p.open(now, c.address, stateProbing).id
		actions = append(actions, Action{Kind: ActionProbe, Connection: e.probe, Address: c.address})
	}
	return actions
}

// ReportCheck reports the result of a check or a probe.
func (p *Pool) ReportCheck(now manager.Time, id ConnectionID, alive bool, maxIdle manager.Connections) []Action {
	c, ok := p.connections[id]
	if !ok {
		return nil
	}
	e := p.endpoints[c.address]
	probe := c.state == stateProbing
	if probe {
		e.probe = 0
	} else {
		e.pendingChecks--
	}
	if alive {
		return append(p.Release(now, id, 0, maxIdle), p.abortStalled(c.address, e)...)
	}
	actions := []Action{p.remove(c)}
	if probe {
		return append(actions, p.abort(c.address, func(*connection) bool { return true })...)
	}
	e.failedChecks++
	return append(actions, p.abortStalled(c.address, e)...)
}

// abortStalled aborts the stalled exchanges over reused connections once new connections are known to work. If no check
// failed and a reused connection has carried a response since an exchange began, that exchange goes on: then nothing was
// lost on the network and the upstream is slow. An exchange over a new connection goes on too.
func (p *Pool) abortStalled(a manager.Address, e *endpoint) []Action {
	if e.probe != 0 || e.pendingChecks > 0 {
		return nil
	}
	checkFailed := e.failedChecks > 0
	e.failedChecks = 0
	return p.abort(a, func(c *connection) bool { return c.reused && (checkFailed || e.reuseVerifiedAt < c.usedAt) })
}

// abort aborts the stalled idempotent exchanges whose connection is lost. A non-idempotent exchange goes on, as it could
// not be sent again and its response may still arrive.
func (p *Pool) abort(a manager.Address, lost func(*connection) bool) []Action {
	var actions []Action
	for _, c := range p.connections {
		if c.address == a && c.state == stateActive && c.stalled && c.idempotent && lost(c) {
			actions = append(actions, Action{Kind: ActionAbort, Connection: c.id, Address: a})
		}
	}
	slices.SortFunc(actions, func(x, y Action) int { return int(x.Connection) - int(y.Connection) })
	return actions
}
