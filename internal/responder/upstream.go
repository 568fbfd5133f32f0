package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/relayer"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Upstream is a stand-in instance of a service.
type Upstream struct {
	// Announcement is what the upstream says of itself; Run fills in its address and the counters.
	Announcement manager.Announcement
	// Gateways are the addresses that take announcements, used in turn.
	Gateways []manager.Address
	// Work is how long one request takes.
	Work time.Duration
	// Period is the pause between two announcements, in milliseconds.
	Period manager.Duration
	// Log records the runs.
	Log *RunLog
	// Relay, if set, stands between the upstream and those that call it.
	Relay *relayer.Relay

	mu       sync.Mutex
	server   *http.Server
	inFlight int
	maximum  int
	turn     int
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	client   *http.Client
}

// Echo is the body of the stand-in's answers.
type Echo struct {
	Upstream  manager.UpstreamID
	RequestID manager.RequestID
	Method    string
	Path      string
	Body      string
	// Traceparent is the trace context that arrived with the request.
	Traceparent string
}

// Run serves and announces until Stop.
func (u *Upstream) Run() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen as upstream: %w", err)
	}
	u.Announcement.Address = manager.Address(l.Addr().String())
	if u.Relay != nil {
		u.Relay.Target = u.Announcement.Address
		if err := u.Relay.Run(); err != nil {
			return errors.Join(err, l.Close())
		}
		u.Announcement.Address = u.Relay.Addr()
	}
	u.Announcement.State = manager.UpstreamReady
	u.Announcement.Incarnation++
	u.Announcement.Sequence = 0
	u.client = &http.Client{Timeout: time.Second}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.loops.Go(func() { u.announceLoop(ctx) })
	return nil
}

func (u *Upstream) announceLoop(ctx context.Context) {
	t := time.NewTicker(u.Period.Std())
	defer t.Stop()
	for {
		u.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// announce tries the gateways in turn, starting with the next one, until one takes the announcement.
func (u *Upstream) announce(ctx context.Context) {
	u.mu.Lock()
	u.Announcement.Sequence++
	u.Announcement.InFlight = u.inFlight
	a := u.Announcement
	u.turn++
	turn := u.turn
	u.mu.Unlock()
	body, err := json.Marshal(a)
	if err != nil {
		klog.ErrorS(err, "Announcement not encoded")
		return
	}
	for i := range u.Gateways {
		if u.post(ctx, u.Gateways[(turn+i)%len(u.Gateways)], body) {
			return
		}
	}
}

func (u *Upstream) post(ctx context.Context, a manager.Address, body []byte) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+"/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := u.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if !u.enter() {
		w.Header().Set("Run-State", string(manager.RunStateNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.leave()
	ctx, span := tracer.Start(tracer.Extract(r.Context(), r.Header), "upstream request")
	defer span.End()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := manager.RequestID(r.Header.Get("Request-Id"))
	u.Log.Add(id, r.Header.Get("Idempotent") != "false")
	select {
	case <-time.After(u.Work):
	case <-ctx.Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{
		Upstream: u.Announcement.Upstream, RequestID: id, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body),
		Traceparent: r.Header.Get("Traceparent"),
	})
}

func (u *Upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight >= int(u.Announcement.Slots) {
		u.maximum = max(u.maximum, u.inFlight+1)
		return false
	}
	u.inFlight++
	u.maximum = max(u.maximum, u.inFlight)
	return true
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// InFlight returns the requests that run now.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight
}

// Maximum returns the most requests that ever arrived at once; more than Slots is a breach.
func (u *Upstream) Maximum() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maximum
}

// Leave says that no new work shall come.
func (u *Upstream) Leave() {
	u.mu.Lock()
	u.Announcement.State = manager.UpstreamLeaving
	u.mu.Unlock()
	u.announce(context.Background())
}

// Stop ends the upstream; requests in flight are cut unless it left and drained before.
func (u *Upstream) Stop() {
	if u.cancel != nil {
		u.cancel()
	}
	u.loops.Wait()
	if u.server != nil {
		_ = u.server.Close()
	}
	if u.client != nil {
		u.client.CloseIdleConnections()
	}
}
