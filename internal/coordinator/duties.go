package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

const (
	// dutyTimeout bounds one call to the platform, which may be slow, and the wait for a free slot.
	dutyTimeout = 3 * time.Second
	// maxDuties bounds the orders to the platform that are under way: it takes a few hundred a second from all
	// nodes, and each order holds a descriptor.
	maxDuties = 32
)

// DutyCaller calls the platform's API for VMs.
type DutyCaller interface {
	// Perform orders a move or an upkeep.
	Perform(ctx context.Context, d dispatcher.PlatformOrder) dispatcher.PlatformOutcome
	// List reads the list of VMs.
	List(ctx context.Context) (dispatcher.Listing, error)
	// Advise asks which workers may run a step, and returns their permits.
	Advise(ctx context.Context, r dispatcher.AdviceRequest) (map[manager.WorkerID]manager.Permit, error)
}

// adviceMargin is added to the time that the service for permits says it takes: others may be before us.
const adviceMargin = 2 * time.Second

func (l *Leader) advise(r dispatcher.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.LimitMs.Std()+adviceMargin)
	defer cancel()
	permits, err := l.Duties.Advise(ctx, r)
	if err != nil {
		klog.InfoS(manager.LogAdviceFailed, "RequestID", r.Step.Graph, "Step", r.Step.Step, "Reason", err.Error())
	}
	result := dispatcher.AdviceResult{Request: r, Permits: permits, Failed: err != nil}
	if err := l.inbox.add(dispatcher.Event{Advice: &result}, nil); err != nil {
		klog.V(2).InfoS("Advice dropped", "Reason", err.Error())
	}
}

// dutyLimiter bounds the orders to the platform that are under way. It answers surges that end or begin: hundreds of
// VMs change their pool at once.
type dutyLimiter struct {
	slots chan struct{}
	// leads tells whether the dispatcher with a token still leads.
	leads func(manager.FencingToken) bool
}

// perform calls the platform once there is a free slot, unless another dispatcher may lead by then.
func (b *dutyLimiter) perform(caller DutyCaller, d dispatcher.PlatformOrder) dispatcher.PlatformOutcome {
	wait := time.NewTimer(dutyTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	return caller.Perform(ctx, d)
}

// holdsToken tells whether this replica leads in the term of a token.
func (l *Leader) holdsToken(token manager.FencingToken) bool {
	term, ok := l.leadership()
	return ok && manager.FencingToken(term) == token
}

func (l *Leader) perform(d dispatcher.PlatformOrder) {
	r := dispatcher.PlatformResult{Order: d, Outcome: l.limiter.perform(l.Duties, d)}
	if err := l.inbox.add(dispatcher.Event{Platform: &r}, nil); err != nil {
		klog.InfoS(manager.LogPlatformOutcomeDropped, "VM", d.VM, "Outcome", r.Outcome, "Reason", err.Error())
	}
}

func (l *Leader) list() {
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	asked := l.Clock.Now()
	listing, err := l.Duties.List(ctx)
	if err != nil {
		klog.InfoS(manager.LogPlatformListNotRead, "Reason", err.Error())
		return
	}
	listing.AskedAt = asked
	if err := l.inbox.add(dispatcher.Event{Listing: &listing}, nil); err != nil {
		klog.V(2).InfoS("Platform's list dropped", "Reason", err.Error())
	}
}
