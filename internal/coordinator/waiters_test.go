package coordinator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// While no leader answers, the calls of a node share their tries; once one is answered, all are.
func TestCallsWithoutALeaderShareTheirTries(t *testing.T) {
	const (
		calls  = 60
		outage = 1200 * time.Millisecond
	)
	began := time.Now()
	var tries atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if time.Since(began) < outage {
			tries.Add(1)
			status, body := translator.FromError(manager.ErrNotLeader{})
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body)
			return
		}
		_ = json.NewEncoder(w).Encode(manager.FleetReply{Pending: 3})
	}))
	defer s.Close()
	leader := manager.Address(strings.TrimPrefix(s.URL, "http://"))
	f := &finder.Finder{
		Clock: timekeeper.New(), Own: "127.0.0.1:1",
		Local: func() (finder.View, bool) { return finder.View{Term: 1, Leader: leader}, true },
	}
	f.Init()
	n := &Node{Clock: timekeeper.New(), Finder: f, HTTP: s.Client(), Own: "127.0.0.1:1"}
	var work sync.WaitGroup
	var answered atomic.Int64
	for range calls {
		work.Go(func() {
			if reply, err := n.Call(t.Context(), manager.FleetCall{Kind: manager.CallPending}); err == nil && reply.Pending == 3 {
				answered.Add(1)
			}
		})
	}
	work.Wait()
	require.EqualValues(t, calls, answered.Load())
	// Each call tries once; then one of them is retried at a time.
	most := calls + float64(outage)/float64(retryPause)
	require.LessOrEqual(t, float64(tries.Load()), 1.1*most)
}
