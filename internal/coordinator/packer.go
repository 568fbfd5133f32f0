package coordinator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"
)

// minPackedBytes is the size from which bodies between nodes are packed: a configuration of hundreds of
// queues takes seconds on a thin link, unpacked.
const minPackedBytes = 4 << 10

// packer compresses bodies one after the other with a single writer, as each writer takes a megabyte.
type packer struct {
	mu sync.Mutex
	w  *gzip.Writer
}

// pack returns the compressed body.
func (p *packer) pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.w == nil {
		w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("create packer: %w", err)
		}
		p.w = w
	}
	p.w.Reset(&b)
	if _, err := p.w.Write(data); err != nil {
		return nil, fmt.Errorf("pack body: %w", err)
	}
	if err := p.w.Close(); err != nil {
		return nil, fmt.Errorf("pack body: %w", err)
	}
	return b.Bytes(), nil
}

// answer sends v as JSON, packed where it is large and the caller takes that.
func (p *packer) answer(c echo.Context, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	if len(data) >= minPackedBytes && strings.Contains(c.Request().Header.Get(echo.HeaderAcceptEncoding), "gzip") {
		if data, err = p.pack(data); err != nil {
			return err
		}
		c.Response().Header().Set(echo.HeaderContentEncoding, "gzip")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, data)
}
