package connector_test

import (
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange compares the exchangers in one run; the ratios are against the library's client
// without kept connections, which is the other way never to resend.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer server.Close()
	s := &standIn{address: manager.Address(server.Listener.Addr().String())}
	own := newConnector(b)
	closing, keeping := &connector.Transport{}, &connector.Transport{KeepAlive: true}
	closing.Start()
	keeping.Start()
	defer closing.Stop()
	defer keeping.Stop()
	const requests = 1_000
	for b.Loop() {
		took, used := map[string]float64{}, map[string]float64{}
		for name, e := range map[string]connector.Exchanger{"own": own, "closing": closing, "keeping": keeping} {
			start, before := time.Now(), cpu()
			for range requests {
				if _, err := exchange(e, s, "x", true); err != nil {
					b.Fatal(err)
				}
			}
			took[name], used[name] = float64(time.Since(start)), float64(cpu()-before)
		}
		b.ReportMetric(took["own"]/took["closing"], "time/closing")
		b.ReportMetric(used["own"]/used["closing"], "cpu/closing")
		b.ReportMetric(took["own"]/took["keeping"], "time/keeping")
		b.ReportMetric(used["own"]/used["keeping"], "cpu/keeping")
		b.ReportMetric(took["own"]/requests/1000, "own-us")
	}
}
