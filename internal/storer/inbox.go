package storer

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// proposal is a command that waits to be committed.
type proposal struct {
	command manager.CommandID
	data    []byte
	term    manager.Term
	done    chan outcome
}

type outcome struct {
	result manager.Result
	err    error
}

func (p *proposal) complete(result manager.Result, err error) {
	p.done <- outcome{result: result, err: err}
}

func completeAll(list []*proposal, err error) {
	for _, p := range list {
		p.complete(manager.Result{}, err)
	}
}

// readCall is a read that waits for the confirmation of leadership.
type readCall struct {
	timing replicator.ReadTiming
	done   chan error
}

func (c *readCall) complete(err error) { c.done <- err }

// inbound holds the messages of one peer's call, which waits for the answers.
type inbound struct {
	from     manager.ReplicaID
	messages []manager.ReplicaMessage
	answers  []manager.ReplicaMessage
	done     chan []manager.ReplicaMessage
}

// control is a function that runs in the driver's goroutine.
type control struct {
	run func(now manager.Time)
}

// batch is the input that arrived since the last cycle of the driver.
type batch struct {
	proposals []*proposal
	reads     []*readCall
	inbound   []*inbound
	controls  []control
}

// reject completes the proposals and reads with an error.
func (b *batch) reject(err error) {
	completeAll(b.proposals, err)
	for _, read := range b.reads {
		read.complete(err)
	}
	b.proposals, b.reads = nil, nil
}

// runControls runs the controls of this cycle.
func (b *batch) runControls(now manager.Time) {
	for _, c := range b.controls {
		c.run(now)
	}
	b.controls = nil
}

// answerAll returns the answers of this cycle to the waiting calls of the peers.
func (b *batch) answerAll() {
	for _, in := range b.inbound {
		in.done <- in.answers
	}
}

// caller returns the waiting call of a peer, or nil.
func (b *batch) caller(id manager.ReplicaID) *inbound {
	for _, in := range b.inbound {
		if in.from == id {
			return in
		}
	}
	return nil
}

// inbox collects the input that arrives between two cycles of the driver.
type inbox struct {
	wake chan struct{}

	mu     sync.Mutex
	next   batch
	closed error
}

// add calls f to add input to the next batch; it fails if the driver has stopped or the batch is full.
func (i *inbox) add(f func(*batch)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed != nil {
		return i.closed
	}
	if len(i.next.proposals)+len(i.next.reads)+len(i.next.inbound)+len(i.next.controls) >= maxQueued {
		return manager.ErrUnavailable{Component: "replica", Reason: "too many calls are queued"}
	}
	f(&i.next)
	i.notify()
	return nil
}

// notify makes the driver run another cycle.
func (i *inbox) notify() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *inbox) control(f func(now manager.Time)) {
	_ = i.add(func(b *batch) { b.controls = append(b.controls, control{run: f}) })
}

func (i *inbox) take() *batch {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.next
	i.next = batch{}
	return &b
}

func (i *inbox) close(err error) *batch {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = err
	b := i.next
	i.next = batch{}
	return &b
}
