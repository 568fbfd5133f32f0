package checker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	highestLatency = int64(120_000_000) // microseconds; slower answers are not recorded
	latencyDigits  = 3
	// nonIdempotentEvery is the share of requests that may run only once.
	nonIdempotentEvery = 3
	// maxAnswerBytes bounds what a caller reads of an answer.
	maxAnswerBytes = 1 << 20
)

// Callers send requests through the gateways, resend those whose fate is open to another gateway, and
// check every answer.
type Callers struct {
	Gateways []manager.Address
	Services []manager.ServiceID
	// Log is what the upstreams ran.
	Log *responder.RunLog
	// Pause is the pause of one caller between two requests.
	Pause time.Duration
	// Deadline is the deadline that requests carry, in milliseconds.
	Deadline manager.Duration
	// Balanced sends through a stand-in for the platform's balancer, which asks /readyz.
	Balanced bool
	// MayCut says that connections may break, as when gateways are killed; otherwise that is a violation.
	MayCut bool

	mu         sync.Mutex
	states     map[manager.RunState]int
	resends    int
	latency    *hdrhistogram.Histogram
	violations []string
	work       sync.WaitGroup
	cancel     context.CancelFunc
	client     *http.Client
	balancer   *balancer
}

// Run starts one caller for each service at each gateway.
func (c *Callers) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.states = map[manager.RunState]int{}
	c.latency = hdrhistogram.New(1, highestLatency, latencyDigits)
	c.client = &http.Client{Timeout: 2 * c.Deadline.Std()}
	if c.Balanced {
		c.balancer = newBalancer(c.Gateways)
		c.work.Go(func() { c.balancer.run(ctx) })
	}
	for g := range c.Gateways {
		for i, s := range c.Services {
			c.work.Go(func() { c.call(ctx, g, s, i) })
		}
	}
}

// Stop waits for the requests under way.
func (c *Callers) Stop() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	c.work.Wait()
	c.client.CloseIdleConnections()
}

func (c *Callers) call(ctx context.Context, g int, s manager.ServiceID, n int) {
	for ctx.Err() == nil {
		n++
		e := &exchange{
			id:         manager.RequestID(uuid.Must(uuid.NewV7()).String()),
			service:    s,
			idempotent: n%nonIdempotentEvery != 0,
		}
		c.finish(g, e)
		select {
		case <-ctx.Done():
		case <-time.After(c.Pause):
		}
	}
}

// exchange is one request over all its sends.
type exchange struct {
	id         manager.RequestID
	service    manager.ServiceID
	idempotent bool
	// open says that an earlier send may have run.
	open bool
}

// finish sends a request until its fate is certain or every gateway was tried.
func (c *Callers) finish(g int, e *exchange) {
	for i := range c.Gateways {
		if i > 0 {
			c.count(func() { c.resends++ })
		}
		state, err := c.send(c.pick(g+i), e)
		if err != nil && !c.MayCut {
			c.violate("request %s was cut: %v", e.id, err)
		}
		if err == nil && state != manager.RunStateUnknown {
			return
		}
		e.open = true
	}
}

func (c *Callers) pick(n int) manager.Address {
	if c.balancer != nil {
		return c.balancer.pick()
	}
	return c.Gateways[n%len(c.Gateways)]
}

func (c *Callers) send(g manager.Address, e *exchange) (manager.RunState, error) {
	url := fmt.Sprintf("http://%s/services/%s/lots/%s", g, e.service, e.id)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewBufferString(string(e.id)))
	if err != nil {
		return "", fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Request-Id", string(e.id))
	r.Header.Set("Idempotent", strconv.FormatBool(e.idempotent))
	r.Header.Set("Request-Deadline-Ms", strconv.FormatInt(int64(c.Deadline), 10))
	start := time.Now()
	response, err := c.client.Do(r)
	if err != nil {
		return "", fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	state := manager.RunState(response.Header.Get("Run-State"))
	c.count(func() {
		c.states[state]++
		_ = c.latency.RecordValue(time.Since(start).Microseconds())
	})
	c.check(e, state, body)
	return state, nil
}

func (c *Callers) check(e *exchange, state manager.RunState, body []byte) {
	runs := c.Log.Runs(e.id)
	if !e.idempotent && runs > 1 {
		c.violate("request %s ran %d times", e.id, runs)
	}
	switch state {
	case manager.RunStateNotRun:
		if runs > 0 && !e.open {
			c.violate("request %s was answered not-run but ran", e.id)
		}
	case manager.RunStateRan:
		var got responder.Echo
		if err := json.Unmarshal(body, &got); err != nil || got.RequestID != e.id || got.Body != string(e.id) {
			c.violate("request %s got another answer: %s", e.id, body)
		}
	case manager.RunStateUnknown:
	default:
		c.violate("request %s got run state %q", e.id, state)
	}
}

func (c *Callers) count(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *Callers) violate(format string, args ...any) {
	c.count(func() { c.violations = append(c.violations, fmt.Sprintf(format, args...)) })
}
