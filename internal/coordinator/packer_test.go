package coordinator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// view returns a node's answer to another node that takes packed answers.
func view(t *testing.T, members int) *httptest.ResponseRecorder {
	t.Helper()
	seen := finder.View{Term: 1, Leader: "10.0.0.2:7060"}
	for range members {
		seen.Members = append(seen.Members, manager.ReplicaMember{Replica: 1, Address: "10.0.0.2:7060"})
	}
	f := &finder.Finder{Clock: &manager.ManualClock{}, Local: func() (finder.View, bool) { return seen, true }}
	e := listener.NewEcho()
	(&Node{Finder: f}).AddRoutes(e)
	r := httptest.NewRequest(http.MethodGet, finder.PathView, nil)
	r.Header.Set("Accept-Encoding", "gzip")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code)
	return w
}

// After a restart of all, hundreds of calls reach the new leader at once. An answer that is too small to be packed
// must not cost the memory of a compressor, or the leader spends its first seconds on collecting garbage.
func TestSmallAnswersTakeLittleMemory(t *testing.T) {
	const calls, maxBytesPerCall = 50, 64 << 10
	view(t, 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		// Pools of writers are emptied by collections, which come often while memory is short.
		runtime.GC()
		runtime.GC()
		view(t, 1)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/calls, uint64(maxBytesPerCall))
}

func TestLargeAnswersArePacked(t *testing.T) {
	w := view(t, 2000)
	require.Equal(t, "gzip", w.Header().Get("Content-Encoding"))
	packed := w.Body.Bytes()
	unpacked, err := gzip.NewReader(bytes.NewReader(packed))
	require.NoError(t, err)
	data, err := io.ReadAll(unpacked)
	require.NoError(t, err)
	var got finder.View
	require.NoError(t, json.Unmarshal(data, &got))
	require.Len(t, got.Members, 2000)
	require.Less(t, len(packed), len(data)/10)
}

func TestPackerIsUsedAgain(t *testing.T) {
	p := &packer{}
	for _, body := range []string{strings.Repeat("a", 9000), strings.Repeat("bc", 5000), ""} {
		packed, err := p.pack([]byte(body))
		require.NoError(t, err)
		r, err := gzip.NewReader(bytes.NewReader(packed))
		require.NoError(t, err)
		data, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Equal(t, body, string(data))
	}
}
