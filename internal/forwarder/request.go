package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

const (
	headerDeadline   = "Request-Deadline-Ms"
	headerIdempotent = "Idempotent"
	// maxRequestIDBytes bounds a caller's request id, which claims keep in memory.
	maxRequestIDBytes = 128
	// maxDeadline bounds a caller's deadline; a planned stop waits this long at the most.
	maxDeadline = 60 * manager.Second
	// maxCallerHeaderBytes bounds a caller's headers; it is below the listener's limit, which has no
	// JSON answer.
	maxCallerHeaderBytes = 32 << 10
	// maxDrainBytes bounds what is read of a refused body; callers that send more are cut off.
	maxDrainBytes = 8 << 20
	// headerRunState is the header in which run states travel.
	headerRunState = "Run-State"
	// headerRequestID is the header of the caller's request id.
	headerRequestID = "Request-Id"
)

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// trustHeaders say what only the gateway may say; a caller's or an upstream's own is dropped.
var trustHeaders = []string{headerRunState, headerRequestID, "Expect"}

// singleHeaders must not be given twice, as two readers could pick different ones.
var singleHeaders = []string{headerRequestID, headerIdempotent, headerDeadline, echo.HeaderAuthorization, "Traceparent"}

// trusted tells whether a header is one that only the gateway sets.
func trusted(name string) bool {
	return slices.ContainsFunc(trustHeaders, func(other string) bool { return strings.EqualFold(name, other) })
}

// errMemory reports a request for which there is no memory now.
var errMemory = eris.New("too many bytes are in flight")

// errSlow reports a body that did not arrive before the deadline.
var errSlow = eris.New("the body did not arrive before the deadline")

// errTooLarge reports a request over a size limit.
type errTooLarge struct {
	status int
	code   manager.RefusalCode
	limit  int64
}

func (e errTooLarge) Error() string { return fmt.Sprintf("%s: more than %d bytes", e.code, e.limit) }

// request is a caller's whole request.
type request struct {
	id         manager.RequestID
	service    manager.ServiceID
	method     string
	path       string
	header     http.Header
	body       []byte
	idempotent bool
	deadlineMs manager.Duration
	// until is the deadline on the machine's clock, for connections.
	until  time.Time
	digest manager.ClaimDigest
	memory share
	// unread says that the body was not read to its end, so that no request can follow it.
	unread bool
}

// read reads a caller's request; the returned request is never nil.
func (f *Forwarder) read(c echo.Context) (*request, error) {
	r := c.Request()
	in := &request{
		service:    manager.ServiceID(c.Param("Service")),
		method:     r.Method,
		path:       upstreamPath(r),
		header:     forwardedHeader(r.Header),
		deadlineMs: f.DefaultDeadline,
		memory:     share{memory: &f.Memory},
	}
	err := in.readHeaders(r.Header)
	in.until = time.Now().Add(in.deadlineMs.Std())
	if err != nil {
		return in, err
	}
	if !in.memory.grow(overheadBytes) {
		return in, errMemory
	}
	if err := in.readBody(c, f.MaxBodyBytes); err != nil {
		in.unread = !in.drain(c)
		return in, err
	}
	in.digest = claimer.Digest(claimer.Identity{
		Authorization: r.Header.Get(echo.HeaderAuthorization), Method: in.method, Path: string(in.service) + in.path, Body: in.body,
	})
	return in, nil
}

// readBody reads the body up to limit bytes, before the deadline. A body that is announced as too
// large is refused before the caller sends it.
func (in *request) readBody(c echo.Context, limit int64) error {
	r := c.Request()
	tooLarge := errTooLarge{status: http.StatusRequestEntityTooLarge, code: manager.RefusalTooLarge, limit: limit}
	if r.ContentLength > limit {
		return tooLarge
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if !in.memory.grow(size) {
		return errMemory
	}
	controller := http.NewResponseController(c.Response())
	// Connections that know no deadlines are bounded by the listener.
	_ = controller.SetReadDeadline(in.until)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return tooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errSlow
	}
	if err != nil {
		return errors.Join(manager.ErrInvalid{Field: "body", Reason: "could not be read to its end"}, err)
	}
	in.body = body
	return nil
}

// drain reads a refused body, before the deadline, so that its caller is not cut off while it sends
// instead of reading the refusal. It tells whether the body came to its end.
func (in *request) drain(c echo.Context) bool {
	r := c.Request()
	if r.Header.Get("Expect") != "" {
		return false
	}
	controller := http.NewResponseController(c.Response())
	// Connections that know no deadlines are bounded by the listener.
	_ = controller.SetReadDeadline(in.until)
	n, err := io.CopyN(io.Discard, r.Body, maxDrainBytes)
	_ = controller.SetReadDeadline(time.Time{})
	return n < maxDrainBytes && errors.Is(err, io.EOF)
}

// refuseRequest returns the refusal of a request that could not be taken; nothing of it ran.
func refuseRequest(err error) reply {
	if e, ok := errors.AsType[errTooLarge](err); ok {
		return refuse(e.status, manager.Refusal{Code: e.code, Message: err.Error(), RunState: manager.RunStateNotRun})
	}
	if errors.Is(err, errMemory) {
		return notRun(manager.RefusalOverloaded, err.Error())
	}
	if errors.Is(err, errSlow) {
		return refuse(http.StatusRequestTimeout, manager.Refusal{
			Code: manager.RefusalDeadline, Message: err.Error(), RunState: manager.RunStateNotRun,
		})
	}
	return refuse(http.StatusBadRequest, manager.Refusal{
		Code: manager.RefusalBadRequest, Message: err.Error(), RunState: manager.RunStateNotRun,
	})
}

func (in *request) readHeaders(h http.Header) error {
	if err := in.readID(h); err != nil {
		return err
	}
	for _, name := range singleHeaders {
		if len(h.Values(name)) > 1 {
			return manager.ErrInvalid{Field: name, Reason: "is given more than once"}
		}
	}
	if headerBytes(h) > maxCallerHeaderBytes {
		return errTooLarge{
			status: http.StatusRequestHeaderFieldsTooLarge, code: manager.RefusalHeadersTooLarge, limit: maxCallerHeaderBytes,
		}
	}
	switch strings.ToLower(h.Get(headerIdempotent)) {
	case "":
		in.idempotent = slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}, in.method)
	case "true":
		in.idempotent = true
	case "false":
	default:
		return manager.ErrInvalid{Field: headerIdempotent, Reason: `must be "true" or "false"`}
	}
	return in.readDeadline(h.Get(headerDeadline))
}

// readID takes the caller's id or makes one.
func (in *request) readID(h http.Header) error {
	id := h.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, unprintable) {
		in.id = manager.RequestID(uuid.Must(uuid.NewV7()).String())
	}
	switch {
	case id == "":
		return nil
	case len(id) > maxRequestIDBytes:
		return manager.ErrInvalid{Field: headerRequestID, Reason: fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes)}
	case strings.ContainsFunc(id, unprintable):
		return manager.ErrInvalid{Field: headerRequestID, Reason: "must be printable ASCII without spaces"}
	}
	in.id = manager.RequestID(id)
	return nil
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// headerBytes returns the size of headers as they are sent.
func headerBytes(h http.Header) int64 {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return int64(n)
}

func (in *request) readDeadline(value string) error {
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return manager.ErrInvalid{Field: headerDeadline, Reason: "must be a positive number of milliseconds"}
	}
	in.deadlineMs = min(manager.Duration(ms), maxDeadline)
	return nil
}

// upstreamPath returns the path and query after the service's name.
func upstreamPath(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeader returns the headers that go on to the next hop.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range trustHeaders {
		out.Del(name)
	}
	return out
}
