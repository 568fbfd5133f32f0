package applier_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

const claimStart = manager.Time(1_700_000_000_000)

// timedID returns a UUIDv7 with time t.
func timedID(t manager.Time, n int) manager.RequestID {
	u := uuid.UUID{6: 0x70, 8: 0x80, 12: byte(n >> 24), 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		u[i] = byte(t >> (8 * (5 - i)))
	}
	return manager.RequestID(u.String())
}

func claim(s *applier.State, at manager.Time, id manager.RequestID, attempt string) manager.ClaimResult {
	return *s.Apply(manager.Command{At: at, MakeClaim: &manager.MakeClaim{Request: id, Digest: "d", Attempt: attempt}}).Claim
}

func record(s *applier.State, at manager.Time, id manager.RequestID, attempt string, a *manager.RecordedAnswer) manager.Result {
	return s.Apply(manager.Command{At: at, RecordAnswer: &manager.RecordAnswer{
		Request: id, Attempt: attempt, NotRun: a == nil, Answer: a,
	}})
}

func TestClaimIsGrantedOnce(t *testing.T) {
	for _, id := range []manager.RequestID{timedID(claimStart, 1), "invoice-1"} {
		s := applier.New()
		require.Equal(t, manager.ClaimGranted, claim(s, claimStart, id, "a").State)
		require.Equal(t, manager.ClaimGranted, claim(s, claimStart, id, "a").State, "a resent command")
		require.Equal(t, manager.ClaimPending, claim(s, claimStart, id, "b").State)
		require.Nil(t, record(s, claimStart, id, "a", nil).Failure)
		require.Equal(t, manager.ClaimGranted, claim(s, claimStart, id, "b").State)
		require.NotNil(t, record(s, claimStart, id, "a", &manager.RecordedAnswer{}).Failure)
		require.Nil(t, record(s, claimStart, id, "b", &manager.RecordedAnswer{Status: 201}).Failure)
		require.NotNil(t, record(s, claimStart, id, "b", nil).Failure, "an answered claim can't be released")
		require.Equal(t, 201, claim(s, claimStart, id, "c").Answer.Status)
		other := manager.MakeClaim{Request: id, Digest: "other", Attempt: "c"}
		require.Equal(t, manager.ClaimMismatch, s.Apply(manager.Command{MakeClaim: &other}).Claim.State)
		late := claimStart.Add(applier.ClaimWindow + 1)
		require.Equal(t, manager.ClaimExpired, claim(s, late, id, "d").State)
		require.Equal(t, manager.ClaimExpired, claim(s, late.Add(manager.Hour), id, "d").State)
	}
}

func TestClaimOfFutureIDIsRefused(t *testing.T) {
	s := applier.New()
	require.Equal(t, manager.ClaimAhead, claim(s, claimStart, timedID(claimStart.Add(applier.MaxClaimAhead+1), 1), "a").State)
	require.Equal(t, manager.ClaimGranted, claim(s, claimStart, timedID(claimStart.Add(applier.MaxClaimAhead), 1), "a").State)
}

func TestFullClaimTableRefusesUntilClaimsExpire(t *testing.T) {
	s := applier.New()
	for i := range applier.MaxClaims {
		require.Equal(t, manager.ClaimGranted, claim(s, claimStart, timedID(claimStart, i), "a").State)
	}
	require.Equal(t, manager.ClaimFull, claim(s, claimStart, timedID(claimStart, applier.MaxClaims), "a").State)
	late := claimStart.Add(applier.ClaimWindow + 1)
	require.Equal(t, manager.ClaimGranted, claim(s, late, timedID(late, 1), "a").State)
}

func TestIDsWithoutTimeAreBounded(t *testing.T) {
	s := applier.New()
	at := claimStart
	for i := range applier.MaxUntimedClaims {
		if i%applier.MaxClaims == 0 {
			at = at.Add(applier.ClaimWindow + 1)
		}
		require.Equal(t, manager.ClaimGranted, claim(s, at, manager.RequestID(fmt.Sprint("invoice-", i)), "a").State)
	}
	at = at.Add(applier.ClaimWindow + 1)
	require.Equal(t, manager.ClaimUntimed, claim(s, at, "one-more", "a").State)
	require.Equal(t, manager.ClaimExpired, claim(s, at, "invoice-7", "b").State)
	require.Equal(t, manager.ClaimGranted, claim(s, at, timedID(at, 1), "a").State)
}

func TestRecordedAnswersAreBounded(t *testing.T) {
	s := applier.New()
	const answers = 2 * applier.MaxAnswersBytes / applier.MaxAnswerBytes
	for i := range answers {
		id := timedID(claimStart, i)
		claim(s, claimStart, id, "a")
		record(s, claimStart, id, "a", &manager.RecordedAnswer{Status: 200, Body: make([]byte, applier.MaxAnswerBytes)})
	}
	require.Equal(t, manager.ClaimForgotten, claim(s, claimStart, timedID(claimStart, 0), "b").State)
	require.Equal(t, manager.ClaimAnswered, claim(s, claimStart, timedID(claimStart, answers-1), "b").State)
	data, err := s.Snapshot()
	require.NoError(t, err)
	require.Less(t, len(data), 2*applier.MaxAnswersBytes)
}

// Competing attempts, in any order and with any pauses between them, are granted each id once, unless the
// holder reports that the request did not run. A restored state behaves like the original.
func TestClaimsGrantAtMostOneRun(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		s := applier.New()
		now := claimStart
		ids := []manager.RequestID{"invoice-1", "invoice-2", timedID(now, 1), timedID(now.Add(30*manager.Second), 2)}
		holder := map[manager.RequestID]string{}
		ran := map[manager.RequestID]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			now = now.Add(manager.Duration(rapid.SampledFrom([]int{0, 10, 1000, 60_000, 200_000}).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				attempt := fmt.Sprint(i)
				if claim(s, now, id, attempt).State == manager.ClaimGranted {
					require.False(t, ran[id], "%s granted again", id)
					holder[id], ran[id] = attempt, true
				}
			case 2:
				if record(s, now, id, holder[id], nil).Failure == nil {
					ran[id] = false
				}
			case 3:
				record(s, now, id, holder[id], &manager.RecordedAnswer{Status: 200})
			case 4:
				data, err := s.Snapshot()
				require.NoError(t, err)
				s = applier.New()
				require.NoError(t, s.Restore(data))
				again, err := s.Snapshot()
				require.NoError(t, err)
				require.Equal(t, string(data), string(again))
			}
		}
	})
}

func TestClaimBatchRecordsAnswersBeforeClaims(t *testing.T) {
	s := applier.New()
	id := timedID(claimStart, 1)
	claim(s, claimStart, id, "a")
	result := s.Apply(manager.Command{At: claimStart, ClaimBatch: &manager.ClaimBatch{
		Answers: []manager.RecordAnswer{{Request: id, Attempt: "a", NotRun: true}},
		Claims: []manager.MakeClaim{
			{Request: id, Digest: "d", Attempt: "b"}, {Request: id, Digest: "d", Attempt: "c"},
		},
	}})
	require.Equal(t, []manager.ClaimResult{{State: manager.ClaimGranted}, {State: manager.ClaimPending}}, result.Claims)
	require.Zero(t, result.Revision, "a claim doesn't raise the revision that requests for configurations wait for")
}

func BenchmarkClaims(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := applier.New()
		const claims = 50_000
		for i := range claims {
			id := timedID(claimStart, i)
			claim(s, claimStart, id, uuid.NewString())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "state-B/claim")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/claims/float64(max(b.N, 1)), "ns/claim")
		runtime.KeepAlive(s)
	}
}
