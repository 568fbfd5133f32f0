package claimer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/claimer"
)

// commitTime is a quorum's commit in virtual time.
const commitTime = 4 * manager.Millisecond

// cost is what claims took.
type cost struct {
	claims, commands int
	waited           manager.Duration
}

func (c cost) perClaim() float64 { return float64(c.commands) / float64(c.claims) }

func (c cost) latency() float64 { return float64(c.waited) / float64(c.claims) }

// commit is a command on its way.
type commit struct {
	at     manager.Time
	claims []manager.MakeClaim
}

// batched sends perMs claims each millisecond for a while, through a Batcher.
func batched(perMs int) cost {
	var b claimer.Batcher
	var c cost
	var flying []commit
	made := map[string]manager.Time{}
	const end = manager.Time(1000)
	for now := manager.Time(0); now < end || len(flying) > 0; now++ {
		for len(flying) > 0 && flying[0].at <= now {
			for _, claim := range flying[0].claims {
				c.waited += now.Sub(made[claim.Attempt])
			}
			flying = flying[1:]
			b.Done()
		}
		for i := 0; i < perMs && now < end; i++ {
			claim := manager.MakeClaim{Attempt: fmt.Sprint(now, "-", i)}
			made[claim.Attempt] = now
			c.claims++
			b.AddClaim(claim)
		}
		for {
			batch, ok := b.Next()
			if !ok {
				break
			}
			c.commands++
			flying = append(flying, commit{at: now.Add(commitTime), claims: batch.Claims})
		}
	}
	return c
}

// An idle gateway adds no wait; a busy one shares commands and waits for one more commit at the most.
func TestBatchesShareCommandsWithoutDelay(t *testing.T) {
	busy := batched(10)
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
		require.LessOrEqual(t, len(batch.Claims), claimer.MaxBatchParts)
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
			c := batched(perMs)
			b.ReportMetric(c.perClaim(), fmt.Sprintf("commands/claim-%d-per-ms", perMs))
			b.ReportMetric(c.latency(), fmt.Sprintf("ms/claim-%d-per-ms", perMs))
		}
	}
}

func FuzzMadeAt(f *testing.F) {
	f.Add("0190a5c0-1111-7000-8000-000000000001")
	f.Add("{0190a5c0-1111-7000-8000-00000000001}")
	f.Add("invoice-1")
	f.Fuzz(func(t *testing.T, id string) {
		at, timed := claimer.IDTimestamp(manager.RequestID(id))
		require.GreaterOrEqual(t, at, manager.Time(0))
		require.True(t, timed || at == 0)
	})
}
