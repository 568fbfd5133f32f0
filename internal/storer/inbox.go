package storer

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// proposal is a command that waits for its commit.
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

func (p *proposal) end(result manager.Result, err error) { p.done <- outcome{result: result, err: err} }

func endAll(list []*proposal, err error) {
	for _, p := range list {
		p.end(manager.Result{}, err)
	}
}

// readCall is a read that waits for its confirmation.
type readCall struct {
	urgency replicator.ReadTiming
	done    chan error
}

func (c *readCall) end(err error) { c.done <- err }

// inbound are messages from a peer whose call waits for the answers.
type inbound struct {
	from     manager.ReplicaID
	messages []manager.ReplicaMessage
	answers  []manager.ReplicaMessage
	done     chan []manager.ReplicaMessage
}

// control is something to be done by the driver.
type control struct {
	run func(now manager.Time)
}

// batch is what came since the last turn.
type batch struct {
	proposals []*proposal
	reads     []*readCall
	inbound   []*inbound
	controls  []control
}

// refuse ends the proposals and reads with an error.
func (b *batch) refuse(err error) {
	endAll(b.proposals, err)
	for _, read := range b.reads {
		read.end(err)
	}
	b.proposals, b.reads = nil, nil
}

// answerAll ends the peers' calls with the answers that the turn made for them.
func (b *batch) answerAll() {
	for _, in := range b.inbound {
		in.done <- in.answers
	}
}

// caller returns the call of a peer that waits for answers.
func (b *batch) caller(id manager.ReplicaID) *inbound {
	for _, in := range b.inbound {
		if in.from == id {
			return in
		}
	}
	return nil
}

// inbox collects what comes between two turns of the driver.
type inbox struct {
	wake chan struct{}

	mu     sync.Mutex
	next   batch
	closed error
}

// add lets f put something into the next batch, unless the driver has ended.
func (i *inbox) add(f func(*batch)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed != nil {
		return i.closed
	}
	if len(i.next.proposals)+len(i.next.reads)+len(i.next.inbound)+len(i.next.controls) >= maxQueued {
		return manager.ErrUnavailable{Component: "replica", Reason: "too many calls wait"}
	}
	f(&i.next)
	i.poke()
	return nil
}

// poke makes the driver take another turn.
func (i *inbox) poke() {
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
