package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// waitingReports are the workers' reports on a node that no leader has answered. Together they are retried as often as one
// would be, and all as soon as a leader is found or has answered. They don't join the line of calls: their answers show no
// configuration, the leader holds them while it has no orders, and a new leader that gets them late knows its workers late.
type waitingReports struct {
	mu    sync.Mutex
	count int
	woken chan struct{}
}

// wait returns true when the report should be retried, and false once ctx has ended.
func (w *waitingReports) wait(ctx context.Context) bool {
	w.mu.Lock()
	w.count++
	if w.woken == nil {
		w.woken = make(chan struct{})
	}
	woken, pause := w.woken, retryPause*time.Duration(w.count)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.count--
	}()
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-woken:
		return true
	case <-t.C:
		return true
	}
}

// wake makes all waiting reports be retried.
func (w *waitingReports) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count > 0 && w.woken != nil {
		close(w.woken)
		w.woken = nil
	}
}

// report brings a worker's report to the leader and tries again while it is not too old.
func (n *Node) report(ctx context.Context, start manager.Time, c manager.FleetCall) (manager.FleetReply, error) {
	for {
		reply, reached, err := n.attemptReport(ctx, start, c)
		if err == nil || final(err) {
			n.noteAnswer()
			return reply, err
		}
		if reached || n.old(start) {
			return reply, err
		}
		n.Finder.Refresh()
		if !n.pauseReport(ctx, start) {
			return reply, err
		}
	}
}

// attemptReport makes one try within a report's patience.
func (n *Node) attemptReport(ctx context.Context, start manager.Time, c manager.FleetCall) (manager.FleetReply, bool, error) {
	ctx, cancel := n.limit(ctx, start)
	defer cancel()
	reply, term, reached, err := n.try(ctx, n.target(), c)
	if (err == nil || final(err)) && !n.shown.accept(n.Clock.Now(), term) {
		return manager.FleetReply{}, reached, manager.ErrOutcomeUnknown{}
	}
	return reply, reached, err
}

// pauseReport waits until the next try and returns false if the report should not be sent any more.
func (n *Node) pauseReport(ctx context.Context, start manager.Time) bool {
	limited, cancel := context.WithTimeout(ctx, start.Add(reportPatience).Sub(n.Clock.Now()).Std())
	defer cancel()
	return n.reports.wait(limited)
}

// old reports whether a report that came at start has waited too long to be sent.
func (n *Node) old(start manager.Time) bool { return n.Clock.Now().Sub(start) >= reportPatience }

// noteAnswer notes that a leader has answered.
func (n *Node) noteAnswer() {
	n.servedAt.set(n.Clock.Now())
	n.reports.wake()
}
