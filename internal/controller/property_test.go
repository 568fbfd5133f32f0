package controller_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// chaos draws what happens to a world; each action is one that the fleet's owners must expect.
type chaos struct {
	*world
	waves int
}

func newChaos(t *rapid.T, p parts) *chaos {
	budget := manager.Budget{
		MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "max unavailable"),
		MaxPerZone:     rapid.IntRange(0, 2).Draw(t, "max per zone"),
		MaxPerRack:     rapid.IntRange(0, 2).Draw(t, "max per rack"),
	}
	profile := testProfile(budget)
	profile.Wave.MaxAtOnce = rapid.IntRange(1, 3).Draw(t, "max at once")
	load := testFleet(profile, 3, 6)
	if rapid.Bool().Draw(t, "two pools of one service") {
		load.Pools[1].Service = load.Pools[0].Service
	}
	c := &chaos{world: newWorld(t, load, p)}
	c.platform.losePercent = rapid.SampledFrom([]int{0, 20, 50}).Draw(t, "lost calls")
	c.platform.repeatPercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "late calls")
	c.restarts = rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "leader changes")
	return c
}

func (c *chaos) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			c.run(manager.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * manager.Second)
		},
		"wave":           c.startWave,
		"cancel":         func(t *rapid.T) { c.anyWave(t, manager.SetWaveState{State: manager.WaveCancelled}) },
		"pause":          func(t *rapid.T) { c.anyWave(t, manager.SetWaveState{State: manager.WavePaused, Held: true}) },
		"resume":         func(t *rapid.T) { c.anyWave(t, manager.SetWaveState{State: manager.WaveRunning, Accept: true}) },
		"move":           c.move,
		"fail VM":        func(t *rapid.T) { c.platform.Fail(c.anyVM(t).VM) },
		"repair VM":      func(t *rapid.T) { c.repair(func(v manager.VM) bool { return v.VM == c.anyVM(t).VM }) },
		"fail rack":      c.failRack,
		"fail zone":      c.failZone,
		"fail wave":      c.failWave,
		"repair all":     func(*rapid.T) { c.repair(func(manager.VM) bool { return true }) },
		"stick":          func(t *rapid.T) { c.tenant.stuck[c.anyVM(t).VM] = true },
		"lead":           func(*rapid.T) { c.lead() },
		"lose proposals": func(t *rapid.T) { c.dropProposals = rapid.Bool().Draw(t, "lose") },
		"budget":         c.changeBudget,
	}
}

func (c *chaos) anyVM(t *rapid.T) manager.VM {
	return rapid.SampledFrom(c.state.Fleet().VMs).Draw(t, "VM")
}

func (c *chaos) startWave(t *rapid.T) {
	id := manager.WaveID(fmt.Sprintf("wave-%d", c.waves))
	c.waves++
	pools := []manager.PoolID{"pool-0", "pool-1", "pool-2"}[:rapid.IntRange(1, 3).Draw(t, "pools")]
	plan, err := c.loop.Maintainer.Plan(c.clock.Now(), c.state.Fleet(), manager.WaveSpec{Wave: id, Pools: pools})
	require.NoError(t, err)
	if c.apply(manager.Command{PlanWave: &manager.PlanWave{Wave: plan}}).Failure == nil {
		c.apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: id, PlanVersion: 1}})
	}
}

func (c *chaos) anyWave(t *rapid.T, s manager.SetWaveState) {
	if c.waves > 0 {
		c.set(manager.WaveID(fmt.Sprintf("wave-%d", rapid.IntRange(0, c.waves-1).Draw(t, "wave"))), s)
	}
}

func (c *chaos) move(t *rapid.T) {
	v := c.anyVM(t)
	to := rapid.SampledFrom(c.load.Pools).Draw(t, "to").Pool
	epoch := v.Epoch - manager.Epoch(rapid.IntRange(0, 1).Draw(t, "stale"))
	c.apply(manager.Command{StartMove: &manager.StartMove{VM: v.VM, Epoch: epoch, To: to}})
}

func (c *chaos) fail(in func(manager.VM) bool) {
	for _, v := range c.state.Fleet().VMs {
		if in(v) {
			c.platform.Fail(v.VM)
		}
	}
}

func (c *chaos) failRack(t *rapid.T) {
	rack := c.anyVM(t).Rack
	c.fail(func(v manager.VM) bool { return v.Rack == rack })
}

func (c *chaos) failZone(t *rapid.T) {
	zone := c.anyVM(t).AvailabilityZone
	c.fail(func(v manager.VM) bool { return v.AvailabilityZone == zone })
}

func (c *chaos) failWave(*rapid.T) {
	c.fail(func(v manager.VM) bool { return v.Wave != "" })
}

func (c *chaos) repair(in func(manager.VM) bool) {
	observations, _ := c.platform.Platform.Observe(context.Background())
	for _, o := range observations {
		if o.State == manager.VMFailed && in(c.vm(o.VM)) {
			c.platform.Repair(o.VM)
		}
	}
}

func (c *chaos) changeBudget(t *rapid.T) {
	p := c.state.Fleet().Profiles[0]
	p.Budget.MaxUnavailable = rapid.IntRange(1, 4).Draw(t, "max unavailable")
	c.apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}})
}

// heal ends all trouble and lets the world come to rest.
func (c *chaos) heal() {
	c.dropProposals, c.restarts = false, 0
	c.platform.losePercent, c.platform.repeatPercent = 0, 0
	c.platform.late = nil
	clear(c.tenant.stuck)
	c.repair(func(manager.VM) bool { return true })
	for i := range c.waves {
		c.set(manager.WaveID(fmt.Sprintf("wave-%d", i)), manager.SetWaveState{State: manager.WaveRunning, Accept: true})
	}
	c.runUntil(24*manager.Hour, "recovery", c.atRest)
	c.run(5 * manager.Minute)
}

func (c *chaos) atRest() bool {
	f := c.state.Fleet()
	for _, w := range f.Waves {
		if w.State == manager.WaveRunning || w.State == manager.WavePaused {
			return false
		}
	}
	return true
}

// TestBudgetsHoldThroughTrouble draws correlated failures, lost, repeated and late orders, leader
// changes, racing waves and moves; the world checks each command, and all of it must end.
func TestBudgetsHoldThroughTrouble(t *testing.T) {
	bothParts(t, func(t *testing.T, p parts) {
		t.Helper()
		rapid.Check(t, func(t *rapid.T) {
			c := newChaos(t, p)
			t.Repeat(c.actions())
			c.heal()
			requireQuiet(t, c.world)
		})
	})
}
