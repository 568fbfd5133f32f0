package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// FuzzAnswer feeds any bytes as an answer: it is whole or an error, within bounds, and never hangs.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(ok("four")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 A\r\n\r\nHTTP/1.1 204 B\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = far.Write(data)
			far.Close()
		}()
		c := &connector.Connector{
			Clock: timekeeper.New(),
			Dial:  func(context.Context, manager.Address) (net.Conn, error) { return near, nil },
		}
		c.Start()
		defer c.Stop()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := c.Exchange(ctx, connector.Target{Address: "u:1"}, connector.Request{Method: "GET", Path: "/"})
		require.NoError(t, ctx.Err())
		if err != nil {
			require.True(t, connector.IsErrExchange(err))
			return
		}
		require.LessOrEqual(t, len(a.Body), connector.MaxHeldBytes)
		if !a.Whole() {
			_, _ = io.Copy(io.Discard, a.Rest)
			a.Rest.Close()
		}
	})
}
