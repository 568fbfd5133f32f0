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
	return &retrier.Budget{Rand: rand.New(rand.NewPCG(1, 1))}
}

// load counts the first attempts, all attempts and the successful requests of a simulation.
type load struct {
	first, attempts, answered int
}

func (l load) amplification() float64 { return float64(l.attempts) / float64(l.first) }

// run sends idempotent requests in virtual time; failurePercent is the percentage of attempts that fail.
func run(r manager.Retrier, failurePercent int) load {
	const requests, period = 10_000, 10 * manager.Millisecond
	random := rand.New(rand.NewPCG(2, 2))
	var l load
	for i := range requests {
		now := manager.Time(i) * manager.Time(period)
		request := manager.Request{Service: "pricing", Idempotent: true, Deadline: now.Add(10 * manager.Second)}
		r.Start(now, request)
		l.first++
		for attempt := 1; ; attempt++ {
			l.attempts++
			if random.IntN(100) >= failurePercent {
				l.answered++
				break
			}
			d := r.Failed(now, request, manager.Outcome{Failed: true, RunState: manager.RunStateUnknown}, attempt)
			if !d.Retry {
				break
			}
			now = now.Add(d.DelayMs)
		}
	}
	return l
}

// Guards against a retry storm: while all attempts fail, the pool must not receive much more load than its callers
// send.
func TestFailedPoolGetsLittleMoreLoad(t *testing.T) {
	const bound = 1.2
	require.LessOrEqual(t, run(newBudget(), 100).amplification(), bound)
	require.Greater(t, run(retrier.SingleRetry{}, 100).amplification(), bound)
}

// With few failures, the budget must answer at least as many requests as the baseline.
func TestFewFailuresAreRetried(t *testing.T) {
	require.GreaterOrEqual(t, run(newBudget(), 5).answered, run(retrier.SingleRetry{}, 5).answered)
}

func BenchmarkAmplification(b *testing.B) {
	for b.Loop() {
		for _, failurePercent := range []int{5, 100} {
			name := map[int]string{5: "few", 100: "all"}[failurePercent]
			baseline, budget := run(retrier.SingleRetry{}, failurePercent), run(newBudget(), failurePercent)
			b.ReportMetric(baseline.amplification(), "naive-load-"+name)
			b.ReportMetric(budget.amplification(), "load-"+name)
			b.ReportMetric(float64(baseline.first-baseline.answered), "naive-lost-"+name)
			b.ReportMetric(float64(budget.first-budget.answered), "lost-"+name)
		}
	}
}

// Checks that a retry never runs work twice, starts after the deadline or exceeds the attempts or the budget, and that
// the baseline allows each first retry that the budget allows.
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
			require.Equal(t, attempt == 1, retrier.SingleRetry{}.Failed(0, r, o, attempt).Retry)
		}
		require.LessOrEqual(t, retries, retrier.DefaultBurst+first*int(retrier.DefaultRetryPercent)/100)
	})
}
