package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

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
)

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

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
	digest     manager.ClaimDigest
}

// readRequest reads a caller's request up to limit bytes of body.
func readRequest(c echo.Context, limit int64, deadline manager.Duration) (*request, error) {
	r := c.Request()
	in := &request{
		service:    manager.ServiceID(c.Param("Service")),
		method:     r.Method,
		path:       upstreamPath(r),
		header:     forwardedHeader(r.Header),
		deadlineMs: deadline,
	}
	if err := in.readHeaders(r.Header); err != nil {
		return in, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit))
	if err != nil {
		if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
			return in, manager.ErrInvalid{Field: "body", Reason: fmt.Sprintf("is larger than %d bytes", limit)}
		}
		return in, fmt.Errorf("read body: %w", err)
	}
	in.body = body
	in.digest = claimer.Digest(claimer.Identity{
		Authorization: r.Header.Get(echo.HeaderAuthorization), Method: in.method, Path: string(in.service) + in.path, Body: body,
	})
	return in, nil
}

func (in *request) readHeaders(h http.Header) error {
	in.id = manager.RequestID(h.Get(headerRequestID))
	if in.id == "" {
		in.id = manager.RequestID(uuid.Must(uuid.NewV7()).String())
	}
	if len(in.id) > maxRequestIDBytes {
		return manager.ErrInvalid{Field: headerRequestID, Reason: fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes)}
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
	return out
}
