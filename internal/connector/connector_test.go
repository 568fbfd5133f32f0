package connector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// closesAfterReading answers the first request of a connection and closes after reading the second.
func closesAfterReading(u turn) bool {
	return u.request == 1 && write(u.conn, ok(u.body))
}

func TestUpstreamThatClosesAfterReadingRunsEachRequestOnce(t *testing.T) {
	s := newStandIn(t, closesAfterReading)
	c := newConnector(t)
	_, err := exchange(c, s, "first", true)
	require.NoError(t, err)
	_, err = exchange(c, s, "second", true)
	requireState(t, err, manager.RunStateUnknown)
	require.Equal(t, []string{"first", "second"}, s.ran())
	require.Equal(t, 1, s.connections())
}

// The library behind the naive exchanger sends the second request again by itself.
func TestNaiveTransportRunsRequestTwice(t *testing.T) {
	s := newStandIn(t, closesAfterReading)
	naive := &connector.Transport{KeepAlive: true}
	naive.Start()
	defer naive.Stop()
	_, err := exchange(naive, s, "first", true)
	require.NoError(t, err)
	_, err = exchange(naive, s, "second", true)
	require.NoError(t, err)
	require.Equal(t, []string{"first", "second", "second"}, s.ran())
}

func TestDeadIdleConnectionIsReplacedBeforeSending(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := newStandIn(t, func(u turn) bool {
		write(u.conn, ok(u.body))
		u.conn.Close()
		closed <- struct{}{}
		return false
	})
	c := newConnector(t)
	for _, body := range []string{"first", "second"} {
		a, err := exchange(c, s, body, false)
		require.NoError(t, err)
		require.Equal(t, body, string(a.Body))
		<-closed
	}
	require.Equal(t, []string{"first", "second"}, s.ran())
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := newStandIn(t, closesAfterReading)
	s.l.Close()
	_, err := exchange(newConnector(t), s, "first", false)
	requireState(t, err, manager.RunStateNotRun)
}

func TestAnswersThatAreNotWholeAreUnknown(t *testing.T) {
	answers := map[string]string{
		"nothing":                  "",
		"cut headers":              "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body":                 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunk":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no last chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"bad chunk size":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
		"no length":                "HTTP/1.1 200 OK\r\n\r\nhalf",
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf",
		"length and chunked":       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other encoding":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"negative length":          "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"large headers":            "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 70_000) + "\r\n\r\n",
		"endless interim answers":  strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20),
		"unasked switch":           "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"not HTTP":                 "220 mail ready\r\n\r\n",
		"space before a colon":     "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nhalf",
		"not-run but not complete": "HTTP/1.1 503 No\r\nRun-State: not-run\r\nContent-Length: 4\r\n\r\nno",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, func(u turn) bool {
				write(u.conn, text)
				return false
			})
			c := newConnector(t)
			_, err := exchange(c, s, "x", false)
			requireState(t, err, manager.RunStateUnknown)
			require.Len(t, s.ran(), 1)
			require.Zero(t, c.Open(s.address))
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	answers := map[string]struct{ text, body string }{
		"length":       {ok("four"), "four"},
		"chunked":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "four"},
		"interim":      {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("four"), "four"},
		"no content":   {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"not modified": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
		"trailer":      {"HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nSum: 9\r\n\r\n", "four"},
	}
	for name, want := range answers {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, func(u turn) bool { return write(u.conn, want.text) })
			c := newConnector(t)
			for range 3 {
				a, err := exchange(c, s, "x", true)
				require.NoError(t, err)
				require.True(t, a.Whole())
				require.Equal(t, want.body, string(a.Body))
				if name == "trailer" {
					require.Equal(t, "9", a.Trailer.Get("Sum"))
				}
			}
			require.Equal(t, 1, s.connections())
		})
	}
}

func TestTrailingBytesNeverReachTheNextRequest(t *testing.T) {
	s := newStandIn(t, func(u turn) bool { return write(u.conn, ok(u.body)+ok("stray")) })
	c := newConnector(t)
	for i := range 5 {
		body := fmt.Sprint("own-", i)
		a, err := exchange(c, s, body, true)
		require.NoError(t, err)
		require.Equal(t, body, string(a.Body))
	}
	require.Equal(t, 5, s.connections())
}

func TestLateAnswerReachesNobody(t *testing.T) {
	late := make(chan struct{})
	s := newStandIn(t, func(u turn) bool {
		if u.body == "slow" {
			<-late
		}
		return write(u.conn, ok(u.body))
	})
	c := newConnector(t)
	_, err := exchangeWithin(c, s, "slow", false, 50*time.Millisecond)
	requireState(t, err, manager.RunStateUnknown)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	close(late)
	for range 3 {
		a, err := exchange(c, s, "quick", true)
		require.NoError(t, err)
		require.Equal(t, "quick", string(a.Body))
	}
}

func TestLargeAnswerIsStreamedAndItsCutSeen(t *testing.T) {
	const size = connector.MaxHeldBytes + 1000
	for _, cut := range []int{0, 10} {
		s := newStandIn(t, func(u turn) bool {
			return write(u.conn, ok(strings.Repeat("a", size))[:len(ok(strings.Repeat("a", size)))-cut]) && cut == 0
		})
		c := newConnector(t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, err := c.Exchange(ctx, connector.Target{Address: s.address, Idle: 1}, connector.Request{Method: "GET", Path: "/"})
		require.NoError(t, err)
		require.False(t, a.Whole())
		n, err := io.Copy(io.Discard, a.Rest)
		require.Equal(t, int64(size-cut), n)
		require.Equal(t, cut > 0, err != nil)
		require.NoError(t, a.Rest.Close())
		require.Equal(t, cut == 0, c.Open(s.address) == 1)
	}
}

func TestRefusalOfLargeRequestIsHeardBeforeItIsSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		write(conn, "HTTP/1.1 503 No\r\nRun-State: not-run\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 100))
		time.Sleep(50 * time.Millisecond)
	})
	c := newConnector(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Exchange(ctx, connector.Target{Address: manager.Address(l.Addr().String())},
		connector.Request{Method: "POST", Path: "/", Body: make([]byte, 32<<20)})
	require.NoError(t, err)
	require.Equal(t, "no", string(a.Body))
	require.Equal(t, "not-run", a.Header.Get("Run-State"))
	require.Zero(t, c.Open(manager.Address(l.Addr().String())))
}

// A silent connection stands for one that something between the two ends has forgotten.
func TestSilentConnectionIsAbandonedOnceNewOnesWork(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	s := newStandIn(t, func(u turn) bool {
		if u.connection == 1 && u.request == 2 {
			<-block
		}
		return write(u.conn, ok(u.body))
	})
	c := newConnector(t)
	_, err := exchange(c, s, "first", true)
	require.NoError(t, err)
	_, err = exchangeWithin(c, s, "second", true, 2*time.Second)
	require.ErrorIs(t, err, connector.ErrSilent)
	requireState(t, err, manager.RunStateUnknown)
	a, err := exchange(c, s, "third", true)
	require.NoError(t, err)
	require.Equal(t, "third", string(a.Body))
}
