package prover

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/responder"
)

// span is the part of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func TestSpansFollowARequestAndAChange(t *testing.T) {
	t.Parallel()
	const callerTrace = "4bf92f3577b34da6a3ce929d0e0e4736"
	const callerSpan = "00f067aa0ba902b7"
	s := startStand(t, 1, 1, withTraces)
	gateway := s.cluster.GatewayNames()[0]
	url := "http://" + string(s.cluster.GatewayAddresses()[0])
	for _, call := range []struct{ path, token string }{
		{"/services/pricing/quotes", ""}, {"/api/profiles", "Bearer operator-token"},
	} {
		r, err := http.NewRequest(http.MethodGet, url+call.path, nil)
		require.NoError(t, err)
		r.Header.Set("Traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
		r.Header.Set("Authorization", call.token)
		response, err := probe.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		if call.token == "" {
			var e responder.Echo
			require.NoError(t, json.Unmarshal(body, &e))
			require.Contains(t, e.Traceparent, callerTrace, "the upstream continues the caller's trace")
		}
	}
	var spans []span
	for _, node := range []string{gateway, s.cluster.ControllerNames()[0]} {
		p := s.cluster.Processes[node]
		require.NoError(t, p.Signal(syscall.SIGTERM))
		require.NoError(t, p.Wait())
		spans = append(spans, readSpans(t, s.cluster.TraceFile(node))...)
	}
	parents := map[string]string{}
	names := map[string]string{}
	for _, sp := range spans {
		if sp.SpanContext.TraceID == callerTrace {
			parents[sp.Name] = sp.Parent.SpanID
			names[sp.Name] = sp.SpanContext.SpanID
		}
	}
	require.Equal(t, callerSpan, parents["gateway request"])
	require.Equal(t, names["gateway request"], parents["gateway attempt"])
	require.Equal(t, callerSpan, parents["gateway /api/profiles"])
	require.Equal(t, names["gateway /api/profiles"], parents["controller /control/fleet"])
}

func readSpans(t *testing.T, file string) []span {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var spans []span
	d := json.NewDecoder(strings.NewReader(string(data)))
	for d.More() {
		var sp span
		require.NoError(t, d.Decode(&sp))
		spans = append(spans, sp)
	}
	return spans
}
