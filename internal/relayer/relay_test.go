package relayer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho returns a relay to a server that returns what it gets.
func startEcho(t *testing.T) *Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	r := &Relay{Target: manager.Address(l.Addr().String())}
	require.NoError(t, r.Run())
	t.Cleanup(func() {
		r.Close()
		require.NoError(t, l.Close())
	})
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", string(r.Addr()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes sends a byte and tells whether it comes back within wait.
func echoes(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	return arrives(t, c, wait)
}

func arrives(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

const (
	long  = 10 * time.Second
	short = 50 * time.Millisecond
)

func TestCutHoldsAndHealDelivers(t *testing.T) {
	r := startEcho(t)
	c := dial(t, r)
	require.True(t, echoes(t, c, long))
	r.Cut()
	require.False(t, echoes(t, c, short))
	r.Heal()
	require.True(t, arrives(t, c, long))
}

func TestSilenceKeepsNewConnectionsWorking(t *testing.T) {
	r := startEcho(t)
	old := dial(t, r)
	require.True(t, echoes(t, old, long))
	r.Silence()
	require.False(t, echoes(t, old, short))
	require.True(t, echoes(t, dial(t, r), long))
}
