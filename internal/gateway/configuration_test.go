package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func answer(revision manager.Revision, held manager.Duration) proposer.Configuration {
	return proposer.Configuration{Revision: revision, LeaseMs: 4 * manager.Second, HeldMs: held}
}

func TestLeaseCountsFromConfirmationAndRestartHasNone(t *testing.T) {
	clock := &manager.ManualClock{At: 10_000}
	k := &configurationKeeper{clock: clock}
	require.False(t, k.inForce(), "a restarted gateway has no lease")
	asked := clock.Now()
	clock.Advance(1_500)
	k.take(asked, answer(3, 1_000))
	clock.Advance(3_499)
	require.True(t, k.inForce())
	clock.Advance(1)
	require.False(t, k.inForce(), "the lease ends 4 s after the confirmation")
}

func TestSlowAnswerGrantsNoLeaseBeyondItsTime(t *testing.T) {
	clock := &manager.ManualClock{At: 10_000}
	k := &configurationKeeper{clock: clock}
	asked := clock.Now()
	clock.Advance(5_000)
	k.take(asked, answer(3, 0))
	require.False(t, k.inForce())
	k.take(asked, answer(3, 60_000))
	clock.Advance(4_000)
	require.False(t, k.inForce(), "no answer can grant more than 4 s from its arrival")
}

func TestOlderConfigurationNeverReplacesNewer(t *testing.T) {
	clock := &manager.ManualClock{At: 10_000}
	k := &configurationKeeper{clock: clock}
	k.take(clock.Now(), answer(7, 0))
	clock.Advance(3_000)
	k.take(clock.Now(), answer(6, 0))
	require.Equal(t, manager.Revision(7), k.revision())
	unchanged := answer(8, 0)
	unchanged.Unchanged = true
	k.take(clock.Now(), unchanged)
	require.Equal(t, manager.Revision(7), k.revision())
	clock.Advance(1_000)
	require.False(t, k.inForce(), "neither answer renews the lease")
	k.take(clock.Now(), answer(8, 0))
	require.True(t, k.inForce())
	require.Equal(t, manager.Revision(8), k.revision())
}
