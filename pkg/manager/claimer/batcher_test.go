package claimer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

// commitTime is the virtual time that a quorum takes to commit.
const commitTime = 4 * manager.Millisecond

// cost counts the claims sent, the commands used for them and their total waiting time.
type cost struct {
	claims, commands int
	waited           manager.Duration
}

func (c cost) perClaim() float64 { return float64(c.commands) / float64(c.claims) }

func (c cost) latency() float64 { return float64(c.waited) / float64(c.claims) }

// commit is a command in flight and when it commits.
type commit struct {
	at     manager.Time
	claims []manager.MakeClaim
}

// simulateBatches sends perMs claims per virtual millisecond through a Batcher for one second.
func simulateBatches(perMs int) cost {
	var b claimer.Batcher
	var c cost
	var inFlight []commit
	addedAt := map[string]manager.Time{}
	const end = manager.Time(1000)
	for now := manager.Time(0); now < end || len(inFlight) > 0; now++ {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			for _, claim := range inFlight[0].claims {
				c.waited += now.Sub(addedAt[claim.Attempt])
			}
			inFlight = inFlight[1:]
			b.Done()
		}
		for i := 0; i < perMs && now < end; i++ {
			claim := manager.MakeClaim{Attempt: fmt.Sprint(now, "-", i)}
			addedAt[claim.Attempt] = now
			c.claims++
			b.AddClaim(claim)
		}
		for {
			batch, ok := b.Next()
			if !ok {
				break
			}
			c.commands++
			inFlight = append(inFlight, commit{at: now.Add(commitTime), claims: batch.Claims})
		}
	}
	return c
}

// Guards against batching that delays claims: an idle gateway sends a claim immediately, and a busy one shares
// commands between claims and waits for at most one more commit.
func TestBatchesShareCommandsWithoutDelay(t *testing.T) {
	busy := simulateBatches(10)
	require.Less(t, busy.perClaim(), 0.1)
	require.LessOrEqual(t, busy.latency(), 2*float64(commitTime))
	var b claimer.Batcher
	require.True(t, b.AddClaim(manager.MakeClaim{Attempt: "a"}))
	batch, ok := b.Next()
	require.True(t, ok)
	require.Len(t, batch.Claims, 1)
}

func TestQueuesAreBounded(t *testing.T) {
	var b claimer.Batcher
	n := 0
	for b.AddClaim(manager.MakeClaim{}) {
		n++
	}
	require.Equal(t, claimer.MaxQueuedClaims, n)
	a := manager.RecordAnswer{Answer: &manager.RecordedAnswer{Body: make([]byte, 64<<10)}}
	for n = 0; b.AddAnswer(a); n++ {
		require.Less(t, n, claimer.MaxQueuedBytes>>16)
	}
	batches, claims, answers := 0, 0, 0
	for !b.Empty() {
		batch, ok := b.Next()
		require.True(t, ok)
		require.LessOrEqual(t, len(batch.Claims), claimer.MaxBatchItems)
		require.LessOrEqual(t, len(batch.Answers)*64<<10, claimer.MaxBatchBytes)
		b.Done()
		batches++
		claims += len(batch.Claims)
		answers += len(batch.Answers)
	}
	require.Equal(t, claimer.MaxQueuedClaims, claims)
	require.Equal(t, n, answers)
	require.True(t, b.AddAnswer(a))
}

func BenchmarkBatches(b *testing.B) {
	for b.Loop() {
		for _, perMs := range []int{1, 10} {
			c := simulateBatches(perMs)
			b.ReportMetric(c.perClaim(), fmt.Sprintf("commands/claim-%d-per-ms", perMs))
			b.ReportMetric(c.latency(), fmt.Sprintf("ms/claim-%d-per-ms", perMs))
		}
	}
}

func FuzzIDTimestamp(f *testing.F) {
	f.Add("0190a5c0-1111-7000-8000-000000000001")
	f.Add("{0190a5c0-1111-7000-8000-00000000001}")
	f.Add("invoice-1")
	f.Fuzz(func(t *testing.T, id string) {
		at, timed := claimer.IDTimestamp(manager.RequestID(id))
		require.GreaterOrEqual(t, at, manager.Time(0))
		require.True(t, timed || at == 0)
	})
}
