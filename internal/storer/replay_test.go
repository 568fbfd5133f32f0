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

// slowMachine is a state machine that sleeps for each entry.
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

// After a restart of all replicas, each applies its log in parts. A replica that applied a long log at once would
// send nothing for several election timeouts, and the replicas would keep replacing each other as leader.
func TestLongLogIsAppliedWithoutLosingTheLeader(t *testing.T) {
	t.Parallel()
	const entries = 300
	var machines []*slowMachine
	g := newGroup(t, 3, func(g *group) {
		g.machine = func() storer.StateMachine {
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
	g.machine = func() storer.StateMachine {
		m := &slowMachine{pause: 8 * time.Millisecond}
		machines = append(machines, m)
		return m
	}
	for i := range 3 {
		g.start(i)
	}
	at, leader := g.leader()
	require.GreaterOrEqual(t, machines[at].applied.Load(), int64(entries), "a replica leads without the entries committed before")
	require.Never(t, func() bool { return leader.Status().Term > before+1 }, 4*time.Second, 50*time.Millisecond, "replicas keep replacing the leader")
}
