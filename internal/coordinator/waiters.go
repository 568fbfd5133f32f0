package coordinator

import (
	"context"
	"sync"
	"time"
)

// retryPause is the pause between two tries of all calls of a node together.
const retryPause = 60 * time.Millisecond

// waiters are the calls of a node that no leader has answered. Together they try as often as one would alone,
// and all go on as soon as one of them is answered: a new leader would be kept from its work by the tries of
// hundreds of calls on each node.
type waiters struct {
	mu    sync.Mutex
	count int
	woken chan struct{}
}

// wait returns true when the call should try again, and false once ctx has ended.
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

// wake lets all calls that wait try again.
func (w *waiters) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count > 0 && w.woken != nil {
		close(w.woken)
		w.woken = nil
	}
}
