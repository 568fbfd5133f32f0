package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

// timeout bounds one call; it exceeds the gateway's own search for a leader.
const timeout = 15 * time.Second

// maxAnswerBytes limits the size of an answer.
const maxAnswerBytes = 64 << 20

// Client calls the operators' API of one gateway.
type Client struct {
	// URL is the gateway's, such as http://127.0.0.1:8080.
	URL   string
	Token string
	// HTTP is the client to use; nil takes one of its own.
	HTTP *http.Client
}

// Get reads a path into answer.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	return c.do(ctx, http.MethodGet, path, nil, answer)
}

// Post sends body to a path and reads the answer.
func (c *Client) Post(ctx context.Context, path string, body, answer any) error {
	return c.do(ctx, http.MethodPost, path, body, answer)
}

// Ready tells whether the gateway takes work.
func (c *Client) Ready(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := c.client().Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (c *Client) do(ctx context.Context, method, path string, body, answer any) error {
	var data bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&data).Encode(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.URL+path, &data)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	tracer.Inject(ctx, r.Header)
	response, err := c.client().Do(r)
	if err != nil {
		return fmt.Errorf("call gateway: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("gateway refused: %w", translator.ReadError(response))
	}
	if err := decoder.Read(response.Body, maxAnswerBytes, answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
