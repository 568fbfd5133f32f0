package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/pooler"
)

// attempts runs the request until an attempt ends it. Once an attempt may have run the work, no later
// refusal may say that it did not.
func (f *Forwarder) attempts(ctx context.Context, in *request, deadline manager.Time) reply {
	r := manager.Request{Service: in.service, Idempotent: in.idempotent, Deadline: deadline}
	f.countFirst(r)
	var doubtful *reply
	for attempt := 1; ; attempt++ {
		// The caller's id may arrive twice at once, so the limiter gets one of the gateway's own.
		r.Request = manager.RequestID(strconv.FormatUint(f.counter.Add(1), 10))
		out, outcome := f.attempt(ctx, in, r)
		if doubtful != nil && out.state != manager.RunStateRan {
			out.abandon()
			out = *doubtful
		}
		if !outcome.Failed && outcome.RunState != manager.RunStateNotRun {
			return out
		}
		if outcome.RunState == manager.RunStateUnknown {
			doubtful = &out
		}
		next := f.decideRetry(r, outcome, attempt)
		if !next.Retry || !pause(ctx, next.DelayMs) {
			return out
		}
		out.abandon()
		r.Avoid = outcome.Upstream
	}
}

func (f *Forwarder) countFirst(r manager.Request) {
	f.retries.Lock()
	defer f.retries.Unlock()
	f.Retrier.Start(f.Clock.Now(), r)
}

func (f *Forwarder) decideRetry(r manager.Request, o manager.Outcome, attempt int) manager.RetryDecision {
	f.retries.Lock()
	defer f.retries.Unlock()
	return f.Retrier.Failed(f.Clock.Now(), r, o, attempt)
}

// pause waits for d; it returns false if ctx ended first.
func pause(ctx context.Context, d manager.Duration) bool {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
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
	ctx, cancel := in.exchangeContext(ctx)
	ctx, release := f.Dispatcher.Hold(ctx, r.Request)
	a, err := f.Exchanger.Exchange(ctx, f.target(decision.Member), in.message(ctx))
	tracer.End(span, err)
	outcome := manager.Outcome{
		Request: r.Request, Service: r.Service, Upstream: decision.Member.Upstream, RunState: runState(a, err), Failed: err != nil,
	}
	finish := func(err error) {
		outcome.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		release()
		cancel()
		outcome.DurationMs = f.Clock.Now().Sub(start)
		// A caller that goes away or reads too slowly is not the upstream's failure.
		outcome.Failed = connector.IsErrExchange(err)
		f.Dispatcher.Finish(outcome)
	}
	if err != nil {
		expired := ctx.Err() != nil
		finish(err)
		return f.failure(decision.Member, outcome.RunState, expired, err), outcome
	}
	out := reply{state: outcome.RunState, answer: a}
	if a.Whole() {
		finish(nil)
	} else {
		out.ended = finish
	}
	return out, outcome
}

// target is the upstream of a member, with the share of its idle connections that this gateway may keep.
func (f *Forwarder) target(m manager.Member) connector.Target {
	return connector.Target{Address: m.Address, Idle: pooler.IdleShare(m.Connections, m.Slots, f.Gateways)}
}

// runState tells what became of the work of one attempt.
func runState(a *connector.Answer, err error) manager.RunState {
	if e, ok := errors.AsType[connector.ErrExchange](err); ok {
		return e.RunState
	}
	if err != nil {
		return manager.RunStateUnknown
	}
	// An upstream that contradicts itself counts as one that ran the work.
	if said := a.Header.Values(headerRunState); len(said) == 1 && said[0] == string(manager.RunStateNotRun) {
		return manager.RunStateNotRun
	}
	return manager.RunStateRan
}

// exchangeContext returns the context of an exchange. One that is not idempotent goes on to its
// deadline when its caller is gone, so that a resend gets its answer.
func (in *request) exchangeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if in.idempotent {
		return context.WithCancel(ctx)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// message is the request as it goes to an upstream.
func (in *request) message(ctx context.Context) connector.Request {
	h := in.header.Clone()
	h.Set(headerRequestID, string(in.id))
	tracer.Inject(ctx, h)
	return connector.Request{
		Method: in.method, Path: in.path, Header: h, Body: in.body, Idempotent: in.idempotent, Grow: in.memory.grow,
	}
}

func (f *Forwarder) failure(m manager.Member, state manager.RunState, expired bool, err error) reply {
	klog.V(2).InfoS("Attempt failed", "Upstream", m.Upstream, "RunState", state, "Error", err.Error())
	if state == manager.RunStateNotRun {
		return notRun(manager.RefusalUpstreamFailed, "the upstream could not be reached")
	}
	if expired {
		return refuse(http.StatusGatewayTimeout, manager.Refusal{
			Code: manager.RefusalUpstreamTimeout, Message: "the upstream did not answer in time", RunState: state,
		})
	}
	return refuse(http.StatusBadGateway, manager.Refusal{
		Code: manager.RefusalUpstreamFailed, Message: "the upstream's answer was not whole", RunState: state,
	})
}
