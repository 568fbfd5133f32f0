package localizer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/localizer"
)

// input is a task of 1 s, 3 s remote, of a job with much time, in a pool without a backlog.
func input() manager.LocalityInput {
	return manager.LocalityInput{
		Now: 10_000, Since: 10_000, LocalMs: 1000, RemoteMs: 3000, NearAt: 10_500, LatestStart: 60_000, LatestRemote: 58_000, TurnMs: 100,
	}
}

// Guards against a reason or an end of a wait other than the one that applies.
func TestAdaptiveDecides(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*manager.LocalityInput)
		wait   bool
		reason manager.LocalityReason
	}{
		"short wait":              {func(*manager.LocalityInput) {}, true, ""},
		"as long as a remote run": {func(in *manager.LocalityInput) { in.NearAt = in.Now + 2000 }, false, manager.LocalityTooLong},
		"backlog pays for it":     {func(in *manager.LocalityInput) { in.NearAt, in.BacklogMs = in.Now+2000, 1000 }, true, ""},
		"the end has passed":      {func(in *manager.LocalityInput) { in.WaitUntil = in.Now }, false, manager.LocalityExpired},
		"near only after the end": {func(in *manager.LocalityInput) { in.WaitUntil = in.Now + 400 }, false, manager.LocalityTooLong},
		"queue of the rack":       {func(in *manager.LocalityInput) { in.Ahead = 12 }, false, manager.LocalityQueue},
		"queue, only near in time": {func(in *manager.LocalityInput) {
			in.Ahead, in.LatestRemote, in.LatestStart = 12, in.Now+200, in.Now+2200
		}, true, ""},
		"queue no longer than pool": {func(in *manager.LocalityInput) { in.Ahead, in.BacklogMs = 12, 800 }, true, ""},
		"queue after the decision":  {func(in *manager.LocalityInput) { in.Ahead, in.WaitUntil = 12, in.Now+1000 }, true, ""},
		"remote start due":          {func(in *manager.LocalityInput) { in.LatestRemote, in.Since = in.Now+200, in.Now-1000 }, false, manager.LocalityObjective},
		"near after remote start":   {func(in *manager.LocalityInput) { in.LatestRemote = in.Now + 700 }, false, manager.LocalityObjective},
		"remote start due, backlog": {func(in *manager.LocalityInput) {
			in.LatestRemote, in.LatestStart, in.BacklogMs = in.Now+200, in.Now+2200, 1000
		}, true, ""},
		"remote run may be late": {func(in *manager.LocalityInput) { in.LatestRemote, in.LatestStart = in.Now+200, in.Now+2200 }, true, ""},
		"local run may be late": {func(in *manager.LocalityInput) {
			in.LatestRemote, in.LatestStart, in.NearAt = in.Now+200, in.Now+2200, in.Now+900
		}, false, manager.LocalityObjective},
		"remote start was due": {func(in *manager.LocalityInput) {
			in.LatestRemote, in.LatestStart, in.Since = in.Now-100, in.Now+1900, in.Now-3000
		}, true, ""},
		"only a local run is on time": {func(in *manager.LocalityInput) { in.LatestRemote, in.LatestStart = in.Now-1000, in.Now+1000 }, true, ""},
		"held":                        {func(in *manager.LocalityInput) { in.Idle, in.HeldMs = true, 2000 }, false, manager.LocalityHeld},
		"would be held too long":      {func(in *manager.LocalityInput) { in.Idle, in.HeldMs = true, 1600 }, false, manager.LocalityHeld},
		"held while something runs":   {func(in *manager.LocalityInput) { in.HeldMs = 2000 }, true, ""},
		"contested":                   {func(in *manager.LocalityInput) { in.Idle, in.HeldMs, in.Contested = true, 5000, true }, true, ""},
		"no factor":                   {func(in *manager.LocalityInput) { in.RemoteMs = in.LocalMs }, false, manager.LocalityTooLong},
		"no estimate":                 {func(in *manager.LocalityInput) { in.RemoteMs, in.LocalMs = 0, 0 }, false, manager.LocalityTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			in := input()
			c.change(&in)
			o := localizer.Adaptive{}.Decide(in)
			require.Equal(t, c.wait, o.Wait)
			require.Equal(t, c.reason, o.Reason)
			require.Equal(t, c.wait, o.Until > in.Now)
		})
	}
}

// Guards against a wait past its bounds for any input: by the objective, by the time for which a job is held, and by its own
// end.
func TestAdaptiveKeepsItsBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	waits := 0
	for range 100_000 {
		now := manager.Time(100_000)
		at := func(n int) manager.Time { return now.Add(manager.Duration(rng.IntN(n) - n/3)) }
		in := manager.LocalityInput{
			Now: now, Since: now.Add(-manager.Duration(rng.IntN(3000))), LocalMs: manager.Duration(rng.IntN(5000)), NearAt: now.Add(manager.Duration(rng.IntN(5000))), LatestStart: at(20_000),
			Ahead: rng.IntN(20), TurnMs: rng.Float64() * 100, Idle: rng.IntN(2) == 0, HeldMs: manager.Duration(rng.IntN(3000)),
		}
		in.RemoteMs = in.LocalMs * manager.Duration(1+rng.IntN(3))
		in.LatestRemote = in.LatestStart.Add(in.LocalMs - in.RemoteMs - manager.Duration(rng.IntN(3000)))
		if rng.IntN(2) == 0 {
			in.WaitUntil = at(2000)
		}
		o := localizer.Adaptive{}.Decide(in)
		if !o.Wait {
			require.NotEmpty(t, o.Reason)
			continue
		}
		waits++
		require.Greater(t, o.Until, now)
		require.True(t, !in.Idle || in.HeldMs < 2*manager.Second, "%+v", in)
		require.True(t, in.WaitUntil == 0 || now < in.WaitUntil, "%+v", in)
		margin := max(300, in.RemoteMs*15/100)
		safe := now <= in.LatestRemote && in.Since.Add(margin) <= in.LatestRemote
		require.True(t, !safe || now.Add(100) < in.LatestRemote, "%+v", in)
		require.True(t, !safe || now.Add(margin) < in.LatestRemote || in.NearAt.Add(in.NearAt.Sub(now)+100) <= in.LatestRemote, "%+v", in)
	}
	require.Greater(t, waits, 1000)
}

func TestBaselines(t *testing.T) {
	in := input()
	require.False(t, localizer.Never{}.Decide(in).Wait)
	in.NearAt, in.Idle, in.HeldMs = in.Now+manager.Time(manager.Minute), true, manager.Minute
	require.True(t, localizer.Always{}.Decide(in).Wait)
}
