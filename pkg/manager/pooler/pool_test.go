package pooler_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/pooler"
)

const address = manager.Address("10.0.0.1:80")

// model tracks which connections are open and the state of each.
type model struct {
	pool    pooler.Pool
	now     manager.Time
	active  []pooler.ConnectionID
	pending []pooler.Action
	open    map[pooler.ConnectionID]manager.Time
	idle    map[pooler.ConnectionID]manager.Time
}

func (m *model) apply(t *rapid.T, actions []pooler.Action) {
	for _, a := range actions {
		switch a.Kind {
		case pooler.ActionClose:
			delete(m.open, a.Connection)
			delete(m.idle, a.Connection)
		case pooler.ActionCheck:
			require.Contains(t, m.idle, a.Connection)
			delete(m.idle, a.Connection)
			m.pending = append(m.pending, a)
		case pooler.ActionProbe:
			m.open[a.Connection] = m.now
			m.pending = append(m.pending, a)
		case pooler.ActionAbort:
			require.Contains(t, m.active, a.Connection)
		}
	}
}

func (m *model) acquire(t *rapid.T, idempotent bool) {
	grant, actions := m.pool.Acquire(m.now, pooler.AcquireOptions{Address: address, Idempotent: idempotent})
	m.apply(t, actions)
	require.NotContains(t, m.active, grant.Connection)
	if grant.Reused {
		idle := m.now.Sub(m.idle[grant.Connection])
		require.Contains(t, m.idle, grant.Connection)
		require.Less(t, idle, pooler.DefaultMaxIdleTime)
		require.True(t, idempotent || idle <= pooler.DefaultMaxIdleNonIdempotent)
		require.Less(t, m.now.Sub(m.open[grant.Connection]), pooler.DefaultMaxAge)
		delete(m.idle, grant.Connection)
	} else {
		require.NotContains(t, m.open, grant.Connection)
		m.open[grant.Connection] = m.now
	}
	m.active = append(m.active, grant.Connection)
}

// drawActive removes a random connection from those in use.
func (m *model) drawActive(t *rapid.T) (pooler.ConnectionID, bool) {
	if len(m.active) == 0 {
		return 0, false
	}
	i := rapid.IntRange(0, len(m.active)-1).Draw(t, "active")
	id := m.active[i]
	m.active = append(m.active[:i:i], m.active[i+1:]...)
	return id, true
}

func (m *model) finish(t *rapid.T, maxIdle manager.Connections) {
	id, ok := m.drawActive(t)
	if !ok {
		return
	}
	if rapid.Bool().Draw(t, "whole") {
		m.idle[id] = m.now
		m.apply(t, m.pool.Release(m.now, id, 0, maxIdle))
		return
	}
	m.pool.Discard(id)
	delete(m.open, id)
}

func (m *model) reportCheck(t *rapid.T, maxIdle manager.Connections) {
	if len(m.pending) == 0 {
		return
	}
	a := m.pending[0]
	m.pending = m.pending[1:]
	alive := rapid.Bool().Draw(t, "alive")
	if alive {
		m.idle[a.Connection] = m.now
	}
	m.apply(t, m.pool.ReportCheck(m.now, a.Connection, alive, maxIdle))
}

// Checks that a connection carries one exchange at a time, that idle ones stay within their number and time limits, and
// that the pool does not leak connections.
func TestPoolKeepsTrackOfEachConnection(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		maxIdle := manager.Connections(rapid.IntRange(0, 4).Draw(t, "max idle"))
		m := &model{open: map[pooler.ConnectionID]manager.Time{}, idle: map[pooler.ConnectionID]manager.Time{}}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.now = m.now.Add(manager.Duration(rapid.SampledFrom([]int{0, 10, 600, 3000, 20_000}).Draw(t, "pause")))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				m.acquire(t, rapid.Bool().Draw(t, "idempotent"))
			case 2:
				m.finish(t, maxIdle)
			case 3:
				if len(m.active) > 0 {
					m.apply(t, m.pool.ReportStall(m.now, m.active[0]))
				}
			case 4:
				m.reportCheck(t, maxIdle)
			case 5:
				m.apply(t, m.pool.ExpireIdle(m.now))
			}
			require.LessOrEqual(t, len(m.idle), int(maxIdle))
			require.Equal(t, len(m.open), m.pool.OpenCount(address))
			require.Len(t, m.open, len(m.active)+len(m.idle)+len(m.pending))
		}
	})
}

// acquireReused acquires a connection that has carried an exchange before.
func acquireReused(t *testing.T, p *pooler.Pool, now manager.Time, idempotent bool) pooler.ConnectionID {
	t.Helper()
	g, _ := p.Acquire(now, pooler.AcquireOptions{Address: address, Idempotent: idempotent})
	p.Release(now, g.Connection, 0, 4)
	again, _ := p.Acquire(now, pooler.AcquireOptions{Address: address, Idempotent: idempotent})
	require.True(t, again.Reused)
	return again.Connection
}

func abortCount(actions []pooler.Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == pooler.ActionAbort {
			n++
		}
	}
	return n
}

func TestOnlyLostIdempotentExchangesAreAborted(t *testing.T) {
	cases := map[string]struct {
		idempotent, probe, siblingResponded bool
		want                                int
	}{
		"lost":                 {true, true, false, 1},
		"slow upstream":        {true, true, true, 0},
		"upstream gone":        {true, false, true, 1},
		"not idempotent":       {false, true, false, 0},
		"not idempotent, gone": {false, false, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &pooler.Pool{}
			id := acquireReused(t, p, 1, c.idempotent)
			if c.siblingResponded {
				p.Release(20, acquireReused(t, p, 10, true), 0, 4)
			}
			actions := p.ReportStall(1000, id)
			var results []pooler.Action
			for _, a := range actions {
				alive := a.Kind == pooler.ActionCheck || c.probe
				results = append(results, p.ReportCheck(1001, a.Connection, alive, 4)...)
			}
			require.Equal(t, c.want, abortCount(results))
		})
	}
}

func TestIdleConnectionsStayWithinTheUpstreamsLimit(t *testing.T) {
	for gateways := 1; gateways <= 40; gateways++ {
		maxIdle := int(pooler.MaxIdlePerGateway(64, 8, gateways))
		require.LessOrEqual(t, 8+gateways*maxIdle, 64)
	}
	require.Equal(t, manager.Connections(4), pooler.MaxIdlePerGateway(64, 8, 12))
	require.Zero(t, pooler.MaxIdlePerGateway(8, 8, 12))
}
