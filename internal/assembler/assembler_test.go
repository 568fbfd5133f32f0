package assembler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/mulberryhaven/mulberryhaven/internal/assembler"
	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func freeAddress(t *testing.T) manager.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return manager.Address(l.Addr().String())
}

func start(t *testing.T, s configurer.Settings) *supervisor.Supervisor {
	t.Helper()
	require.NoError(t, s.Validate())
	p := assembler.Process{Settings: s, Clock: timekeeper.New()}
	built, err := p.Build()
	require.NoError(t, err)
	require.NoError(t, built.Start())
	return built
}

// path is a controller, a gateway and one upstream of the service pricing.
type path struct {
	gateway    *supervisor.Supervisor
	controller *supervisor.Supervisor
	upstream   *responder.Upstream
	log        *responder.RunLog
	address    manager.Address
}

func startPath(t *testing.T, work time.Duration) *path {
	t.Helper()
	control, gate := freeAddress(t), freeAddress(t)
	settings := configurer.Settings{
		Node: "entry-1", AvailabilityZone: "tallinn-a",
		Tokens:      configurer.Tokens{Operator: "operator", Peer: "peer"},
		Controllers: []manager.Address{control},
		Trace:       configurer.Trace{Exporter: configurer.TraceNone},
		Stop:        configurer.Stop{ReadyDelayMs: 2_000, GraceMs: 10_000},
	}
	c := settings
	c.Services = []string{configurer.ServiceController}
	c.Controller = &configurer.Controller{
		Address: control, Replica: 1, Replicas: []configurer.Replica{{Replica: 1, Address: control}},
		DataFolder: t.TempDir(), Platform: configurer.Platform{Kind: configurer.PlatformNone},
	}
	g := settings
	g.Services = []string{configurer.ServiceGateway}
	g.Gateway = &configurer.Gateway{Address: gate, DefaultDeadlineMs: 5_000, MaxBodyBytes: 1 << 20}
	p := &path{address: gate, log: &responder.RunLog{}}
	p.controller = start(t, c)
	p.gateway = start(t, g)
	p.upstream = &responder.Upstream{
		Announcement: manager.Announcement{Upstream: "pricing-1", Service: "pricing", Slots: 8, Connections: 64},
		Gateways:     []manager.Address{gate}, Work: work, Period: 100, Log: p.log,
	}
	require.NoError(t, p.upstream.Run())
	require.Eventually(t, p.answers, 10*time.Second, 10*time.Millisecond)
	return p
}

func (p *path) answers() bool {
	response, err := send(p.address, http.MethodGet, "")
	if err != nil {
		return false
	}
	return response.Header.Get("Run-State") == string(manager.RunStateRan)
}

func send(a manager.Address, method string, id manager.RequestID) (*http.Response, error) {
	return sendOver(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, a, method, id)
}

func sendOver(client *http.Client, a manager.Address, method string, id manager.RequestID) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+string(a)+"/services/pricing/quotes/7?lot=2", nil)
	if err != nil {
		return nil, err
	}
	if id != "" {
		r.Header.Set("Request-Id", string(id))
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	return response, nil
}

func (p *path) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, p.gateway.Stop(nil))
	p.upstream.Stop()
	require.NoError(t, p.controller.Stop(nil))
}

func TestResendOfNonIdempotentRequestRunsOnce(t *testing.T) {
	p := startPath(t, 0)
	defer p.stop(t)
	for range 3 {
		response, err := send(p.address, http.MethodPost, "invoice-1")
		require.NoError(t, err)
		require.Equal(t, string(manager.RunStateRan), response.Header.Get("Run-State"))
		require.Equal(t, "invoice-1", response.Header.Get("Request-Id"))
	}
	require.Equal(t, 1, p.log.Runs("invoice-1"))
}

func TestPlannedStopOfGatewayCutsNoRequest(t *testing.T) {
	p := startPath(t, 50*time.Millisecond)
	const callers = 16
	done := make(chan struct{})
	failures := make(chan error, callers)
	var work sync.WaitGroup
	for i := range callers {
		work.Go(func() {
			// Half of the callers keep their connections, as the balancer does.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			defer client.CloseIdleConnections()
			method := []string{http.MethodGet, http.MethodPost}[i/2%2]
			for p.ready() {
				response, err := sendOver(client, p.address, method, "")
				if err != nil {
					failures <- err
					return
				}
				if response.Header.Get("Run-State") != string(manager.RunStateRan) {
					failures <- fmt.Errorf("status %d", response.StatusCode)
					return
				}
			}
		})
	}
	go func() {
		work.Wait()
		close(done)
	}()
	time.Sleep(100 * time.Millisecond)
	p.stop(t)
	<-done
	require.Empty(t, failures)
}

// ready asks /readyz as the balancer does.
func (p *path) ready() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + string(p.address) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
