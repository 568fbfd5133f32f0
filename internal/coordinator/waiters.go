package coordinator

import (
	"context"
	"sync"
	"time"
)

// retryPause is the pause between two retries of all calls of a node together.
const retryPause = 60 * time.Millisecond

// waiters are the calls of a node that no leader has answered. Together they retry as often as one call would, and all
// retry as soon as one of them is answered: the retries of hundreds of calls on each node would overload a new leader.
type waiters struct {
	mu    sync.Mutex
	count int
	woken chan struct{}
}

// wait returns true when the call should be retried, and false once ctx has ended.
func (w *waiters) wait(ctx context.Context) bool {
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

// wake makes all waiting calls retry.
func (w *waiters) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count > 0 && w.woken != nil {
		close(w.woken)
		w.woken = nil
	}
}
