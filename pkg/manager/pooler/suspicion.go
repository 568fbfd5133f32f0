package pooler

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ReportStall takes the report that an exchange has brought no byte for long. The connections of the same
// path that have not carried anything since are checked, and a new one tells whether the upstream
// answers at all; nothing is held against the upstream itself.
func (p *Pool) ReportStall(now manager.Time, id ConnectionID) []Action {
	c, ok := p.connections[id]
	if !ok || c.state != stateActive {
		return nil
	}
	c.suspected = true
	t := p.paths[c.address]
	var actions []Action
	for _, sibling := range t.idle {
		sibling.state, sibling.reused = stateChecking, true
		t.checks++
		actions = append(actions, Action{Kind: ActionCheck, Connection: sibling.id, Address: sibling.address})
	}
	t.idle = nil
	if t.probe == 0 {
		t.probe = p.open(now, c.address, stateProbing).id
		actions = append(actions, Action{Kind: ActionProbe, Connection: t.probe, Address: c.address})
	}
	return actions
}

// ReportCheck takes the result of a check or a probe.
func (p *Pool) ReportCheck(now manager.Time, id ConnectionID, alive bool, share manager.Connections) []Action {
	c, ok := p.connections[id]
	if !ok {
		return nil
	}
	t := p.paths[c.address]
	probe := c.state == stateProbing
	if probe {
		t.probe = 0
	} else {
		t.checks--
	}
	if alive {
		return append(p.Release(now, id, 0, share), p.judge(c.address, t)...)
	}
	actions := []Action{p.drop(c)}
	if probe {
		return append(actions, p.abandon(c.address, func(*connection) bool { return true })...)
	}
	t.silent++
	return append(actions, p.judge(c.address, t)...)
}

// judge ends the silent exchanges over reused connections once new connections are known to work,
// unless another reused connection carried an answer meanwhile: then nothing was lost between the
// two ends and the upstream is slow. An exchange over a new connection always waits on.
func (p *Pool) judge(a manager.Address, t *path) []Action {
	if t.probe != 0 || t.checks > 0 {
		return nil
	}
	silent := t.silent > 0
	t.silent = 0
	return p.abandon(a, func(c *connection) bool { return c.reused && (silent || t.provenAt < c.usedAt) })
}

// abandon ends suspected idempotent exchanges only: another could not be sent again, and its answer
// may still come.
func (p *Pool) abandon(a manager.Address, lost func(*connection) bool) []Action {
	var actions []Action
	for _, c := range p.connections {
		if c.address == a && c.state == stateActive && c.suspected && c.idempotent && lost(c) {
			actions = append(actions, Action{Kind: ActionAbort, Connection: c.id, Address: a})
		}
	}
	slices.SortFunc(actions, func(x, y Action) int { return int(x.Connection) - int(y.Connection) })
	return actions
}
