package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

const (
	// platformTimeout bounds a call to the platform, and the wait for a free slot.
	platformTimeout = 3 * time.Second
	// maxPlatformOrders bounds the orders to the platform that are under way: it takes a few hundred a second from all
	// nodes, and each order holds a descriptor.
	maxPlatformOrders = 32
)

// PlatformCaller calls the platform's API for VMs.
type PlatformCaller interface {
	// Perform orders a move or maintenance.
	Perform(ctx context.Context, d dispatcher.PlatformOrder) dispatcher.PlatformOutcome
	// List reads the list of VMs.
	List(ctx context.Context) (dispatcher.Listing, error)
	// Advise asks which workers may run a step, and returns their permits.
	Advise(ctx context.Context, r dispatcher.AdviceRequest) (map[manager.WorkerID]manager.Permit, error)
}

// adviceMargin is added to the time that the advisor says it takes, as it answers one call after the other.
const adviceMargin = 2 * time.Second

func (l *Leader) advise(r dispatcher.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.LimitMs.Std()+adviceMargin)
	defer cancel()
	permits, err := l.Platform.Advise(ctx, r)
	if err == nil {
		l.adviceFailures.succeeded()
	} else if skipped, ok := l.adviceFailures.failed(l.Clock.Now()); ok {
		klog.InfoS(manager.LogAdviceFailed, "RequestID", r.Step.Graph, "Step", r.Step.Step, "Reason", err.Error(), "Skipped", skipped)
	}
	result := dispatcher.AdviceResult{Request: r, Permits: permits, Failed: err != nil}
	if err := l.inbox.add(dispatcher.Event{Advice: &result}, nil); err != nil {
		klog.V(2).InfoS("Advice dropped", "Reason", err.Error())
	}
}

// orderLimiter bounds the orders to the platform that are under way. It is made for load peaks that begin or end, when
// hundreds of VMs change their pool at once.
type orderLimiter struct {
	slots chan struct{}
	// leads reports whether the dispatcher with a token still leads.
	leads func(manager.FencingToken) bool
}

// perform calls the platform once there is a free slot, unless another dispatcher may lead by then.
func (b *orderLimiter) perform(caller PlatformCaller, d dispatcher.PlatformOrder) dispatcher.PlatformOutcome {
	wait := time.NewTimer(platformTimeout)
	defer wait.Stop()
	select {
	case b.slots <- struct{}{}:
	case <-wait.C:
		klog.InfoS(manager.LogPlatformOrderNotSent, "VM", d.VM, "Token", d.Token, "Reason", "too many orders are under way")
		return dispatcher.OutcomeUnknown
	}
	defer func() { <-b.slots }()
	if !b.leads(d.Token) {
		klog.InfoS(manager.LogPlatformOrderNotSent, "VM", d.VM, "Token", d.Token, "Reason", "another dispatcher may lead")
		return dispatcher.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	return caller.Perform(ctx, d)
}

// holdsToken reports whether this replica leads in the term of a token.
func (l *Leader) holdsToken(token manager.FencingToken) bool {
	term, ok := l.leadership()
	return ok && manager.FencingToken(term) == token
}

func (l *Leader) perform(d dispatcher.PlatformOrder) {
	r := dispatcher.PlatformResult{Order: d, Outcome: l.limiter.perform(l.Platform, d)}
	if err := l.inbox.add(dispatcher.Event{Platform: &r}, nil); err != nil {
		klog.InfoS(manager.LogPlatformOutcomeDropped, "VM", d.VM, "Outcome", r.Outcome, "Reason", err.Error())
	}
}

func (l *Leader) list() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	asked := l.Clock.Now()
	listing, err := l.Platform.List(ctx)
	if err != nil {
		if skipped, ok := l.listFailures.failed(l.Clock.Now()); ok {
			klog.InfoS(manager.LogPlatformListNotRead, "Reason", err.Error(), "Skipped", skipped)
		}
		return
	}
	l.listFailures.succeeded()
	listing.AskedAt = asked
	if err := l.inbox.add(dispatcher.Event{Listing: &listing}, nil); err != nil {
		klog.V(2).InfoS("Platform's list dropped", "Reason", err.Error())
	}
}
