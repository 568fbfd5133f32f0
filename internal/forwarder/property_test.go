package forwarder_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Resends over several gateways, upstreams that close after reading or refuse, and claims whose
// commands or answers are lost: nothing runs twice, what was always refused as not-run never ran, and
// each answer is the caller's own.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", "5"))
	closes := newUpstream(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	answers := newUpstream(t, nil)
	refuses := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run-State", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := newControllers()
	source := rand.New(rand.NewPCG(3, 3))
	c.fate = func() (bool, bool) { return source.IntN(10) > 0, source.IntN(10) > 0 }
	addresses := []manager.Address{answers.address(), closes.address(), refuses.address()}
	gateways := []*gateway{newGateway(t, c, addresses...), newGateway(t, c, addresses[1:]...), newGateway(t, c, addresses...)}
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			id := fmt.Sprintf("request-%d-%d", round, i)
			got := make([]answer, rapid.IntRange(1, 4).Draw(t, "sends"))
			var work sync.WaitGroup
			for n := range got {
				g := gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")]
				send := func() { got[n] = g.call("POST", "body", "Request-Id", id) }
				if rapid.Bool().Draw(t, "at once") {
					work.Go(send)
				} else {
					send()
				}
			}
			work.Wait()
			checkAnswers(t, id, got, answers.ran(id)+closes.ran(id))
		}
	})
}

func checkAnswers(t *rapid.T, id string, got []answer, runs int) {
	require.LessOrEqual(t, runs, 1, id)
	refused := true
	for _, a := range got {
		require.NoError(t, a.err)
		refused = refused && a.state == manager.RunStateNotRun
		if a.state == manager.RunStateRan {
			require.Equal(t, id+" body", a.body)
		}
	}
	if refused {
		require.Zero(t, runs, id)
	}
}
