package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

// Proposer commits claims.
type Proposer interface {
	Propose(ctx context.Context, c manager.Command) (manager.Result, error)
}

// Forwarder answers callers' requests.
type Forwarder struct {
	Gateway    manager.GatewayID
	Clock      manager.Clock
	Dispatcher *Dispatcher
	Retrier    manager.Retrier
	Claims     Proposer
	Exchanger  *Exchanger
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// DefaultDeadline is the deadline of a request that names none, in milliseconds.
	DefaultDeadline manager.Duration
	// Ready returns why no request may be taken now.
	Ready func() (manager.RefusalCode, error)

	counter atomic.Uint64
}

// reply is what the caller gets: an upstream's answer or a refusal.
type reply struct {
	state   manager.RunState
	answer  answer
	status  int
	refusal *manager.Refusal
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

// Handle answers one request of a caller.
func (f *Forwarder) Handle(c echo.Context) error {
	r := c.Request()
	start := f.Clock.Now()
	in, err := readRequest(c, f.MaxBodyBytes, f.DefaultDeadline)
	if err != nil {
		return f.write(c, in, refuse(http.StatusBadRequest, manager.Refusal{
			Code: manager.RefusalBadRequest, Message: err.Error(), RunState: manager.RunStateNotRun,
		}))
	}
	ctx, cancel := context.WithTimeout(tracer.Extract(r.Context(), r.Header), in.deadlineMs.Std())
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway request", attribute.String("Service", string(in.service)), attribute.String("Request", string(in.id)))
	out := f.serve(ctx, in, start.Add(in.deadlineMs))
	span.SetAttributes(attribute.String("Run-State", string(out.state)))
	span.End()
	meter.Requests(in.service, out.state).Inc()
	meter.RequestSeconds(in.service).Update(f.Clock.Now().Sub(start).Std().Seconds())
	return f.write(c, in, out)
}

func (f *Forwarder) serve(ctx context.Context, in *request, deadline manager.Time) reply {
	if code, err := f.Ready(); err != nil {
		return notRun(code, err.Error())
	}
	if in.idempotent {
		return f.attempts(ctx, in, deadline)
	}
	return f.claimed(ctx, in, deadline)
}

// claimed claims a non-idempotent request before its first attempt and records its answer.
func (f *Forwarder) claimed(ctx context.Context, in *request, deadline manager.Time) reply {
	attempt := uuid.NewString()
	result, err := f.Claims.Propose(ctx, manager.Command{MakeClaim: &manager.MakeClaim{
		Request: in.id, Digest: in.digest, Gateway: f.Gateway, Attempt: attempt, MadeAt: f.Clock.Now(),
	}})
	if err != nil || result.Claim == nil {
		klog.V(2).InfoS("Claim failed", "Request", in.id, "Error", err)
		return notRun(manager.RefusalClaimUnavailable, "the request could not be claimed")
	}
	switch {
	case result.Claim.State == manager.ClaimAnswered && result.Claim.Answer != nil && !result.Claim.Answer.TooLarge:
		return reply{state: manager.RunStateRan, answer: fromRecord(*result.Claim.Answer)}
	case result.Claim.State != manager.ClaimGranted:
		return refuse(claimer.Refusal(result.Claim.State))
	}
	out := f.attempts(ctx, in, deadline)
	f.record(ctx, in, attempt, out)
	return out
}

// record keeps the answer for resends, or frees the claim if the work did not run.
func (f *Forwarder) record(ctx context.Context, in *request, attempt string, out reply) {
	if out.state == manager.RunStateUnknown {
		return
	}
	command := manager.RecordAnswer{Request: in.id, Attempt: attempt, NotRun: out.state == manager.RunStateNotRun}
	if !command.NotRun {
		command.Answer = toRecord(out.answer)
	}
	if _, err := f.Claims.Propose(context.WithoutCancel(ctx), manager.Command{RecordAnswer: &command}); err != nil {
		klog.V(2).InfoS("Answer not recorded", "Request", in.id, "Error", err)
	}
}

// attempts runs the request until an attempt ends it.
func (f *Forwarder) attempts(ctx context.Context, in *request, deadline manager.Time) reply {
	r := manager.Request{Service: in.service, Idempotent: in.idempotent, Deadline: deadline}
	f.Retrier.Start(f.Clock.Now(), r)
	for attempt := 1; ; attempt++ {
		// The caller's id may arrive twice at once, so the limiter gets one of the gateway's own.
		r.Request = manager.RequestID(strconv.FormatUint(f.counter.Add(1), 10))
		out, outcome := f.attempt(ctx, in, r)
		if !outcome.Failed {
			return out
		}
		next := f.Retrier.Failed(f.Clock.Now(), r, outcome, attempt)
		if !next.Again {
			return out
		}
	}
}

func (f *Forwarder) attempt(ctx context.Context, in *request, r manager.Request) (reply, manager.Outcome) {
	decision, err := f.Dispatcher.Admit(ctx, r)
	if err != nil {
		return notRun(manager.RefusalDeadline, "the deadline passed while waiting"), manager.Outcome{}
	}
	if decision.Kind == manager.DecisionRefuse {
		meter.Refusals(decision.Refusal.Code).Inc()
		return refuse(http.StatusServiceUnavailable, decision.Refusal), manager.Outcome{}
	}
	start := f.Clock.Now()
	ctx, span := tracer.Start(ctx, "gateway attempt", attribute.String("Upstream", string(decision.Member.Upstream)))
	held, release := f.Dispatcher.Hold(ctx, r.Request)
	a, state, err := f.Exchanger.Exchange(held, decision.Member.Address, in)
	release()
	tracer.End(span, err)
	outcome := manager.Outcome{
		Request: r.Request, Service: r.Service, Upstream: decision.Member.Upstream,
		RunState: state, DurationMs: f.Clock.Now().Sub(start), Failed: err != nil,
	}
	f.Dispatcher.Finish(outcome)
	if err != nil {
		return f.failure(ctx, decision.Member, state, err), outcome
	}
	return reply{state: state, answer: a}, outcome
}

func (f *Forwarder) failure(ctx context.Context, m manager.Member, state manager.RunState, err error) reply {
	klog.V(2).InfoS("Attempt failed", "Upstream", m.Upstream, "RunState", state, "Error", err.Error())
	if state == manager.RunStateNotRun {
		return notRun(manager.RefusalUpstreamFailed, "the upstream could not be reached")
	}
	if ctx.Err() != nil {
		return refuse(http.StatusGatewayTimeout, manager.Refusal{
			Code: manager.RefusalUpstreamTimeout, Message: "the upstream did not answer in time", RunState: state,
		})
	}
	return refuse(http.StatusBadGateway, manager.Refusal{
		Code: manager.RefusalUpstreamFailed, Message: "the upstream's answer was not whole", RunState: state,
	})
}

func (f *Forwarder) write(c echo.Context, in *request, out reply) error {
	h := c.Response().Header()
	if out.refusal == nil {
		copyHeader(h, out.answer.header)
	}
	h.Set(headerRequestID, string(in.id))
	h.Set(headerRunState, string(out.state))
	if out.refusal != nil {
		return c.JSON(out.status, out.refusal)
	}
	h.Set("Content-Length", strconv.Itoa(len(out.answer.body)))
	c.Response().WriteHeader(out.answer.status)
	if _, err := c.Response().Write(out.answer.body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}
