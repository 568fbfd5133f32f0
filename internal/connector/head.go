package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// readHead reads a status line and headers up to the empty line.
func readHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > maxHeadBytes {
			return nil, ErrHeadTooBig
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return head, fmt.Errorf("read headers: %w", notEnd(err))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(head, line) {
			return head, nil
		}
	}
}

// endsLine tells whether line is a line of its own and not the end of one that filled the buffer.
func endsLine(head, line []byte) bool {
	before := len(head) - len(line)
	return before > 0 && head[before-1] == '\n'
}

// notEnd makes an end of input in the midst of a message an error of its own.
func notEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkFraming refuses heads on whose body length two readers could disagree.
func checkFraming(head []byte) error {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, value, ok := strings.Cut(strings.TrimRight(string(line), "\r"), ":")
		if !ok {
			continue
		}
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return fmt.Errorf("transfer encoding %q: %w", value, ErrFraming)
			}
		}
	}
	if lengths+encodings > 1 {
		return fmt.Errorf("%d lengths and %d transfer encodings: %w", lengths, encodings, ErrFraming)
	}
	return nil
}

// reader reads answers from a connection's buffer. Its own buffer holds what http.ReadResponse read
// ahead, so that bytes behind an answer can be told.
type reader struct {
	source *bufio.Reader
	body   *bufio.Reader
}

// incoming is an answer whose body ends with its exchange.
type incoming struct {
	*http.Response
}

// next reads the head of the next answer, skipping interim ones.
func (r *reader) next(request *http.Request) (*incoming, error) {
	for range maxInterim {
		head, err := readHead(r.source)
		if err != nil {
			return nil, err
		}
		if err := checkFraming(head); err != nil {
			return nil, err
		}
		r.body.Reset(io.MultiReader(bytes.NewReader(head), r.source))
		response, err := http.ReadResponse(r.body, request) //nolint:bodyclose // The exchange ends it with its connection.
		if err != nil {
			return nil, fmt.Errorf("parse headers: %w", errors.Join(ErrFraming, err))
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSwitch
		}
		if response.StatusCode >= http.StatusOK {
			return &incoming{Response: response}, nil
		}
		if r.body.Buffered() > 0 {
			return nil, fmt.Errorf("interim answer with a body: %w", ErrFraming)
		}
	}
	return nil, fmt.Errorf("%d interim answers: %w", maxInterim, ErrFraming)
}

// drained tells whether nothing is left after an answer.
func (r *reader) drained() bool {
	return r.source.Buffered() == 0 && r.body.Buffered() == 0
}
