package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// leastSilence is the shortest wait after which a silent exchange is suspected; shorter ones would
// check connections at each slow answer.
const leastSilence = 50 * time.Millisecond

// sent is the end of writing a request.
type sent struct {
	err error
}

// exchange is one request on its way.
type exchange struct {
	ctx       context.Context
	connector *Connector
	link      *link
	to        Target
	lift      func() bool
	watch     *time.Timer
	// written is closed when a large request is written, or nil for a small one.
	written chan sent
	// limit is how long the upstream keeps the connection idle, or 0 if it did not say.
	limit manager.Duration
}

// Exchange sends a request over a kept or a new connection. Only a connection that took no byte is
// replaced by another.
func (c *Connector) Exchange(ctx context.Context, to Target, r Request) (*Answer, error) {
	request, err := newRequest(to.Address, r)
	if err != nil {
		return nil, err
	}
	l, reused, err := c.acquire(ctx, to, r.Idempotent)
	if err != nil {
		return nil, err
	}
	e := c.begin(ctx, l, to)
	response, err := e.roundTrip(request, r.Body)
	if err != nil && reused && e.withdraw() && ctx.Err() == nil {
		if l, err = c.replace(ctx, l, to.Address); err != nil {
			return nil, err
		}
		e = c.begin(ctx, l, to)
		response, err = e.roundTrip(request, r.Body)
	}
	if err != nil {
		return nil, e.fail(err)
	}
	return e.answer(response, r.Grow)
}

// begin ties a connection to the exchange's deadline and watches it for silence.
func (c *Connector) begin(ctx context.Context, l *link, to Target) *exchange {
	l.sent.Store(0)
	e := &exchange{ctx: ctx, connector: c, link: l, to: to, lift: l.until(ctx)}
	if deadline, ok := ctx.Deadline(); ok {
		const share = 2
		e.watchFor(max(time.Until(deadline)/share, leastSilence))
	}
	return e
}

// watchFor reports the exchange to the pool each time that it hears nothing for wait.
func (e *exchange) watchFor(wait time.Duration) {
	last := e.link.heard.Load()
	e.watch = time.AfterFunc(wait, func() {
		heard := e.link.heard.Load()
		if heard == last {
			c := e.connector
			c.mu.Lock()
			c.act(c.Pool.ReportStall(c.Clock.Now(), e.link.id))
			c.mu.Unlock()
		}
		last = heard
	})
}

func (e *exchange) roundTrip(r *http.Request, body []byte) (*incoming, error) {
	if len(body) <= inlineBytes {
		if err := e.link.send(r, body); err != nil {
			return nil, err
		}
		return e.link.reader.next(r)
	}
	e.written = make(chan sent, 1)
	go func() { e.written <- sent{err: e.link.send(r, body)} }()
	return e.link.reader.next(r)
}

// withdraw closes the connection of a failed exchange and tells whether it took no byte.
func (e *exchange) withdraw() bool {
	e.stop()
	e.link.close()
	e.wait()
	return e.link.sent.Load() == 0
}

// stop ends the watch and the tie to the deadline, and tells whether the deadline had not passed.
func (e *exchange) stop() bool {
	if e.watch != nil {
		e.watch.Stop()
	}
	return e.lift()
}

// wait returns once nothing writes to the connection, which has to be closed.
func (e *exchange) wait() {
	if e.written != nil {
		<-e.written
		e.written = nil
	}
}

// answer holds the body as far as memory allows.
func (e *exchange) answer(response *incoming, grow func(int64) bool) (*Answer, error) {
	a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	body, err := readHeld(response, grow)
	if err != nil {
		return nil, e.fail(err)
	}
	a.Body, a.Trailer = body.held, response.Trailer
	if body.rest {
		a.Rest = &rest{exchange: e, response: response}
		return a, nil
	}
	if a.Length < 0 {
		a.Length = int64(len(a.Body))
	}
	e.done(response)
	return a, nil
}

// done ends an exchange whose answer was read to its end.
func (e *exchange) done(response *incoming) {
	limit, keep := keepAlive(response)
	if e.written != nil {
		select {
		case s := <-e.written:
			keep = keep && s.err == nil
			e.written = nil
		default:
			keep = false
		}
	}
	e.limit = limit
	e.end(keep && e.link.reader.drained())
}

// end gives the connection back, or closes it.
func (e *exchange) end(keep bool) {
	if !e.stop() || !keep || e.link.lost.Load() {
		e.connector.discard(e.link)
		e.wait()
		return
	}
	e.connector.release(e.link, e.limit, e.to)
}

// fail closes the connection and tells whether the work may have run.
func (e *exchange) fail(err error) error {
	stage := "answer"
	state := manager.RunStateUnknown
	if e.link.lost.Load() {
		err = errors.Join(ErrSilent, err)
	}
	if cause := e.ctx.Err(); cause != nil {
		err = errors.Join(cause, err)
	}
	e.end(false)
	if e.link.sent.Load() == 0 {
		stage, state = "send", manager.RunStateNotRun
	}
	return ErrExchange{RunState: state, Stage: stage, Err: err}
}

// rest is the part of a body that was too large to hold.
type rest struct {
	exchange *exchange
	response *incoming
	ended    bool
}

// Read returns io.EOF only at the end of a whole answer.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if errors.Is(err, io.EOF) && !r.ended {
		r.ended = true
		r.exchange.done(r.response)
		return n, io.EOF
	}
	if err != nil && !r.ended {
		r.ended = true
		return n, r.exchange.fail(err)
	}
	return n, err
}

// Close gives up what was not read.
func (r *rest) Close() error {
	if !r.ended {
		r.ended = true
		r.exchange.end(false)
	}
	return nil
}

// held is the part of a body that was read; rest says that more follows.
type held struct {
	held []byte
	rest bool
}

// readHeld reads a body as long as grow gives memory for it.
func readHeld(response *incoming, grow func(int64) bool) (held, error) {
	if response.Body == http.NoBody {
		return held{}, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return held{}, ErrNoLength
	}
	size := response.ContentLength + 1
	if response.ContentLength < 0 {
		size = bufferBytes
	}
	if size > MaxHeldBytes || grow != nil && !grow(size) {
		return held{rest: true}, nil
	}
	body := make([]byte, 0, size)
	for {
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return held{held: body}, nil
		}
		if err != nil {
			return held{}, fmt.Errorf("read body: %w", err)
		}
		if len(body) < cap(body) {
			continue
		}
		more := int64(cap(body))
		if more+more > MaxHeldBytes || grow != nil && !grow(more) {
			return held{held: body, rest: true}, nil
		}
		body = append(make([]byte, 0, more+more), body...)
	}
}

// keepAlive tells whether the upstream keeps the connection, and for how long at the least.
func keepAlive(r *incoming) (manager.Duration, bool) {
	// margin is the time that a request may be on its way while the upstream's time runs out.
	const margin = 1 * manager.Second
	if r.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseInt(value, 10, 32)
		limit := manager.Duration(seconds)*manager.Second - margin
		if err != nil || limit <= 0 {
			return 0, false
		}
		return limit, true
	}
	return 0, true
}
