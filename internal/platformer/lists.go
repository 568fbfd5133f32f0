package platformer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/splitter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxAnswerBytes limits an answer of the platform.
const maxAnswerBytes = 32 << 20

// readList reads a list and leaves out the entries that can't be used. Their number is logged when it changes.
func readList[T any](ctx context.Context, c *Client, path string, unused *atomic.Int64, validate func(T) error) ([]T, error) {
	var text rawText
	if err := c.do(ctx, http.MethodGet, path, nil, &text); err != nil {
		return nil, err
	}
	entries, err := splitter.Elements(text)
	if err != nil {
		return nil, fmt.Errorf("decode platform's answer: %w", err)
	}
	list := make([]T, 0, len(entries))
	var first error
	for _, data := range entries {
		var entry T
		err := json.Unmarshal(data, &entry)
		if err == nil {
			err = validate(entry)
		}
		if err == nil {
			list = append(list, entry)
		} else if first == nil {
			first = err
		}
	}
	if n := int64(len(entries) - len(list)); unused.Swap(n) != n {
		klog.InfoS("Platform's entries not used", "Path", path, "Entries", n, "First", fmt.Sprintf("%.200v", first))
	}
	return list, nil
}

// rawText is an answer that is not decoded as a whole.
type rawText []byte

func (t *rawText) read(r io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read platform's answer: %w", err)
	}
	*t = data
	return nil
}

func validateObservation(o manager.VMObservation) error {
	if o.VM == "" || len(o.VM) > manager.MaxIDBytes {
		return manager.ErrInvalid{Field: "VM", Reason: "is missing or too long"}
	}
	switch o.State {
	case manager.VMRunning, manager.VMDraining, manager.VMDrained, manager.VMRebooting, manager.VMFailed:
		return nil
	}
	return manager.ErrInvalid{Field: "State", Reason: fmt.Sprintf("is unknown: %.80q", o.State)}
}

func validateReport(r manager.UsageReport) error {
	if r.Lease == 0 {
		return manager.ErrInvalid{Field: "Lease", Reason: "is missing"}
	}
	if r.At < 0 || r.At > manager.MaxTime || r.DoneMs < 0 || r.DoneMs > manager.MaxDuration {
		return manager.ErrInvalid{Field: "At", Reason: "or DoneMs is out of range"}
	}
	if err := r.Used.Validate(); err != nil {
		return fmt.Errorf("used resources: %w", err)
	}
	return nil
}
