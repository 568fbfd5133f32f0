package coordinator

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// maxEvents bounds the events that wait for a cycle.
const maxEvents = 4096

// queuedEvent is an event and the call that waits for its answer.
type queuedEvent struct {
	event dispatcher.Event
	done  chan outcome
}

// eventBox collects events between two cycles.
type eventBox struct {
	wake chan struct{}

	mu      sync.Mutex
	list    []queuedEvent
	next    dispatcher.CallID
	opened  bool
	closing bool
}

// add queues an event. It fails if this replica does not lead, or too many events wait.
func (b *eventBox) add(e dispatcher.Event, done chan outcome) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.opened || b.closing {
		return manager.ErrNotLeader{}
	}
	if len(b.list) >= maxEvents {
		return manager.ErrUnavailable{Component: "dispatcher", Reason: "too many calls wait"}
	}
	b.next++
	e.Call = b.next
	b.list = append(b.list, queuedEvent{event: e, done: done})
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

func (b *eventBox) take() []queuedEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = nil
	return list
}

func (b *eventBox) takeAndClose() []queuedEvent {
	b.mu.Lock()
	b.opened = false
	b.mu.Unlock()
	return b.take()
}

func (b *eventBox) open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened = true
}

// prepareStop refuses events from now on.
func (b *eventBox) prepareStop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = true
}

func (b *eventBox) stopping() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closing
}
