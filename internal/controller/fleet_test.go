package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// turnsLeader is a replica that becomes the leader later.
type turnsLeader struct {
	storer.Store
	leads    atomic.Bool
	proposed atomic.Int64
}

func (s *turnsLeader) Leader() (manager.Address, bool) { return "a:1", s.leads.Load() }
func (s *turnsLeader) Propose(context.Context, manager.Command) (manager.Result, error) {
	if !s.leads.Load() {
		return manager.Result{}, manager.ErrNotLeader{}
	}
	s.proposed.Add(1)
	return manager.Result{}, nil
}

// A controller that saw another one lead never loaded the fleet, also when that one was lost before it had done so.
func TestFleetIsLoadedByTheNextLeader(t *testing.T) {
	s := &turnsLeader{}
	c := &Conductor{Clock: timekeeper.New(), Fleet: manager.LoadFleet{Pools: []manager.Pool{{}}}, store: s}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.work.Go(func() { c.loadFleet(ctx) })
	time.Sleep(50 * time.Millisecond)
	s.leads.Store(true)
	require.Eventually(t, func() bool { return s.proposed.Load() > 0 }, 4*time.Second, 10*time.Millisecond)
}
