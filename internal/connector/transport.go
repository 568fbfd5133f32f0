package connector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var errNotSent = eris.New("nothing was sent to the upstream")

// Transport is the naive Exchanger over net/http's client. With kept connections the client resends by
// itself what it takes to be repeatable, and it can't tell whether a byte was sent.
type Transport struct {
	// KeepAlive keeps connections.
	KeepAlive bool

	client *http.Client
}

var _ Exchanger = (*Transport)(nil)

// Start prepares the client.
func (t *Transport) Start() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:  !t.KeepAlive,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Join(errNotSent, err)
			}
			return c, nil
		},
	}
	t.client = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Stop closes the kept connections.
func (t *Transport) Stop() { t.client.CloseIdleConnections() }

// Exchange sends a request, or more than once where the library thinks fit.
func (t *Transport) Exchange(ctx context.Context, to Target, r Request) (*Answer, error) {
	request, err := newRequest(to.Address, r)
	if err != nil {
		return nil, err
	}
	request = request.WithContext(ctx)
	request.URL.Scheme, request.URL.Host = "http", string(to.Address)
	setBody(request, r.Body)
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
	response, err := t.client.Do(request)
	if err != nil {
		state := manager.RunStateUnknown
		if errors.Is(err, errNotSent) {
			state = manager.RunStateNotRun
		}
		return nil, ErrExchange{RunState: state, Stage: "send", Err: err}
	}
	defer response.Body.Close()
	body, err := readHeld(&incoming{Response: response}, r.Grow)
	if err != nil || body.rest {
		return nil, ErrExchange{RunState: manager.RunStateUnknown, Stage: "answer", Err: fmt.Errorf("read answer: %w", err)}
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body.held, Length: int64(len(body.held))}, nil
}
