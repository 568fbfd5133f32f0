package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// dutyTimeout bounds one call to the platform, which may be slow.
const dutyTimeout = 3 * time.Second

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

func (l *Leader) perform(d dispatcher.Duty) {
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	r := dispatcher.DutyResult{Duty: d, Outcome: l.Duties.Perform(ctx, d)}
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
