package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// headerTimeout bounds the wait for a request's headers; a slower client holds a connection longer.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of a kept connection.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
)

// ErrCut reports that a stop ended before all work in flight did.
var ErrCut = eris.New("requests in flight were cut")

// Server serves an echo instance on an address.
type Server struct {
	Address manager.Address
	TLS     *configurer.TLS
	Echo    *echo.Echo

	http     *http.Server
	listener net.Listener
	inFlight atomic.Int64
	silent   silentConnections
	stopping atomic.Bool
}

// NewEcho returns an echo instance with the project's error bodies.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = translator.Handle
	return e
}

// AddHealth adds the endpoints of the balancer and of scrapers; ready returns why the process is not ready.
func AddHealth(e *echo.Echo, ready func() error) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if err := ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
		meter.Write(c.Response())
		return nil
	})
}

// Start listens and serves.
func (s *Server) Start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(s.Address))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Address, err)
	}
	if s.TLS != nil {
		pair, err := tls.LoadX509KeyPair(s.TLS.CertificateFile, s.TLS.KeyFile)
		if err != nil {
			return errors.Join(fmt.Errorf("load certificate: %w", err), l.Close())
		}
		l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12})
	}
	s.listener = l
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.silent.note,
	}
	go func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Listener failed", "Address", s.Address)
		}
	}()
	return nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Echo.ServeHTTP(w, r)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() manager.Address { return manager.Address(s.listener.Addr().String()) }

// PrepareStop asks clients, with each answer, to open no further requests on their connections. Idle
// ones stay open meanwhile, as a request may be on its way on them.
func (s *Server) PrepareStop() { s.stopping.Store(true) }

// Stop closes the listener and waits for requests in flight until stop is closed.
func (s *Server) Stop(stop <-chan struct{}) error {
	if s.http == nil {
		return nil
	}
	if err := s.listener.Close(); err != nil {
		klog.V(2).InfoS("Listener closed already", "Address", s.Address, "Error", err.Error())
	}
	s.silent.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	cut := s.inFlight.Load()
	if err := s.http.Close(); err != nil {
		klog.ErrorS(err, "Listener did not close", "Address", s.Address)
	}
	if cut == 0 {
		return nil
	}
	return fmt.Errorf("%d at %s: %w", cut, s.Address, ErrCut)
}
