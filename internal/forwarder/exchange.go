package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxAnswerBytes bounds an upstream's body; each request in flight may hold this much memory.
	maxAnswerBytes = 8 << 20
	// dialTimeout bounds the wait for a connection to an upstream.
	dialTimeout = 1 * time.Second
	// headerRunState is the header in which run states travel.
	headerRunState = "Run-State"
	// headerRequestID is the header of the caller's request id.
	headerRequestID = "Request-Id"
)

var (
	errNotSent  = eris.New("nothing was sent to the upstream")
	errTooLarge = eris.New("the upstream's answer is too large")
)

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Exchanger sends one request to one upstream over a connection of its own, so that no layer below
// can send it again and no late answer can reach another request.
type Exchanger struct {
	client *http.Client
}

// NewExchanger returns an Exchanger.
func NewExchanger() *Exchanger {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Join(errNotSent, err)
			}
			return c, nil
		},
	}
	return &Exchanger{client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Exchange returns the whole answer, or an error with the run state that is certain.
func (e *Exchanger) Exchange(ctx context.Context, a manager.Address, in *request) (answer, manager.RunState, error) {
	r, err := http.NewRequestWithContext(ctx, in.method, "http://"+string(a)+in.path, bytes.NewReader(in.body))
	if err != nil {
		return answer{}, manager.RunStateNotRun, fmt.Errorf("create request: %w", err)
	}
	// Without GetBody the transport can't send a body a second time.
	r.GetBody = nil
	r.Header = in.header.Clone()
	r.Header.Set(headerRequestID, string(in.id))
	tracer.Inject(ctx, r.Header)
	response, err := e.client.Do(r)
	if err != nil {
		if errors.Is(err, errNotSent) {
			return answer{}, manager.RunStateNotRun, fmt.Errorf("connect: %w", err)
		}
		return answer{}, manager.RunStateUnknown, fmt.Errorf("exchange: %w", err)
	}
	defer response.Body.Close()
	return readAnswer(response)
}

func readAnswer(response *http.Response) (answer, manager.RunState, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, manager.RunStateUnknown, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return answer{}, manager.RunStateUnknown, errTooLarge
	}
	state := manager.RunStateRan
	if response.Header.Get(headerRunState) == string(manager.RunStateNotRun) {
		state = manager.RunStateNotRun
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, state, nil
}
