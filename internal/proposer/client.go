package proposer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

const (
	// DefaultTimeout limits one call; it must exceed the time of an election, or calls fail during one.
	DefaultTimeout = 5 * manager.Second
	// tryTimeout limits one attempt at one controller, so that an unresponsive or unreachable controller
	// does not use up the time of the call; it must exceed the wait for a newer configuration.
	tryTimeout = 2 * manager.Second
	// maxAnswerBytes limits the size of an answer.
	maxAnswerBytes = 64 << 20
	// retryPause is the delay between two rounds of attempts over all controllers.
	retryPause = 50 * time.Millisecond
)

// Client sends requests to the leader of the controllers.
type Client struct {
	Controllers []manager.Address
	Token       string
	HTTP        *http.Client
	// Timeout limits one call with all its attempts, in milliseconds; 0 means DefaultTimeout.
	Timeout manager.Duration
	// Scheme is "http" unless the controllers listen with TLS.
	Scheme string

	mu         sync.Mutex
	leader     manager.Address
	preference []manager.Address
}

// Propose sends a command; it is retried only if it names an ID or certainly was not accepted.
func (c *Client) Propose(ctx context.Context, command manager.Command) (manager.Result, error) {
	var result manager.Result
	call := call{method: http.MethodPost, path: PathPropose, body: command, answer: &result}
	call.idempotent = command.Command != "" || command.MakeClaim != nil || command.RecordAnswer != nil || command.ClaimBatch != nil
	if err := c.do(ctx, call); err != nil {
		if errors.Is(err, errLost) {
			return result, errors.Join(manager.ErrOutcomeUnknown{Command: command.Command}, err)
		}
		return result, fmt.Errorf("propose: %w", err)
	}
	if result.Failure != nil {
		return result, result.Failure.Err()
	}
	return result, nil
}

// Fleet reads the fleet's state.
func (c *Client) Fleet(ctx context.Context) (manager.Fleet, error) {
	var f manager.Fleet
	err := c.read(ctx, PathFleet, &f)
	return f, err
}

// Gateways reads the leader's record of the gateways.
func (c *Client) Gateways(ctx context.Context) ([]GatewayStatus, error) {
	var list []GatewayStatus
	err := c.read(ctx, PathGateways, &list)
	return list, err
}

// History reads the versions of a profile.
func (c *Client) History(ctx context.Context, p manager.ProfileID) (History, error) {
	var h History
	err := c.read(ctx, PathHistory+"?Profile="+url.QueryEscape(string(p)), &h)
	return h, err
}

// Job reads a job and what it is waiting for.
func (c *Client) Job(ctx context.Context, j manager.JobID) (manager.JobStatus, error) {
	var status manager.JobStatus
	err := c.read(ctx, PathJob+"?Job="+url.QueryEscape(string(j)), &status)
	return status, err
}

// Plan requests a plan for a maintenance wave; the plan is not stored yet.
func (c *Client) Plan(ctx context.Context, r PlanRequest) (PlanAnswer, error) {
	var a PlanAnswer
	err := c.post(ctx, PathPlan, r, &a)
	return a, err
}

// Preview requests the effects that a profile change would have.
func (c *Client) Preview(ctx context.Context, p manager.Profile) (manager.ProfilePreview, error) {
	var preview manager.ProfilePreview
	err := c.post(ctx, PathPreview, p, &preview)
	return preview, err
}

// Reserves reads the current and the wanted reserve of each pool.
func (c *Client) Reserves(ctx context.Context) ([]manager.PoolReserve, error) {
	var list []manager.PoolReserve
	err := c.read(ctx, PathReserves, &list)
	return list, err
}

// Configuration requests a newer configuration.
func (c *Client) Configuration(ctx context.Context, r ConfigurationRequest) (Configuration, error) {
	var cfg Configuration
	err := c.post(ctx, PathConfiguration, r, &cfg)
	return cfg, err
}

// Report sends the demand that a gateway observed.
func (c *Client) Report(ctx context.Context, r DemandReport) error {
	var a Acknowledgement
	return c.post(ctx, PathDemand, r, &a)
}

func (c *Client) read(ctx context.Context, path string, answer any) error {
	if err := c.do(ctx, call{method: http.MethodGet, path: path, answer: answer, idempotent: true}); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	if err := c.do(ctx, call{method: http.MethodPost, path: path, body: body, answer: answer, idempotent: true}); err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	return nil
}

// call is one request to the leader.
type call struct {
	method string
	path   string
	body   any
	answer any
	// idempotent reports that the request can be sent twice without harm.
	idempotent bool
}

// do tries the last known leader, then every controller, until one answers or the timeout expires.
func (c *Client) do(ctx context.Context, call call) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	last := error(manager.ErrUnavailable{Component: "controllers", Reason: "none is known"})
	for {
		for _, a := range c.order() {
			err := c.try(ctx, a, call)
			if err == nil || final(err, call) {
				return err
			}
			last = err
		}
		if err := pause(ctx); err != nil {
			return errors.Join(manager.ErrUnavailable{Component: "controllers", Reason: "no leader answered in time"}, last)
		}
	}
}

func pause(ctx context.Context) error {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// final reports whether a retry would be useless or could do harm.
func final(err error, call call) bool {
	if errors.Is(err, errLost) || manager.IsErrOutcomeUnknown(err) {
		return !call.idempotent
	}
	if e, ok := errors.AsType[manager.ErrUnavailable](err); ok && e.Component == manager.ComponentDisk {
		return true
	}
	return !manager.IsErrNotLeader(err) && !manager.IsErrUnavailable(err) && !errors.Is(err, errNotSent)
}

// order lists the last known leader first and the controllers that failed most recently last.
func (c *Client) order() []manager.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preference == nil {
		c.preference = slices.Clone(c.Controllers)
	}
	list := make([]manager.Address, 0, len(c.preference)+1)
	if c.leader != "" {
		list = append(list, c.leader)
	}
	for _, a := range c.preference {
		if a != c.leader {
			list = append(list, a)
		}
	}
	return list
}

// setLeader makes a controller the first to be tried. An address that is not in the settings is ignored:
// it is the one by which another node reaches the leader and may not be reachable from this one.
func (c *Client) setLeader(a manager.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	if slices.Contains(c.Controllers, a) {
		c.leader = a
	}
}

// putLast clears the known leader and moves a controller to the end of the order.
func (c *Client) putLast(a manager.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	i := slices.Index(c.preference, a)
	if i >= 0 {
		c.preference = append(slices.Delete(c.preference, i, i+1), a)
	}
}

func (c *Client) try(ctx context.Context, a manager.Address, call call) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Std())
	defer cancel()
	r, err := c.request(ctx, a, call)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		c.putLast(a)
		return lostOrNotSent(a, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		err := translator.ReadError(response)
		if e, ok := errors.AsType[manager.ErrNotLeader](err); ok {
			c.setLeader(e.Leader)
		}
		return fmt.Errorf("controller %s: %w", a, err)
	}
	c.setLeader(a)
	if err := decoder.Read(response.Body, maxAnswerBytes, call.answer); err != nil {
		return fmt.Errorf("controller %s: decode answer: %w", a, errors.Join(errLost, err))
	}
	return nil
}

func (c *Client) request(ctx context.Context, a manager.Address, call call) (*http.Request, error) {
	var body bytes.Buffer
	if call.body != nil {
		if err := json.NewEncoder(&body).Encode(call.body); err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	r, err := http.NewRequestWithContext(ctx, call.method, scheme+"://"+string(a)+call.path, &body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	tracer.Inject(ctx, r.Header)
	return r, nil
}
