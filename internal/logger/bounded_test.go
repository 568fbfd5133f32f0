package logger

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// A reader that stops reading must not stop the process; essential lines are the last to go.
func TestStuckReaderBlocksNobody(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	now := time.Unix(0, 0)
	b := &Bounded{To: w, Now: func() time.Time { return now }}
	b.Start()
	for range 2 * maxWaiting {
		now = now.Add(time.Second / linesPerSecond)
		write(t, b, minorLine)
	}
	require.Positive(t, b.minor)
	for range maxWaiting / 4 {
		now = now.Add(time.Second / linesPerSecond)
		write(t, b, essentialLine)
	}
	require.Zero(t, b.essential, "essential lines were dropped while there was room")
	for range 2 * maxWaiting {
		write(t, b, essentialLine)
	}
	require.Positive(t, b.essential)
	require.LessOrEqual(t, len(b.lines), maxWaiting)
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
	now := time.Unix(0, 0)
	b := &Bounded{To: out, Node: "n", Now: func() time.Time { return now }}
	b.Start()
	for range 2 * burstLines {
		write(t, b, minorLine)
	}
	b.mu.Lock()
	dropped := b.minor
	now = now.Add(2 * reportPeriod)
	b.mu.Unlock()
	write(t, b, essentialLine)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "dropped") }, 5*time.Second, time.Millisecond)
	b.Stop(time.Second)
	var found struct{ Minor, Essential int }
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "dropped") {
			require.NoError(t, json.Unmarshal([]byte(line), &found))
		}
	}
	require.Equal(t, dropped, found.Minor)
	require.Zero(t, found.Essential)
}
