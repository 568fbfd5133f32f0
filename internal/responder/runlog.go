package responder

import (
	"fmt"
	"slices"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// RunLog counts how often each request ran, over all upstreams that share it.
type RunLog struct {
	mu   sync.Mutex
	runs map[manager.RequestID]int
	// once holds the requests that said they are not idempotent.
	once map[manager.RequestID]bool
}

// Add records a run.
func (l *RunLog) Add(id manager.RequestID, idempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[manager.RequestID]int{}
		l.once = map[manager.RequestID]bool{}
	}
	l.runs[id]++
	if !idempotent {
		l.once[id] = true
	}
}

// Doubled names the non-idempotent requests that ran more than once, ordered by id.
func (l *RunLog) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id := range l.once {
		if l.runs[id] > 1 {
			list = append(list, fmt.Sprintf("request %s ran %d times", id, l.runs[id]))
		}
	}
	slices.Sort(list)
	return list
}

// Runs returns how often a request ran.
func (l *RunLog) Runs(id manager.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}
