package finder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Nodes that start together must not all announce to the same seed at the same moment.
func TestAnnouncementsAreSpreadOverSeeds(t *testing.T) {
	const nodes, seeds = 60, 3
	clock := &manager.ManualClock{At: 100_000}
	var counts [seeds]atomic.Int64
	var addresses []manager.Address
	for i := range seeds {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				counts[i].Add(1)
			}
			_ = json.NewEncoder(w).Encode(finder.View{})
		}))
		t.Cleanup(s.Close)
		addresses = append(addresses, manager.Address(strings.TrimPrefix(s.URL, "http://")))
	}
	for i := range nodes {
		f := newFinder(clock, addresses...)
		f.Own = manager.Address(fmt.Sprintf("10.1.0.%d:7060", i+10))
		f.Learn(finder.View{Term: 1, Leader: "127.0.0.1:1"})
		f.Update(context.Background())
	}
	for i := range counts {
		require.Less(t, counts[i].Load(), int64(nodes*2/3), "seed %d", i)
	}
}
