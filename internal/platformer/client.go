package platformer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

// DefaultTimeout bounds one call; a call that hangs longer holds up the orders for all other VMs.
const DefaultTimeout = 2 * manager.Second

// Client is the platform and its workers over HTTP.
type Client struct {
	Address manager.Address
	Token   string
	HTTP    *http.Client
	// Timeout bounds one call, in milliseconds.
	Timeout manager.Duration

	// unusedVMs and unusedReports are the numbers of unusable entries in the latest lists.
	unusedVMs     atomic.Int64
	unusedReports atomic.Int64
}

var (
	_ manager.Platform = (*Client)(nil)
	_ manager.Worker   = (*Client)(nil)
)

// Drain lets the VM finish its work and take no more.
func (c *Client) Drain(ctx context.Context, v manager.VMID, e manager.Epoch) error {
	return c.post(ctx, PathDrain, VMOrder{VM: v, Epoch: e})
}

// Reboot restarts a drained VM.
func (c *Client) Reboot(ctx context.Context, v manager.VMID, e manager.Epoch) error {
	return c.post(ctx, PathReboot, VMOrder{VM: v, Epoch: e})
}

// Restore puts a drained VM back to work in a pool.
func (c *Client) Restore(ctx context.Context, v manager.VMID, e manager.Epoch, p manager.PoolID) error {
	return c.post(ctx, PathRestore, VMOrder{VM: v, Epoch: e, Pool: p})
}

// Observe returns the state of every VM.
func (c *Client) Observe(ctx context.Context) ([]manager.VMObservation, error) {
	return readList(ctx, c, PathVMs, &c.unusedVMs, validateObservation)
}

// Start starts the task of a lease unless that lease was started before.
func (c *Client) Start(ctx context.Context, l manager.Lease, j manager.Job) error {
	return c.post(ctx, PathStart, TaskOrder{Lease: l, Job: &j})
}

// Order throttles, checkpoints or stops a task.
func (c *Client) Order(ctx context.Context, l manager.Lease, o manager.TaskOrder) error {
	return c.post(ctx, PathOrder, TaskOrder{Lease: l, Order: o})
}

// Renew prolongs a lease.
func (c *Client) Renew(ctx context.Context, l manager.Lease) error {
	return c.post(ctx, PathRenew, TaskOrder{Lease: l})
}

// Usage returns the reports of all tasks, those that ended included.
func (c *Client) Usage(ctx context.Context) ([]manager.UsageReport, error) {
	return readList(ctx, c, PathTasks, &c.unusedReports, validateReport)
}

func (c *Client) post(ctx context.Context, path string, body any) error {
	var done Done
	return c.do(ctx, http.MethodPost, path, body, &done)
}

func (c *Client) do(ctx context.Context, method, path string, body, answer any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	var data bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&data).Encode(body); err != nil {
			return fmt.Errorf("encode order: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.Address)+path, &data)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	tracer.Inject(ctx, r.Header)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("call platform: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform refused %s: %w", path, translator.ReadError(response))
	}
	if text, ok := answer.(*rawText); ok {
		return text.read(response.Body)
	}
	if err := decoder.Read(response.Body, maxAnswerBytes, answer); err != nil {
		return fmt.Errorf("decode platform's answer: %w", err)
	}
	return nil
}
