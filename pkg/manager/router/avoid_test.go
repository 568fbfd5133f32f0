package router_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/router"
)

func TestRetryAvoidsTheUpstreamThatFailed(t *testing.T) {
	b := &router.Balanced{Source: rand.New(rand.NewPCG(1, 1))}
	candidates := []manager.Candidate{
		{Member: manager.Member{Announcement: manager.Announcement{Upstream: "u1", Service: "pricing", Slots: 8}}},
		{Member: manager.Member{Announcement: manager.Announcement{Upstream: "u2", Service: "pricing", Slots: 8}}},
	}
	r := manager.Request{Service: "pricing", Avoid: "u1"}
	for range 50 {
		id, ok := b.Pick(0, r, candidates)
		require.True(t, ok)
		require.Equal(t, manager.UpstreamID("u2"), id)
	}
	id, ok := b.Pick(0, r, candidates[:1])
	require.True(t, ok)
	require.Equal(t, manager.UpstreamID("u1"), id)
}
