package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

const (
	// dutyTimeout bounds one call to the platform, which may be slow, and the wait for a turn to make it.
	dutyTimeout = 3 * time.Second
	// maxDuties bounds the orders to the platform that are under way: it takes a few hundred a second from all
	// nodes, and each order holds a descriptor.
	maxDuties = 32
)

// DutyCaller calls the platform's API for VMs.
type DutyCaller interface {
	// Perform orders a move or an upkeep.
	Perform(ctx context.Context, d dispatcher.Duty) dispatcher.DutyOutcome
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

// dutyTurns lets orders go out a few at a time. It answers turns in which hundreds of VMs change their pool at once.
type dutyTurns struct {
	slots chan struct{}
	// allowed tells whether the dispatcher with a token still leads.
	allowed func(manager.OrderToken) bool
}

// perform calls the platform when the order's turn has come, unless another dispatcher may lead by then.
func (t *dutyTurns) perform(caller DutyCaller, d dispatcher.Duty) dispatcher.DutyOutcome {
	wait := time.NewTimer(dutyTimeout)
	defer wait.Stop()
	select {
	case t.slots <- struct{}{}:
	case <-wait.C:
		return dispatcher.DutyUnclear
	}
	defer func() { <-t.slots }()
	if !t.allowed(d.Token) {
		return dispatcher.DutyUnclear
	}
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	return caller.Perform(ctx, d)
}

// mayOrder tells whether this replica leads with a token.
func (l *Leader) mayOrder(token manager.OrderToken) bool {
	term, ok := l.leadership()
	return ok && manager.OrderToken(term) == token
}

func (l *Leader) perform(d dispatcher.Duty) {
	r := dispatcher.DutyResult{Duty: d, Outcome: l.turns.perform(l.Duties, d)}
	if err := l.inbox.add(dispatcher.Event{Duty: &r}, nil); err != nil {
		klog.InfoS(manager.LogOutcomeOrderPlatformDropped, "VM", d.VM, "Outcome", r.Outcome, "Reason", err.Error())
	}
}

func (l *Leader) list() {
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	asked := l.Clock.Now()
	listing, err := l.Duties.List(ctx)
	if err != nil {
		klog.InfoS(manager.LogPlatformsListNotRead, "Reason", err.Error())
		return
	}
	listing.AskedAt = asked
	if err := l.inbox.add(dispatcher.Event{Listing: &listing}, nil); err != nil {
		klog.V(2).InfoS("Platform's list dropped", "Reason", err.Error())
	}
}
