package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Limits of the messages exchanged with upstreams.
const (
	// MaxHeldBytes bounds the answer body that is held until it is whole; a longer one is streamed, and
	// the caller's connection is cut if the rest does not come.
	MaxHeldBytes = 1 << 20
	// maxHeadBytes bounds the status line and headers of an answer; a longer head is refused.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the 1xx answers before the real one, which an upstream could send for ever.
	maxInterim = 8
	// inlineBytes is the request size up to which a request is written before its answer is read; a
	// larger one could block while the upstream waits for its answer to be read.
	inlineBytes = 32 << 10
)

// Causes of failed exchanges.
var (
	ErrFraming    = eris.New("the answer's framing is not valid")
	ErrHeadTooBig = eris.New("the answer's headers are too large")
	ErrNoLength   = eris.New("the answer's length is not given, so that a cut one would look whole")
	ErrSilent     = eris.New("the connection was silent while new ones worked")
	ErrSwitch     = eris.New("the upstream switched protocols unasked")
)

// ErrExchange reports an exchange that brought no whole answer.
type ErrExchange struct {
	// RunState is not-run only if no byte of the request was sent.
	RunState manager.RunState
	// Stage is what failed: connect, send or answer.
	Stage string
	Err   error
}

func (e ErrExchange) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e ErrExchange) Unwrap() error { return e.Err }

// IsErrExchange tells whether err is an ErrExchange.
func IsErrExchange(err error) bool {
	_, ok := errors.AsType[ErrExchange](err)
	return ok
}

// Target is the upstream of an exchange.
type Target struct {
	Address manager.Address
	// Idle bounds the idle connections that may be kept to it.
	Idle manager.Connections
}

// Request is a whole request.
type Request struct {
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Grow reserves n more bytes of memory for the answer; nil allows any. An answer that gets no
	// memory is streamed.
	Grow func(n int64) bool
}

// Answer is an upstream's answer. Its body is Body followed by Rest.
type Answer struct {
	Status int
	Header http.Header
	// Trailer is complete once the body was read.
	Trailer http.Header
	Body    []byte
	// Rest is what was too large to hold, or nil; it has to be closed, and an error in it means that
	// the answer was cut.
	Rest io.ReadCloser
	// Length is the length of the whole body, or -1 if it is not known beforehand.
	Length int64
}

// Whole tells whether the answer is complete in memory.
func (a *Answer) Whole() bool { return a.Rest == nil }

// Exchanger sends one request to one upstream, once.
type Exchanger interface {
	// Exchange returns the answer, or an ErrExchange.
	Exchange(ctx context.Context, to Target, r Request) (*Answer, error)
}
