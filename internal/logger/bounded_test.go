package logger

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
)

const (
	minorLine     = `{"Time":"x","Level":"DEBUG+3","Message":"m"}` + "\n"
	essentialLine = `{"Time":"x","Level":"INFO","Message":"e"}` + "\n"
)

func write(t *testing.T, b *Bounded, line string) {
	t.Helper()
	n, err := b.Write([]byte(line))
	require.NoError(t, err)
	require.Equal(t, len(line), n)
}

// testClock is a time that several goroutines read.
type testClock struct{ ms atomic.Int64 }

func (c *testClock) now() time.Time { return time.UnixMilli(c.ms.Load()) }

// dropped returns the numbers of minor and essential lines that were dropped since the last report.
func dropped(b *Bounded) (minor, essential int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.minor, b.essential
}

// A reader that stops reading must not stop the process; essential lines are the last to go.
func TestStuckReaderBlocksNobody(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	clock := &testClock{}
	b := &Bounded{To: w, Now: clock.now}
	minorBefore, essentialBefore := meter.LogLinesDropped(true).Get(), meter.LogLinesDropped(false).Get()
	b.Start()
	for range 2 * maxWaiting {
		clock.ms.Add(1)
		write(t, b, minorLine)
	}
	// The counters also count what the writer has put into the report that the reader does not take.
	require.Positive(t, meter.LogLinesDropped(true).Get()-minorBefore)
	for range maxWaiting / 4 {
		clock.ms.Add(1)
		write(t, b, essentialLine)
	}
	require.Zero(t, meter.LogLinesDropped(false).Get()-essentialBefore, "essential lines were dropped while there was room")
	for range 2 * maxWaiting {
		write(t, b, essentialLine)
	}
	require.Positive(t, meter.LogLinesDropped(false).Get()-essentialBefore)
	b.mu.Lock()
	waiting := len(b.lines)
	b.mu.Unlock()
	require.LessOrEqual(t, waiting, maxWaiting)
	b.Stop(10 * time.Millisecond)
	write(t, b, essentialLine)
}

// buffer is a bytes.Buffer that several goroutines may use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestDroppedLinesAreCountedInTheLog(t *testing.T) {
	out := &buffer{}
	clock := &testClock{}
	b := &Bounded{To: out, Node: "n", Now: clock.now}
	b.Start()
	for range 2 * burstLines {
		write(t, b, minorLine)
	}
	minor, _ := dropped(b)
	clock.ms.Add(2 * reportPeriod.Milliseconds())
	write(t, b, essentialLine)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "dropped") }, 5*time.Second, time.Millisecond)
	b.Stop(time.Second)
	var found struct{ Minor, Essential int }
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "dropped") {
			require.NoError(t, json.Unmarshal([]byte(line), &found))
		}
	}
	require.Equal(t, minor, found.Minor)
	require.Zero(t, found.Essential)
}
