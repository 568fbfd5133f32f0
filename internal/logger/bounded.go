package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Minor is the verbosity of lines that are the first to go where the log can't keep up.
const Minor = 1

const (
	// maxWaiting bounds the lines that wait for the reader of the log; at half of it minor ones are dropped.
	maxWaiting = 4096
	// linesPerSecond bounds the lines written on average; a peak of a queue's turn stays below it.
	linesPerSecond = 1500
	// burstLines may be written at once.
	burstLines = 3000
	// reportPeriod is the pause between two lines on dropped lines.
	reportPeriod = time.Second
)

// Bounded is a writer that never blocks: lines wait for their reader in bounded memory, minor ones are
// dropped first, and what was dropped is counted and logged.
type Bounded struct {
	To   io.Writer
	Node string
	// Now is the time; nil stands for the machine's.
	Now func() time.Time

	mu        sync.Mutex
	lines     [][]byte
	wake      chan struct{}
	done      chan struct{}
	tokens    float64
	filledAt  time.Time
	minor     int
	essential int
	stopped   bool
}

// Start begins to write.
func (b *Bounded) Start() {
	if b.Now == nil {
		b.Now = time.Now
	}
	b.wake, b.done = make(chan struct{}, 1), make(chan struct{})
	b.tokens, b.filledAt = burstLines, b.Now()
	go b.run()
}

// Write takes one line.
func (b *Bounded) Write(line []byte) (int, error) {
	minor := bytes.Contains(line[:min(len(line), 200)], []byte(`"Level":"DEBUG`))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	switch {
	case minor && (len(b.lines) >= maxWaiting/2 || b.tokens < burstLines/4):
		b.minor++
		meter.LogLinesDropped(true).Inc()
	case len(b.lines) >= maxWaiting || b.tokens < 1:
		b.essential++
		meter.LogLinesDropped(false).Inc()
	default:
		b.tokens--
		b.lines = append(b.lines, bytes.Clone(line))
		b.signal()
	}
	return len(line), nil
}

func (b *Bounded) signal() {
	if b.stopped {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// fill adds the tokens of the time that has passed.
func (b *Bounded) fill() {
	now := b.Now()
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.tokens = min(burstLines, b.tokens+passed.Seconds()*linesPerSecond)
		b.filledAt = now
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	reported := b.Now()
	for range b.wake {
		b.mu.Lock()
		lines := b.lines
		b.lines = nil
		if b.minor+b.essential > 0 && b.Now().Sub(reported) >= reportPeriod {
			reported = b.Now()
			lines = append(lines, b.report())
		}
		b.mu.Unlock()
		if len(lines) == 0 {
			continue
		}
		// A reader that is gone can't be told about it.
		_, _ = b.To.Write(bytes.Join(lines, nil))
	}
}

// report returns the line on dropped lines.
func (b *Bounded) report() []byte {
	line := fmt.Appendf(nil, `{"Time":%q,"Level":"WARN","Message":%q,"Node":%q,"Minor":%d,"Essential":%d}`+"\n",
		b.Now().Format(time.RFC3339Nano), manager.LogLinesDropped, b.Node, b.minor, b.essential)
	b.minor, b.essential = 0, 0
	return line
}

// Stop writes what waits, unless that takes longer than patience.
func (b *Bounded) Stop(patience time.Duration) {
	b.mu.Lock()
	b.stopped = true
	close(b.wake)
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(patience):
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines) > 0 {
		_, _ = b.To.Write(bytes.Join(b.lines, nil))
	}
}
