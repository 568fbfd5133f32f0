package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// cost is what a number of requests took.
type cost struct {
	took, used time.Duration
}

// measure sends requests one by one over a kept connection. The processor time is that of both ends and
// of what is between them, as all run in this process.
func measure(b *testing.B, url, method string) cost {
	b.Helper()
	const requests = 500
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	start := time.Now()
	for range requests {
		r, err := http.NewRequest(method, url, strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Request-Id", uuid.Must(uuid.NewV7()).String())
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	took := time.Since(start)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	return cost{took: took / requests, used: time.Duration(used) / requests}
}

// BenchmarkGateway compares requests through a gateway with direct ones in one run; claims are
// committed in memory, so that their own cost shows without a quorum's.
func BenchmarkGateway(b *testing.B) {
	u := newUpstream(b, nil)
	g := newGateway(b, newControllers(), u.address())
	for b.Loop() {
		direct := measure(b, u.server.URL+"/invoices", http.MethodPut)
		plain := measure(b, g.server.URL+"/services/ledger/invoices", http.MethodPut)
		claimed := measure(b, g.server.URL+"/services/ledger/invoices", http.MethodPost)
		b.ReportMetric(float64(plain.took)/float64(direct.took), "time/direct")
		b.ReportMetric(float64(plain.used)/float64(direct.used), "cpu/direct")
		b.ReportMetric(float64((claimed.took - plain.took).Microseconds()), "us/claim")
		b.ReportMetric(float64((claimed.used - plain.used).Microseconds()), "cpu-us/claim")
		b.ReportMetric(float64((plain.took - direct.took).Microseconds()), "added-us")
		b.ReportMetric(float64((plain.used - direct.used).Microseconds()), "added-cpu-us")
	}
}
