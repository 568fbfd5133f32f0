package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/platform"
)

const (
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout bounds the idle time of a caller's kept connection.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 16 << 10
)

// setUserTimeout makes a connection fail whose peer acknowledges nothing for a while.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

func (f *FleetNode) listen(s configurer.FleetNode) error {
	e := listener.NewEcho()
	f.node.AddRoutes(e)
	f.peers = &listener.Server{Address: s.Bind(s.Peer()), Echo: e}
	if err := f.peers.Start(); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	// A worker that reports nothing for a lease holds nothing any more. Each VM that moves leaves a connection behind
	// that nobody closes; hundreds of moves a second would use up the leader's descriptors.
	lease := workLease(s)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { meter.Write(w) })
	for _, h := range []struct {
		address manager.Address
		handler http.Handler
		idle    time.Duration
	}{
		{s.Front, platform.Front{API: f.node}, idleTimeout},
		{s.Ready, platform.Ready{Check: f.Ready}, idleTimeout},
		{s.Control, &platform.Control{API: f.node}, lease.Std()},
		{manager.Address(net.JoinHostPort(s.Address, fmt.Sprint(s.MetricsPort))), metrics, idleTimeout},
	} {
		if err := f.serve(s.Bind(h.address), h.handler, h.idle); err != nil {
			return err
		}
	}
	return nil
}

// workLease is how long a worker goes on without being heard.
func workLease(s configurer.FleetNode) manager.Duration {
	return min(dispatcher.DefaultLease, s.Work.MaxLeaseMs)
}

func (f *FleetNode) serve(a manager.Address, h http.Handler, idle time.Duration) error {
	l, err := (&net.ListenConfig{Control: setUserTimeout}).Listen(context.Background(), "tcp", string(a))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, manager.LogListenerFailed, "Address", a)
			f.fail(fmt.Errorf("serve %s: %w", a, err))
		}
	}()
	return nil
}
