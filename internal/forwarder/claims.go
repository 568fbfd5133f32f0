package forwarder

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

// Proposer commits commands.
type Proposer interface {
	Propose(ctx context.Context, c manager.Command) (manager.Result, error)
}

// ClaimQueue commits the claims and answers of many requests together.
type ClaimQueue struct {
	Proposer Proposer
	// Batcher decides what goes together; its zero value takes the defaults.
	Batcher claimer.Batcher

	mu      sync.Mutex
	waiting map[string]chan claimOutcome
	work    sync.WaitGroup
}

// claimOutcome is the result of a claim, or why there is none.
type claimOutcome struct {
	result manager.ClaimResult
	err    error
}

// Claim returns the result of a claim once it is committed. A claim that is granted after ctx ended is
// given back.
func (q *ClaimQueue) Claim(ctx context.Context, c manager.MakeClaim) (manager.ClaimResult, error) {
	outcome := make(chan claimOutcome, 1)
	q.mu.Lock()
	if q.waiting == nil {
		q.waiting = map[string]chan claimOutcome{}
	}
	if !q.Batcher.AddClaim(c) {
		q.mu.Unlock()
		return manager.ClaimResult{}, manager.ErrUnavailable{Component: "claims", Reason: "too many wait"}
	}
	q.waiting[c.Attempt] = outcome
	q.send()
	q.mu.Unlock()
	select {
	case o := <-outcome:
		return o.result, o.err
	case <-ctx.Done():
		return q.leave(c, outcome)
	}
}

// leave forgets a waiting claim; an outcome that came meanwhile goes first.
func (q *ClaimQueue) leave(c manager.MakeClaim, outcome <-chan claimOutcome) (manager.ClaimResult, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case o := <-outcome:
		return o.result, o.err
	default:
	}
	delete(q.waiting, c.Attempt)
	return manager.ClaimResult{}, context.DeadlineExceeded
}

// Record queues an answer, or the end of a claim whose work did not run.
func (q *ClaimQueue) Record(a manager.RecordAnswer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record(a)
	q.send()
}

func (q *ClaimQueue) record(a manager.RecordAnswer) {
	if !q.Batcher.AddAnswer(a) {
		klog.V(2).InfoS("Answer not recorded", "Request", a.Request)
	}
}

// Stop returns once everything queued was sent.
func (q *ClaimQueue) Stop() { q.work.Wait() }

// send starts the batches that are due; mu is held.
func (q *ClaimQueue) send() {
	for {
		batch, ok := q.Batcher.Next()
		if !ok {
			return
		}
		q.work.Go(func() { q.commit(batch) })
	}
}

// commit sends one batch. It has no caller's deadline, as it serves many.
func (q *ClaimQueue) commit(b manager.ClaimBatch) {
	result, err := q.Proposer.Propose(context.Background(), manager.Command{ClaimBatch: &b})
	if err == nil && len(result.Claims) != len(b.Claims) {
		err = manager.ErrUnavailable{Component: "claims", Reason: "a batch's results are missing"}
	}
	if err != nil {
		klog.V(2).InfoS("Claims not committed", "Claims", len(b.Claims), "Answers", len(b.Answers), "Error", err.Error())
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Batcher.Done()
	for i, c := range b.Claims {
		o := claimOutcome{err: err}
		if err == nil {
			o.result = result.Claims[i]
		}
		q.deliver(c, o)
	}
	q.send()
}

// deliver hands an outcome to the one who waits. A claim that may be held for nobody is given back.
func (q *ClaimQueue) deliver(c manager.MakeClaim, o claimOutcome) {
	waiter, ok := q.waiting[c.Attempt]
	delete(q.waiting, c.Attempt)
	if o.err != nil || !ok && o.result.State == manager.ClaimGranted {
		q.record(manager.RecordAnswer{Request: c.Request, Attempt: c.Attempt, NotRun: true})
	}
	if ok {
		waiter <- o
	}
}
