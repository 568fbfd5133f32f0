package forwarder

import (
	"context"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Dispatcher brings a Limiter's decisions to the requests that wait for them.
type Dispatcher struct {
	Clock   manager.Clock
	Limiter manager.Limiter

	mu      sync.Mutex
	waiting map[manager.RequestID]waiter
	running map[manager.RequestID]context.CancelFunc
	demand  demandCounter
}

// waiter is a request that waits for its decision.
type waiter struct {
	service manager.ServiceID
	decided chan manager.Decision
}

// Admit waits for the decision about a request; a request whose ctx ends first gets ctx's error.
func (d *Dispatcher) Admit(ctx context.Context, r manager.Request) (manager.Decision, error) {
	decided := make(chan manager.Decision, 1)
	d.mu.Lock()
	if d.waiting == nil {
		d.waiting = map[manager.RequestID]waiter{}
	}
	d.waiting[r.Request] = waiter{service: r.Service, decided: decided}
	d.demand.of(r.Service).WaitingRequests++
	d.deliver(d.Limiter.Arrive(d.Clock.Now(), r))
	d.mu.Unlock()
	select {
	case decision := <-decided:
		return decision, nil
	case <-ctx.Done():
		return d.giveUp(ctx, r, decided)
	}
}

// giveUp cancels a waiting request; a decision that came meanwhile goes first.
func (d *Dispatcher) giveUp(ctx context.Context, r manager.Request, decided <-chan manager.Decision) (manager.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision := <-decided:
		return decision, nil
	default:
	}
	delete(d.waiting, r.Request)
	d.demand.of(r.Service).WaitingRequests--
	d.deliver(d.Limiter.Cancel(d.Clock.Now(), r.Request))
	return manager.Decision{}, ctx.Err()
}

// Hold returns a context for a dispatched request that ends if the request must end early; the caller
// calls cancel after the exchange and before Finish.
func (d *Dispatcher) Hold(ctx context.Context, id manager.RequestID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[manager.RequestID]context.CancelFunc{}
	}
	d.running[id] = cancel
	return ctx, cancel
}

// Finish gives a slot back.
func (d *Dispatcher) Finish(o manager.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, o.Request)
	d.demand.of(o.Service).BusySlots--
	d.deliver(d.Limiter.Finish(d.Clock.Now(), o))
}

// Idle tells whether no request waits or runs.
func (d *Dispatcher) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting) == 0 && len(d.running) == 0
}

// Tick lets the limiter decide what became due.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.Limiter.Tick(d.Clock.Now()))
}

func (d *Dispatcher) deliver(decisions []manager.Decision) {
	for _, decision := range decisions {
		if decision.Kind == manager.DecisionAbort {
			if cancel := d.running[decision.Request]; cancel != nil {
				cancel()
			}
			continue
		}
		w, ok := d.waiting[decision.Request]
		if !ok {
			continue
		}
		delete(d.waiting, decision.Request)
		d.count(w.service, decision)
		w.decided <- decision
	}
}

func (d *Dispatcher) count(s manager.ServiceID, decision manager.Decision) {
	demand := d.demand.of(s)
	demand.WaitingRequests--
	if decision.Kind == manager.DecisionRefuse {
		demand.RefusedRequests++
		return
	}
	demand.BusySlots++
	demand.SlotsPerVM = max(demand.SlotsPerVM, int(decision.Member.Slots))
}
