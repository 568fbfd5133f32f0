package forwarder_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/internal/forwarder"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	code := m.Run()
	if err := goleak.Find(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error())
		os.Exit(1)
	}
	os.Exit(code)
}

// direct is a Limiter that sends each request to the next address at once.
type direct struct {
	addresses []manager.Address
	turn      int
	avoided   []manager.UpstreamID
}

func (d *direct) Arrive(_ manager.Time, r manager.Request) []manager.Decision {
	a := d.addresses[d.turn%len(d.addresses)]
	d.turn++
	d.avoided = append(d.avoided, r.Avoid)
	m := manager.Member{Announcement: manager.Announcement{
		Upstream: manager.UpstreamID(a), Service: r.Service, Address: a, Slots: 8, Connections: 64,
	}}
	return []manager.Decision{{Request: r.Request, Kind: manager.DecisionDispatch, Member: m}}
}

func (d *direct) Finish(manager.Time, manager.Outcome) []manager.Decision   { return nil }
func (d *direct) Cancel(manager.Time, manager.RequestID) []manager.Decision { return nil }
func (d *direct) Tick(manager.Time) []manager.Decision                      { return nil }

// controllers commit commands; each may lose the answer to a command, or the command.
type controllers struct {
	mu    sync.Mutex
	state *applier.State
	clock manager.Clock
	// fate tells for each command whether it is committed and whether the answer arrives.
	fate func() (committed, heard bool)
	// hold delays commits until it is closed.
	hold chan struct{}
}

func (c *controllers) Propose(_ context.Context, command manager.Command) (manager.Result, error) {
	if c.hold != nil {
		<-c.hold
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	committed, heard := true, true
	if c.fate != nil {
		committed, heard = c.fate()
	}
	var result manager.Result
	if committed {
		command.At = c.clock.Now()
		result = c.state.Apply(command)
	}
	if !heard {
		return manager.Result{}, manager.ErrOutcomeUnknown{}
	}
	return result, nil
}

// gateway is a Forwarder behind a listener.
type gateway struct {
	forwarder *forwarder.Forwarder
	claims    *forwarder.ClaimQueue
	connector *connector.Connector
	limiter   *direct
	server    *httptest.Server
}

func newControllers() *controllers {
	return &controllers{state: applier.New(), clock: timekeeper.New()}
}

func newGateway(tb testing.TB, c *controllers, upstreams ...manager.Address) *gateway {
	tb.Helper()
	clock := timekeeper.New()
	g := &gateway{limiter: &direct{addresses: upstreams}, connector: &connector.Connector{Clock: clock}}
	g.connector.Start()
	g.claims = &forwarder.ClaimQueue{Proposer: c}
	g.forwarder = &forwarder.Forwarder{
		Gateway: "entry-1", Clock: clock, Dispatcher: &forwarder.Dispatcher{Clock: clock, Limiter: g.limiter},
		Retrier: retrier.SingleRetry{}, Claims: g.claims, Exchanger: g.connector, Gateways: 2,
		MaxBodyBytes: 1 << 20, DefaultDeadline: 5 * manager.Second,
		Ready: func() (manager.RefusalCode, error) { return "", nil },
	}
	e := echo.New()
	e.Any("/services/:Service/*", g.forwarder.Handle)
	g.server = httptest.NewServer(e)
	tb.Cleanup(func() {
		g.server.Close()
		g.connector.Stop()
		g.claims.Stop()
	})
	return g
}

// upstream counts what ran by request id.
type upstream struct {
	mu      sync.Mutex
	runs    map[string]int
	headers []http.Header
	server  *httptest.Server
}

func newUpstream(tb testing.TB, answer http.HandlerFunc) *upstream {
	tb.Helper()
	u := &upstream{runs: map[string]int{}}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.runs[r.Header.Get("Request-Id")]++
		u.headers = append(u.headers, r.Header.Clone())
		u.mu.Unlock()
		if answer != nil {
			answer(w, r)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get("Request-Id"), body)
	}))
	tb.Cleanup(u.server.Close)
	return u
}

func (u *upstream) address() manager.Address {
	return manager.Address(u.server.Listener.Addr().String())
}

func (u *upstream) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// answer is what a caller got.
type answer struct {
	status  int
	state   manager.RunState
	header  http.Header
	body    string
	refusal manager.Refusal
	err     error
}

// call sends a request as a caller does, with headers as pairs of names and values.
func (g *gateway) call(method, body string, headers ...string) answer {
	r, err := http.NewRequest(method, g.server.URL+"/services/ledger/invoices", nil)
	if err != nil {
		return answer{err: err}
	}
	if body != "" {
		r.Body = io.NopCloser(&onlyReader{text: body})
		r.ContentLength = int64(len(body))
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{
		status: response.StatusCode, state: manager.RunState(response.Header.Get("Run-State")),
		header: response.Header, body: string(data), err: err,
	}
	_ = json.Unmarshal(data, &a.refusal)
	return a
}

// onlyReader hides the length of a text.
type onlyReader struct{ text string }

func (r *onlyReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.text = r.text[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// raw sends bytes and returns what comes back until the connection ends or the time is over.
func (g *gateway) raw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	data, _ := io.ReadAll(bufio.NewReader(conn))
	return string(data)
}
