package gateway

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// inForceBound is the time within which an accepted change is in force at every gateway that
	// takes requests.
	inForceBound = 5 * manager.Second
	// modelHold and modelConfirm are how long the modelled leader holds a request and confirms it.
	modelHold    = 1 * manager.Second
	modelConfirm = 400 * manager.Millisecond
)

// rolloutGateway asks a modelled leader in virtual time.
type rolloutGateway struct {
	keeper *configurationKeeper
	// delay is the time of a message each way; cut loses what is sent meanwhile.
	delay manager.Duration
	cut   func(manager.Time) bool
	// restartAt forgets everything once.
	restartAt manager.Time

	asked    manager.Time
	answerAt manager.Time
	pending  proposer.Configuration
}

// rollout holds the times at which the leader accepted each revision.
type rollout struct {
	clock    *manager.ManualClock
	accepted []manager.Time
}

func (r *rollout) at(t manager.Time) manager.Revision {
	n := 0
	for n < len(r.accepted) && r.accepted[n] <= t {
		n++
	}
	return manager.Revision(n)
}

// ask works out when the leader answers and with which revision.
func (r *rollout) ask(g *rolloutGateway) {
	now := r.clock.Now()
	arrives := now.Add(g.delay)
	answers := arrives.Add(modelHold)
	if known := g.keeper.revision(); int(known) < len(r.accepted) {
		answers = min(answers, max(arrives, r.accepted[known]))
	}
	confirmed := answers.Add(modelConfirm)
	g.asked, g.answerAt = now, confirmed.Add(g.delay)
	g.pending = proposer.Configuration{Revision: r.at(answers), LeaseMs: maxLease, HeldMs: answers.Sub(arrives)}
}

func (r *rollout) step(g *rolloutGateway) {
	now := r.clock.Now()
	if now == g.restartAt {
		g.keeper = &configurationKeeper{clock: r.clock}
		g.answerAt = 0
	}
	if g.answerAt != 0 && now >= g.answerAt {
		if !g.cut(now) {
			g.keeper.take(g.asked, g.pending)
		}
		g.answerAt = 0
	}
	if g.answerAt == 0 {
		r.ask(g)
	}
}

func TestChangeIsInForceOrGatewayRefuses(t *testing.T) {
	never := func(manager.Time) bool { return false }
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		r := &rollout{clock: &manager.ManualClock{At: 1}}
		for at := manager.Time(1_000); at < 60_000; at += manager.Time(1 + rng.Int64N(6_000)) {
			r.accepted = append(r.accepted, at)
		}
		from := manager.Time(10_000 + rng.Int64N(20_000))
		cut := func(t manager.Time) bool { return t >= from && t < from+20_000 }
		gateways := map[string]*rolloutGateway{
			"near":        {delay: 1, cut: never},
			"slow":        {delay: 300, cut: never},
			"slower":      {delay: 700, cut: never},
			"restarted":   {delay: 5, cut: never, restartAt: from},
			"partitioned": {delay: 5, cut: cut},
			"both":        {delay: 5, cut: cut, restartAt: from + 1_000},
		}
		for _, g := range gateways {
			g.keeper = &configurationKeeper{clock: r.clock}
		}
		served := map[string]int{}
		for ; r.clock.Now() < 70_000; r.clock.Advance(1) {
			for name, g := range gateways {
				r.step(g)
				if !g.keeper.inForce() {
					continue
				}
				served[name]++
				if used := g.keeper.revision(); int(used) < len(r.accepted) {
					age := r.clock.Now().Sub(r.accepted[used])
					require.LessOrEqual(t, age, inForceBound, "gateway %s uses an old revision, seed %d", name, seed)
				}
			}
		}
		for _, name := range []string{"near", "slow"} {
			require.Greater(t, served[name], 60_000, "gateway %s refuses without need", name)
		}
		require.Less(t, served["partitioned"], 60_000, "a cut-off gateway must refuse")
	}
}
