package forwarder

import (
	"context"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
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
	Exchanger  connector.Exchanger
	// Gateways is how many gateways share the upstreams' connections.
	Gateways int
	// Memory bounds what requests in flight hold.
	Memory Memory
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// DefaultDeadline is the deadline of a request that names none, in milliseconds.
	DefaultDeadline manager.Duration
	// Ready returns why no request may be taken now.
	Ready func() (manager.RefusalCode, error)

	counter atomic.Uint64
}

// Handle answers one request of a caller.
func (f *Forwarder) Handle(c echo.Context) error {
	r := c.Request()
	start := f.Clock.Now()
	in, err := f.read(c)
	defer in.memory.free()
	if err != nil {
		return f.write(c, in, refuseRequest(err))
	}
	ctx, cancel := context.WithDeadline(tracer.Extract(r.Context(), r.Header), in.until)
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway request", attribute.String("Service", string(in.service)), attribute.String("Request", string(in.id)))
	defer span.End()
	out := f.serve(ctx, in, start.Add(in.deadlineMs))
	span.SetAttributes(attribute.String("Run-State", string(out.state)))
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
	if ctx.Err() != nil {
		f.record(ctx, in, attempt, notRun(manager.RefusalDeadline, ""))
		return notRun(manager.RefusalDeadline, "the deadline passed while the request was claimed")
	}
	out := f.attempts(ctx, in, deadline)
	if out.ended == nil {
		f.record(ctx, in, attempt, out)
		return out
	}
	ended := out.ended
	out.ended = func(whole bool) {
		ended(whole)
		if whole {
			f.record(ctx, in, attempt, out)
		}
	}
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
