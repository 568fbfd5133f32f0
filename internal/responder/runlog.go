package responder

import (
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// RunLog counts how often each request ran, over all upstreams that share it.
type RunLog struct {
	mu   sync.Mutex
	runs map[manager.RequestID]int
}

// Add records a run.
func (l *RunLog) Add(id manager.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[manager.RequestID]int{}
	}
	l.runs[id]++
}

// Runs returns how often a request ran.
func (l *RunLog) Runs(id manager.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}
