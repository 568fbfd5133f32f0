package registrar_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/registrar"
)

// An age that wraps would make an upstream the latest at its address until the far future.
func TestAgeThatOverflowsIsIgnored(t *testing.T) {
	const now = manager.Time(100_000)
	for _, m := range []manager.GossipMessage{
		{Echo: now - 10, Entries: []manager.GossipEntry{{AgeMs: math.MaxInt64}}},
		{Echo: now - 10, Entries: []manager.GossipEntry{{AgeMs: math.MaxInt64 - 5}}},
		{Echo: now - 10, Entries: []manager.GossipEntry{{AgeMs: -1}}},
		{Echo: math.MaxInt64, SinceMs: math.MaxInt64, Entries: []manager.GossipEntry{{}}},
		{Echo: now - 10, SinceMs: math.MaxInt64, Entries: []manager.GossipEntry{{}}},
		{Echo: math.MinInt64, Entries: []manager.GossipEntry{{}}},
	} {
		table := &registrar.Table{Gateway: "g-1", Start: 7}
		m.From, m.EchoStart = "g-2", 7
		for i := range m.Entries {
			m.Entries[i].Announcement = announcement(1)
		}
		table.Answer(now, m)
		require.Empty(t, table.All(now), "%+v", m)
	}
	table := &registrar.Table{Gateway: "g-1", Start: 7}
	table.Answer(now, manager.GossipMessage{From: "g-2", Echo: now - 10, EchoStart: 7, Entries: []manager.GossipEntry{{Announcement: announcement(1), AgeMs: 50}}})
	require.Len(t, table.All(now), 1)
}

func TestAnnouncementOfPortZeroIsRefused(t *testing.T) {
	a := announcement(1)
	require.NoError(t, registrar.Validate(a))
	for _, address := range []manager.Address{"10.0.0.1:0", "10.0.0.1:80000", "10.0.0.1:-1", "10.0.0.1"} {
		a.Address = address
		require.True(t, manager.IsErrInvalid(registrar.Validate(a)), address)
	}
}
