package prover

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// BenchmarkClaimOverQuorum reports the median and high latency of requests with and without a claim,
// sent one after the other through a gateway with controllers that sync to disk.
func BenchmarkClaimOverQuorum(b *testing.B) {
	for _, controllers := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", controllers), func(b *testing.B) {
			for range b.N {
				s := startStand(b, controllers, 2)
				for _, idempotent := range []bool{true, false} {
					h := s.latencies(idempotent)
					name := map[bool]string{true: "plain", false: "claimed"}[idempotent]
					b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-us/median")
					b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-us/p99")
				}
			}
		})
	}
}

// latencies sends requests one after the other and returns their times in microseconds.
func (s *stand) latencies(idempotent bool) *hdrhistogram.Histogram {
	const requests = 500
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("http://%s/services/pricing/quotes", s.cluster.GatewayAddresses()[0])
	for range requests {
		r, err := http.NewRequest(http.MethodPost, url, http.NoBody)
		require.NoError(s.t, err)
		r.Header.Set("Request-Id", uuid.Must(uuid.NewV7()).String())
		r.Header.Set("Idempotent", strconv.FormatBool(idempotent))
		start := time.Now()
		response, err := client.Do(r)
		require.NoError(s.t, err)
		require.NoError(s.t, h.RecordValue(time.Since(start).Microseconds()))
		require.Equal(s.t, string(manager.RunStateRan), response.Header.Get("Run-State"))
		require.NoError(s.t, response.Body.Close())
	}
	return h
}
