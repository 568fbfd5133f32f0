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
	// size is what the event adds to a log entry, in bytes.
	size int
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
	if e.Report != nil {
		e.Report = limitEnds(e.Report)
	}
	size, err := checkSize(e)
	if err != nil {
		return err
	}
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
	b.list = append(b.list, queuedEvent{event: e, done: done, size: size})
	b.notify()
	return nil
}

func (b *eventBox) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeCycle takes the events of one cycle, the oldest first: as many as fit into its log entry, and at least one.
func (b *eventBox) takeCycle() []queuedEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.list) && (n == 0 || size+b.list[n].size <= maxCycleBytes) {
		size += b.list[n].size
		n++
	}
	list := b.list[:n:n]
	if b.list = b.list[n:]; len(b.list) == 0 {
		b.list = nil
		return list
	}
	b.notify()
	return list
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
