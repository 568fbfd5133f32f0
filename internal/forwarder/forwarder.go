package forwarder

import (
	"context"
	"slices"
	"sync"
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

// Claims commits the claims of non-idempotent requests.
type Claims interface {
	// Claim returns the result of a claim once it is committed.
	Claim(ctx context.Context, c manager.MakeClaim) (manager.ClaimResult, error)
	// Record keeps an answer for resends, or frees the claim if the work did not run.
	Record(a manager.RecordAnswer)
}

// Forwarder answers callers' requests.
type Forwarder struct {
	Gateway    manager.GatewayID
	Clock      manager.Clock
	Dispatcher *Dispatcher
	Retrier    manager.Retrier
	Claims     Claims
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
	retries sync.Mutex
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
	f.measure(in, out, f.Clock.Now().Sub(start))
	return f.write(c, in, out)
}

// servedCodes are the refusals that only requests to services with upstreams get.
var servedCodes = []manager.RefusalCode{
	manager.RefusalOverloaded, manager.RefusalUpstreamTimeout, manager.RefusalUpstreamFailed,
}

// measure counts a request. Services that no upstream serves share one name, as callers could name any
// number of them.
func (f *Forwarder) measure(in *request, out reply, took manager.Duration) {
	service := in.service
	if out.refusal != nil && !slices.Contains(servedCodes, out.refusal.Code) {
		service = "refused"
	}
	meter.Requests(service, out.state).Inc()
	meter.RequestSeconds(service).Update(took.Std().Seconds())
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

// claimed claims a non-idempotent request before its first attempt. Its answer is recorded while the
// caller gets it: a resend that overtakes the record waits for it.
func (f *Forwarder) claimed(ctx context.Context, in *request, deadline manager.Time) reply {
	claim := manager.MakeClaim{Request: in.id, Digest: in.digest, Gateway: f.Gateway, Attempt: uuid.NewString()}
	result, err := f.claim(ctx, claim)
	if err != nil {
		klog.V(2).InfoS("Claim failed", "Request", in.id, "Error", err.Error())
		return notRun(manager.RefusalClaimUnavailable, "the request could not be claimed")
	}
	if result.State == manager.ClaimAnswered && !result.Answer.TooLarge {
		return reply{state: manager.RunStateRan, answer: fromRecord(*result.Answer)}
	}
	if result.State != manager.ClaimGranted {
		return refuse(claimer.Refusal(result.State))
	}
	if ctx.Err() != nil {
		f.Claims.Record(manager.RecordAnswer{Request: in.id, Attempt: claim.Attempt, NotRun: true})
		return notRun(manager.RefusalDeadline, "the deadline passed while the request was claimed")
	}
	out := f.attempts(ctx, in, deadline)
	if out.ended == nil {
		f.record(claim, out)
		return out
	}
	ended := out.ended
	out.ended = func(err error) {
		ended(err)
		if err == nil {
			f.record(claim, out)
		}
	}
	return out
}

// claim commits a claim; a resend waits a while for the answer to the attempt that holds it.
func (f *Forwarder) claim(ctx context.Context, c manager.MakeClaim) (manager.ClaimResult, error) {
	ctx, span := tracer.Start(ctx, "gateway claim", attribute.String("Request", string(c.Request)))
	result, err := f.Claims.Claim(ctx, c)
	for n := 1; err == nil && result.State == manager.ClaimPending; n++ {
		delay, ok := claimer.PollDelay(n)
		if !ok || !pause(ctx, delay) {
			break
		}
		result, err = f.Claims.Claim(ctx, c)
		if err != nil {
			// The claim is held elsewhere, whatever became of this question.
			result, err = manager.ClaimResult{State: manager.ClaimPending}, nil
			break
		}
	}
	span.SetAttributes(attribute.String("State", string(result.State)))
	tracer.End(span, err)
	return result, err
}

// record keeps the answer for resends, or frees the claim if the work did not run.
func (f *Forwarder) record(c manager.MakeClaim, out reply) {
	if out.state == manager.RunStateUnknown {
		return
	}
	a := manager.RecordAnswer{Request: c.Request, Attempt: c.Attempt, NotRun: out.state == manager.RunStateNotRun}
	if !a.NotRun {
		a.Answer = toRecord(out.answer)
	}
	f.Claims.Record(a)
}
