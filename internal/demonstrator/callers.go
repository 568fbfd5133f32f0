package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// callers send requests through the gateways and check every answer.
type callers struct {
	gateways []manager.Address
	log      *responder.RunLog
	pause    time.Duration

	mu         sync.Mutex
	states     map[manager.RunState]int
	latency    *hdrhistogram.Histogram
	violations []string
	work       sync.WaitGroup
	cancel     context.CancelFunc
	client     *http.Client
}

const (
	highestLatency = int64(60_000_000) // microseconds
	latencyDigits  = 3
)

// run starts one caller for each service at each gateway.
func (c *callers) run() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.states = map[manager.RunState]int{}
	c.latency = hdrhistogram.New(1, highestLatency, latencyDigits)
	c.client = &http.Client{}
	for _, g := range c.gateways {
		for i, s := range services {
			c.work.Go(func() { c.call(ctx, g, s, i) })
		}
	}
}

func (c *callers) stop() {
	c.cancel()
	c.work.Wait()
	c.client.CloseIdleConnections()
}

// call sends requests until ctx ends; every third one is not idempotent.
func (c *callers) call(ctx context.Context, g manager.Address, s manager.ServiceID, n int) {
	const nonIdempotentEvery = 3
	for ctx.Err() == nil {
		n++
		c.send(g, s, n%nonIdempotentEvery != 0)
		time.Sleep(c.pause)
	}
}

func (c *callers) send(g manager.Address, s manager.ServiceID, idempotent bool) {
	id := manager.RequestID(uuid.Must(uuid.NewV7()).String())
	url := fmt.Sprintf("http://%s/services/%s/lots/%s", g, s, id)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewBufferString(string(id)))
	if err != nil {
		c.violate("request %s: %v", id, err)
		return
	}
	r.Header.Set("Request-Id", string(id))
	r.Header.Set("Idempotent", fmt.Sprint(idempotent))
	start := time.Now()
	response, err := c.client.Do(r)
	if err != nil {
		c.violate("request %s was cut: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.violate("answer to %s was cut: %v", id, err)
		return
	}
	c.check(id, idempotent, response, body, time.Since(start))
}

func (c *callers) check(id manager.RequestID, idempotent bool, response *http.Response, body []byte, took time.Duration) {
	state := manager.RunState(response.Header.Get("Run-State"))
	runs := c.log.Runs(id)
	c.mu.Lock()
	c.states[state]++
	_ = c.latency.RecordValue(took.Microseconds())
	c.mu.Unlock()
	switch {
	case !idempotent && runs > 1:
		c.violate("request %s ran %d times", id, runs)
	case state == manager.RunStateNotRun && runs > 0:
		c.violate("request %s was answered not-run but ran", id)
	case state == manager.RunStateRan:
		var e responder.Echo
		if err := json.Unmarshal(body, &e); err != nil || e.RequestID != id || e.Body != string(id) {
			c.violate("request %s got another answer: %s", id, body)
		}
	case state == "":
		c.violate("request %s got no run state", id)
	}
}

func (c *callers) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
