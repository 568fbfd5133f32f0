package tracer

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

// startSpan starts and ends one span and flushes it.
func startSpan(t *testing.T, cfg configurer.Trace) trace.SpanContext {
	t.Helper()
	flush, err := Setup(t.Context(), "entry-1", cfg)
	require.NoError(t, err)
	_, span := Start(t.Context(), "gateway request")
	End(span, nil)
	require.NoError(t, flush(t.Context()))
	return span.SpanContext()
}

func TestOTLPExporterSendsToTheEndpoint(t *testing.T) {
	var batches atomic.Int32
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/traces" && r.ContentLength > 0 {
			batches.Add(1)
		}
	}))
	defer collector.Close()
	sent := startSpan(t, configurer.Trace{Exporter: configurer.TraceOTLP, Endpoint: collector.URL + "/v1/traces"})
	require.True(t, sent.IsValid())
	require.EqualValues(t, 1, batches.Load())
}

func TestFileExporterWritesALine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "traces")
	sent := startSpan(t, configurer.Trace{Exporter: configurer.TraceFile, File: file})
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(data), sent.TraceID().String())
}

func TestContextTravelsInHeaders(t *testing.T) {
	sent := startSpan(t, configurer.Trace{Exporter: configurer.TraceFile, File: filepath.Join(t.TempDir(), "traces")})
	h := http.Header{}
	Inject(trace.ContextWithSpanContext(t.Context(), sent), h)
	got := trace.SpanContextFromContext(Extract(t.Context(), h))
	require.Equal(t, sent.TraceID(), got.TraceID())
	require.Equal(t, sent.SpanID(), got.SpanID())
}
