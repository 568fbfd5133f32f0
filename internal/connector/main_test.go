package connector_test

import (
	"bufio"
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error())
		os.Exit(1)
	}
}

// standIn is an upstream that answers each request by a function of its connection and its number.
type standIn struct {
	address manager.Address
	mu      sync.Mutex
	// bodies lists the bodies of the requests that were read whole, in order.
	bodies []string
	opened int
	work   sync.WaitGroup
	conns  []net.Conn
	l      net.Listener
}

// turn is one request on one connection of a stand-in.
type turn struct {
	conn       net.Conn
	connection int
	request    int
	body       string
}

func newStandIn(tb testing.TB, answer func(turn) bool) *standIn {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s := &standIn{address: manager.Address(l.Addr().String()), l: l}
	s.work.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			n := s.opened
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.work.Go(func() { s.serve(conn, n, answer) })
		}
	})
	tb.Cleanup(s.close)
	return s
}

func (s *standIn) close() {
	s.l.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

func (s *standIn) serve(conn net.Conn, n int, answer func(turn) bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.Method == http.MethodOptions {
			i--
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !answer(turn{conn: conn, connection: n, request: i, body: string(body)}) {
			return
		}
	}
}

func (s *standIn) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies...)
}

func (s *standIn) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func newConnector(tb testing.TB) *connector.Connector {
	tb.Helper()
	c := &connector.Connector{Clock: timekeeper.New()}
	c.Start()
	tb.Cleanup(c.Stop)
	return c
}

// exchange sends a body and returns the answer.
func exchange(e connector.Exchanger, s *standIn, body string, idempotent bool) (*connector.Answer, error) {
	return exchangeWithin(e, s, body, idempotent, 5*time.Second)
}

func exchangeWithin(e connector.Exchanger, s *standIn, body string, idempotent bool, d time.Duration) (*connector.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	r := connector.Request{Method: http.MethodPost, Path: "/lots", Header: http.Header{}, Body: []byte(body), Idempotent: idempotent}
	if idempotent {
		r.Header.Set("Idempotency-Key", body)
	}
	return e.Exchange(ctx, connector.Target{Address: s.address, Idle: 4}, r)
}

func requireState(t *testing.T, err error, state manager.RunState) {
	t.Helper()
	require.True(t, connector.IsErrExchange(err), "%v", err)
	var e connector.ErrExchange
	require.ErrorAs(t, err, &e)
	require.Equal(t, state, e.RunState, "%v", err)
}
