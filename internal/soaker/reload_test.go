package soaker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An exchange of the seeds must not end a process that has only just started.
func TestExchangedSeedsDoNotEndStartingProcess(t *testing.T) {
	t.Parallel()
	const core, plain = 3, 2
	s := &soak{t: t, plain: plain}
	defer s.close()
	s.start(7, core)
	n := s.fleet.Nodes[core]
	require.NoError(t, s.fleet.Kill(n))
	require.NoError(t, s.fleet.Launch(n, false))
	require.NoError(t, s.fleet.ExchangeSeeds(s.fleet.Nodes[core-1:]))
	require.True(t, s.watch.await(timeToRecover, func() bool { return s.watch.caller.Ready(s.watch.ctx, n.At(portReady)) }), "%s ended", n.Name)
	s.settle("at the end")
}
