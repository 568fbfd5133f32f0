package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// retryPause is the pause between two retries of all calls of a node together while no leader answers.
	retryPause = 60 * time.Millisecond
	// maxOvertaking is how much later than a call in the line another may have come that is sent beside it. Platforms allow
	// 250 ms; the rest is for the ways from the callers to the node.
	maxOvertaking = 200 * manager.Millisecond
	// firstTries is how many calls a node sends at once when a leader is found: 300 nodes send it 600. Each answer adds one,
	// up to mostTries: 300 nodes then have 3,600 calls at the leader, which takes 4,096.
	firstTries = 2
	mostTries  = 12
	// limitTime is how long after a leader was found these limits hold. Without an end, a node could send too little to a
	// leader of which each answer takes long; in this time a leader answers the calls that had waited for it.
	limitTime = 3 * time.Second
	// outageTime is for how long no call is answered before the limits hold again.
	outageTime = 300 * time.Millisecond
	// holdTime is how long a call that was sent holds back later ones, unless it is answered earlier. The leader reads its
	// configuration when a call arrives, but commits are slow under load: a line that waits for them would grow faster than
	// it is sent.
	holdTime = 100 * time.Millisecond
)

// waitingCall is a call on a node from its arrival to its answer.
type waitingCall struct {
	order   uint64
	arrived manager.Time
	// shows says that the answer depends on the configuration; later calls must not be answered by an older version.
	shows    bool
	released chan struct{}
	// inLine says that the call has waited, or has been sent to a leader that was replaced.
	inLine bool
	// trying says that an attempt runs or may begin, counted that it counts among those sent at once, and holding that it
	// holds back later calls.
	trying  bool
	counted bool
	holding bool
	tries   int
	// generation is that in which the call was released; leader is that of the attempt, and cancel ends it.
	generation uint64
	leader     manager.Address
	cancel     context.CancelFunc
}

// waiters are the calls of a node. A call is sent at once while none waits for a leader; otherwise it joins the line, which
// is sent in the order of arrival, a few calls at once. While no leader answers, one call at a time is retried: the retries
// of hundreds of calls on each node would overload a new leader.
type waiters struct {
	mu   sync.Mutex
	next uint64
	// direct are the calls in their first attempt that found no line.
	direct map[*waitingCall]struct{}
	line   []*waitingCall
	// generation counts the leaders found; a failure at an earlier one says nothing about the present one.
	generation uint64
	// leader is the one that was found last.
	leader manager.Address
	// open says that a leader was found or has answered, and no attempt has failed since.
	open     bool
	closedAt time.Time
	// limit is how many calls are sent at once until limitedUntil.
	limit        int
	limitedUntil time.Time
	probing      bool
}

// join adds a call that has arrived.
func (w *waiters) join(now manager.Time, k manager.FleetCallKind) *waitingCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := &waitingCall{
		order: w.next, arrived: now, shows: showsConfiguration(k), released: make(chan struct{}, 1), generation: w.generation,
	}
	if len(w.line) > 0 {
		w.enqueue(c)
		w.dispatch()
		return c
	}
	if w.direct == nil {
		w.direct = map[*waitingCall]struct{}{}
	}
	w.direct[c] = struct{}{}
	c.trying = true
	c.released <- struct{}{}
	return c
}

// showsConfiguration reports whether the answer to a call shows its sender which configuration is in force.
func showsConfiguration(k manager.FleetCallKind) bool {
	switch k {
	case manager.CallSubmit, manager.CallState, manager.CallCancel, manager.CallPending:
		return true
	}
	return false
}

// leave removes a call, which a leader has answered or not.
func (w *waiters) leave(c *waitingCall, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.direct, c)
	if c.inLine {
		w.line = slices.DeleteFunc(w.line, func(o *waitingCall) bool { return o == c })
	}
	if answered && c.generation == w.generation {
		if !w.open && time.Since(w.closedAt) >= outageTime {
			w.limitTries()
		}
		w.open = true
		w.limit = min(w.limit+1, mostTries)
	}
	w.dispatch()
}

// limitTries makes the line begin with few calls; mu is held.
func (w *waiters) limitTries() {
	w.limit, w.limitedUntil = firstTries, time.Now().Add(limitTime)
}

// fail puts a call that was not answered back to its place in the line.
func (w *waiters) fail(c *waitingCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.trying, c.counted, c.holding, c.cancel = false, false, false, nil
	w.enqueue(c)
	if w.open && c.generation == w.generation {
		w.open, w.closedAt = false, time.Now()
	}
	w.dispatch()
}

// enqueue puts a call to its place in the line; mu is held.
func (w *waiters) enqueue(c *waitingCall) {
	if c.inLine {
		return
	}
	delete(w.direct, c)
	c.inLine = true
	i, _ := slices.BinarySearchFunc(w.line, c, func(a, b *waitingCall) int { return int(a.order) - int(b.order) })
	w.line = slices.Insert(w.line, i, c)
}

// wait returns true when the call may be sent, and false once ctx has ended.
func (w *waiters) wait(ctx context.Context, c *waitingCall) bool {
	select {
	case <-c.released:
		return true
	default:
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.released:
		return true
	}
}

// begin records an attempt at a leader. It returns false if another leader was found since the call was released, or if this
// is another one than before: calls at the one before go first.
func (w *waiters) begin(c *waitingCall, leader manager.Address, cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.generation != w.generation {
		return false
	}
	if leader != "" && leader != w.leader {
		w.follow(leader)
		return false
	}
	c.leader, c.cancel = leader, cancel
	return true
}

// found sends the first calls of the line to a leader. Attempts at other nodes end and join the line before any later call:
// a leader that was replaced may answer them late or never.
func (w *waiters) found(leader manager.Address) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.follow(leader)
}

// follow is found; mu is held.
func (w *waiters) follow(leader manager.Address) {
	w.generation++
	w.leader = leader
	w.open = true
	w.limitTries()
	for c := range w.direct {
		if c.cancel != nil && c.leader != leader {
			w.enqueue(c)
		}
	}
	for _, c := range w.line {
		if c.cancel != nil && c.leader != leader {
			// Until the attempt has ended, the call holds back later ones.
			c.holding = true
			c.tries++
			c.cancel()
		}
	}
	w.dispatch()
}

// dispatch releases the calls whose turn it is; mu is held.
func (w *waiters) dispatch() {
	if !w.open {
		w.scheduleProbe()
		return
	}
	limit := max(w.limit, firstTries)
	if time.Now().After(w.limitedUntil) {
		limit = len(w.line)
	}
	for _, c := range w.line {
		if c.counted {
			limit--
		}
	}
	w.release(limit)
}

// probe releases a call unless one was released a moment ago; mu is held.
func (w *waiters) probe() {
	if !slices.ContainsFunc(w.line, func(c *waitingCall) bool { return c.holding }) {
		w.release(1)
	}
}

// release releases up to limit calls; mu is held.
func (w *waiters) release(limit int) {
	var oldest *waitingCall
	for _, c := range w.line {
		if oldest == nil && c.shows && (c.holding || !c.trying) {
			oldest = c
		}
		if c.trying {
			continue
		}
		if limit <= 0 || oldest != nil && c.arrived.Sub(oldest.arrived) > maxOvertaking {
			return
		}
		limit--
		w.try(c)
	}
}

// try lets a call of the line begin an attempt; mu is held.
func (w *waiters) try(c *waitingCall) {
	c.trying, c.counted, c.holding = true, true, true
	c.tries++
	c.generation = w.generation
	c.released <- struct{}{}
	tries := c.tries
	time.AfterFunc(holdTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if c.tries == tries && c.holding {
			c.holding = false
			w.dispatch()
		}
	})
}

// scheduleProbe retries one call of the line after a pause; mu is held.
func (w *waiters) scheduleProbe() {
	if w.probing || len(w.line) == 0 {
		return
	}
	w.probing = true
	time.AfterFunc(retryPause, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.probing = false
		if !w.open {
			w.probe()
		}
		w.dispatch()
	})
}
