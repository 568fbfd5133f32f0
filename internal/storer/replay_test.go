package storer_test

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// slowMachine takes its time for each entry.
type slowMachine struct {
	pause   time.Duration
	applied atomic.Int64
}

func (m *slowMachine) Apply([]byte) (manager.Result, error) {
	time.Sleep(m.pause)
	m.applied.Add(1)
	return manager.Result{}, nil
}

func (*slowMachine) Snapshot() ([]byte, error) { return nil, nil }

func (*slowMachine) Restore([]byte) error { return nil }

// After a restart of all, the log is applied in parts: a replica that applied it at once would be silent for
// several election time-outs, and the leaders would depose each other.
func TestLongLogIsAppliedWithoutLosingTheLeader(t *testing.T) {
	t.Parallel()
	const entries = 300
	var machines []*slowMachine
	g := newGroup(t, 3, func(g *group) {
		g.machine = func() storer.Machine {
			m := &slowMachine{}
			machines = append(machines, m)
			return m
		}
	})
	_, leader := g.leader()
	data := append(append([]byte{'"'}, bytes.Repeat([]byte("x"), 16<<10)...), '"')
	for range entries {
		require.NoError(t, leader.ProposeEntry(t.Context(), data))
	}
	before := leader.Status().Term
	for i := range 3 {
		g.stop(i)
	}
	machines = nil
	g.machine = func() storer.Machine {
		m := &slowMachine{pause: 8 * time.Millisecond}
		machines = append(machines, m)
		return m
	}
	for i := range 3 {
		g.start(i)
	}
	at, leader := g.leader()
	require.GreaterOrEqual(t, machines[at].applied.Load(), int64(entries), "a replica leads without what was committed before")
	require.Never(t, func() bool { return leader.Status().Term > before+1 }, 4*time.Second, 50*time.Millisecond, "leaders depose each other")
}
