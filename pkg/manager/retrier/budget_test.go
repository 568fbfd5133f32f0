package retrier_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/retrier"
)

func newBudget() *retrier.Budget {
	return &retrier.Budget{Source: rand.New(rand.NewPCG(1, 1))}
}

// load is what a pool got while a share of its attempts failed.
type load struct {
	first, attempts, answered int
}

func (l load) amplification() float64 { return float64(l.attempts) / float64(l.first) }

// run sends idempotent requests in virtual time, of whose attempts failing in 100 fail.
func run(r manager.Retrier, failing int) load {
	const requests, period = 10_000, 10 * manager.Millisecond
	source := rand.New(rand.NewPCG(2, 2))
	var l load
	for i := range requests {
		now := manager.Time(i) * manager.Time(period)
		q := manager.Request{Service: "pricing", Idempotent: true, Deadline: now.Add(10 * manager.Second)}
		r.Start(now, q)
		l.first++
		for attempt := 1; ; attempt++ {
			l.attempts++
			if source.IntN(100) >= failing {
				l.answered++
				break
			}
			d := r.Failed(now, q, manager.Outcome{Failed: true, RunState: manager.RunStateUnknown}, attempt)
			if !d.Retry {
				break
			}
			now = now.Add(d.DelayMs)
		}
	}
	return l
}

// A failed pool must not get much more load than its callers send.
func TestFailedPoolGetsLittleMoreLoad(t *testing.T) {
	const bound = 1.2
	require.LessOrEqual(t, run(newBudget(), 100).amplification(), bound)
	require.Greater(t, run(retrier.Once{}, 100).amplification(), bound)
}

// Where few attempts fail, the budget helps no less than the naive version.
func TestFewFailuresAreRetried(t *testing.T) {
	require.GreaterOrEqual(t, run(newBudget(), 5).answered, run(retrier.Once{}, 5).answered)
}

func BenchmarkAmplification(b *testing.B) {
	for b.Loop() {
		for _, failing := range []int{5, 100} {
			name := map[int]string{5: "few", 100: "all"}[failing]
			naive, budget := run(retrier.Once{}, failing), run(newBudget(), failing)
			b.ReportMetric(naive.amplification(), "naive-load-"+name)
			b.ReportMetric(budget.amplification(), "load-"+name)
			b.ReportMetric(float64(naive.first-naive.answered), "naive-lost-"+name)
			b.ReportMetric(float64(budget.first-budget.answered), "lost-"+name)
		}
	}
}

// Both versions agree on what must never be retried; the budget never allows more than it earned.
func TestRetriesStayWithinRulesAndBudget(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			r := manager.Request{
				Service: "ledger", Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Deadline: manager.Time(rapid.IntRange(0, 1000).Draw(t, "deadline")),
			}
			b.Start(0, r)
			first++
			o := manager.Outcome{Failed: true, RunState: rapid.SampledFrom([]manager.RunState{
				manager.RunStateNotRun, manager.RunStateUnknown, manager.RunStateRan,
			}).Draw(t, "state")}
			attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
			d := b.Failed(0, r, o, attempt)
			if !d.Retry {
				require.NotEmpty(t, d.Reason)
				continue
			}
			retries++
			require.True(t, r.Idempotent || o.RunState == manager.RunStateNotRun)
			require.Less(t, manager.Time(0).Add(d.DelayMs), r.Deadline)
			require.Less(t, attempt, retrier.DefaultMaxAttempts)
			require.Equal(t, attempt == 1, retrier.Once{}.Failed(0, r, o, attempt).Retry)
		}
		require.LessOrEqual(t, retries, retrier.DefaultBurst+first*int(retrier.DefaultShare)/100)
	})
}
