package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// lateness is how long after the deadline an answer may still be written; a refusal that tells of the
// deadline is written then.
const lateness = 1 * time.Second

// errAbandoned reports an answer that no caller gets.
var errAbandoned = eris.New("the answer was given up")

// reply is what the caller gets: an upstream's answer or a refusal.
type reply struct {
	state   manager.RunState
	answer  *connector.Answer
	status  int
	refusal *manager.Refusal
	// ended takes why a streamed answer is not whole at the caller, or nil; it is nil for other replies.
	ended func(err error)
}

func refuse(status int, r manager.Refusal) reply {
	return reply{state: r.RunState, status: status, refusal: &r}
}

func notRun(code manager.RefusalCode, message string) reply {
	const retryAfter = 1 * manager.Second
	return refuse(http.StatusServiceUnavailable, manager.Refusal{
		Code: code, Message: message, RunState: manager.RunStateNotRun, RetryAfterMs: retryAfter,
	})
}

// abandon ends a reply that no caller gets.
func (out *reply) abandon() {
	if out.ended != nil {
		_ = out.answer.Rest.Close()
		out.ended(errAbandoned)
		out.ended = nil
	}
}

// write sends the reply; a streamed answer that is cut cuts the caller's connection too.
func (f *Forwarder) write(c echo.Context, in *request, out reply) error {
	defer out.abandon()
	controller := http.NewResponseController(c.Response())
	// Connections that know no deadlines are bounded by the listener.
	_ = controller.SetWriteDeadline(in.until.Add(lateness))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	h := c.Response().Header()
	if out.refusal == nil {
		copyHeader(h, out.answer.Header)
	}
	h.Set(headerRequestID, string(in.id))
	h.Set(headerRunState, string(out.state))
	if len(c.Request().TransferEncoding) > 0 || in.unread {
		// A balancer that saw another length would take the rest of the body for a request.
		h.Set("Connection", "close")
	}
	if out.refusal != nil {
		return c.JSON(out.status, out.refusal)
	}
	return writeAnswer(c, in, &out)
}

func writeAnswer(c echo.Context, in *request, out *reply) error {
	a := out.answer
	h := c.Response().Header()
	bodiless := in.method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	switch {
	case bodiless:
		keepLength(h, a.Header)
	case a.Length >= 0 && (len(a.Trailer) == 0 || !c.Request().ProtoAtLeast(1, 1)):
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	case !c.Request().ProtoAtLeast(1, 1):
		return c.JSON(http.StatusBadGateway, manager.Refusal{
			Code: manager.RefusalUpstreamFailed, RunState: out.state,
			Message: "the answer's length is not known, which HTTP/1.0 can't carry safely",
		})
	}
	c.Response().WriteHeader(a.Status)
	if _, err := c.Response().Write(a.Body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if out.ended != nil {
		stream(c, out)
	}
	writeTrailer(c, a.Trailer)
	return nil
}

// writeTrailer passes trailers on; the flush keeps the library from giving a length instead.
func writeTrailer(c echo.Context, trailer http.Header) {
	if len(trailer) == 0 || !c.Request().ProtoAtLeast(1, 1) {
		return
	}
	c.Response().Flush()
	for name, values := range trailer {
		if !trusted(name) {
			c.Response().Header()[http.TrailerPrefix+name] = values
		}
	}
}

// keepLength passes on the length that an answer without a body speaks of.
func keepLength(to, from http.Header) {
	if length := from.Get("Content-Length"); length != "" {
		to.Set("Content-Length", length)
	}
}

// stream copies the rest of an answer; if it is cut, so is the caller's connection, as a clean end
// would make the part look whole.
func stream(c echo.Context, out *reply) {
	_, err := io.Copy(c.Response(), out.answer.Rest)
	_ = out.answer.Rest.Close()
	out.ended(err)
	out.ended = nil
	if err != nil {
		klog.V(2).InfoS("Answer cut", "Error", err.Error())
		panic(http.ErrAbortHandler)
	}
}
