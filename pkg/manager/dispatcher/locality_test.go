package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/localizer"
)

// The production policy may lose to a baseline by as much as noise explains, and no more.
const (
	maxMeanLoss  = 0.05
	maxShareLoss = 0.02
	// minRackJobs is the least number of jobs of a load, from as many runs as that takes. The standard error of a share of
	// 0.7 of so many jobs is 0.016.
	minRackJobs = 800
)

// rackLoads returns the loads that the policies are compared by.
func rackLoads() []rackLoad {
	constant := func(x float64) func(manager.Duration) float64 {
		return func(manager.Duration) float64 { return x }
	}
	burst := func(at manager.Duration) float64 {
		if at >= 2*manager.Second && at < 5*manager.Second {
			return 3
		}
		return 0.05
	}
	// The two sizes of tasks are those of the deployment with the larger factor.
	kinds := []rackLoad{
		{name: "single tasks", need: 6700, taskTime: 2100, count: 1, steps: 1},
		{name: "steps of 8", need: 3100, taskTime: 800, count: 8, steps: 2},
		{name: "rack-sensitive", need: 3100, taskTime: 800, count: 8, steps: 2, sensitive: true},
	}
	loads := []rackLoad{
		{name: "low", rate: constant(0.2), lasts: 6 * manager.Second},
		{name: "burst", rate: burst, lasts: 7 * manager.Second},
		{name: "rack lost", rate: constant(0.3), hot: 0.3, lostAt: 2 * manager.Second, lasts: 8 * manager.Second},
		{name: "hot rack", rate: constant(0.5), hot: 0.6, lasts: 6 * manager.Second},
		{name: "hot burst", extra: true, rate: burst, hot: 0.6, lasts: 7 * manager.Second},
		{name: "busy", extra: true, rate: constant(0.9), lasts: 6 * manager.Second},
	}
	var list []rackLoad
	for _, l := range loads {
		for _, k := range kinds {
			for _, factor := range []float64{1.5, 3} {
				for _, inRack := range []int{8, 20} {
					if l.extra && (factor != 3 || inRack != 8) {
						continue
					}
					o := l
					o.need, o.taskTime, o.count, o.steps, o.sensitive = k.need, k.taskTime, k.count, k.steps, k.sensitive
					o.factor, o.inRack = factor, inRack
					o.workers = 60 / inRack * inRack
					o.name = fmt.Sprintf("%s/%s/factor=%v/rack=%d", l.name, k.name, factor, inRack)
					list = append(list, o)
				}
			}
		}
	}
	return list
}

// Guards against a policy that waits where a remote start is better, or starts remote where waiting is.
func TestAdaptiveLosesToNoBaseline(t *testing.T) {
	for _, l := range rackLoads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			var adaptive, never, always rackResult
			for seed := uint64(0); adaptive.jobs < minRackJobs; seed++ {
				adaptive.add(newRackFleet(t, l, localizer.Adaptive{}, seed).play())
				never.add(newRackFleet(t, l, localizer.Never{}, seed).play())
				always.add(newRackFleet(t, l, localizer.Always{}, seed).play())
			}
			t.Logf("\n  never    %v\n  always   %v\n  adaptive %v", never, always, adaptive)
			for _, o := range []rackResult{never, always} {
				require.LessOrEqual(t, adaptive.mean(), o.mean()*(1+maxMeanLoss))
				require.GreaterOrEqual(t, adaptive.share(), o.share()-maxShareLoss)
			}
		})
	}
}

// fixedWait is delay scheduling as published: each task waits for the same time at most.
type fixedWait struct{ limit manager.Duration }

// Decide implements manager.LocalityPolicy.
func (f fixedWait) Decide(in manager.LocalityInput) manager.LocalityDecision {
	if in.WaitUntil != 0 && in.Now >= in.WaitUntil {
		return manager.LocalityDecision{Reason: manager.LocalityExpired}
	}
	return manager.LocalityDecision{Wait: true, Until: in.Now.Add(f.limit)}
}

// Logs the figures of docs/design/locality.md for waits of a fixed length. Guards against one that leaves a task waiting.
func TestFixedWaits(t *testing.T) {
	for _, l := range rackLoads() {
		if l.factor != 3 || l.inRack != 8 || l.sensitive || l.extra {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			for _, limit := range []manager.Duration{500, 1500} {
				r := newRackFleet(t, l, fixedWait{limit}, 0).play()
				t.Logf("fixed wait of %d ms: %v", limit, r)
				require.Zero(t, r.unfinished)
			}
			t.Logf("adaptive: %v", newRackFleet(t, l, localizer.Adaptive{}, 0).play())
		})
	}
}
