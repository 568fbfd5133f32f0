package storer_test

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/storer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// brokenMachine is a state machine that can't apply any entry.
type brokenMachine struct{ slowMachine }

func (*brokenMachine) Apply([]byte) (manager.Result, error) {
	return manager.Result{}, eris.New("unknown entry")
}

// A replica that can't apply its log ended without a sign to its process, which ran on beside it.
func TestReplicaReportsThatItHasEnded(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, func(g *group) {
		g.machine = func() storer.StateMachine { return &brokenMachine{} }
	})
	_, s := g.leader()
	require.Error(t, s.ProposeEntry(t.Context(), []byte(`"x"`)))
	<-s.Failed()
	require.ErrorContains(t, s.Ready(), "unknown entry")
}
