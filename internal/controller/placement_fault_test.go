package controller

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// TestPlacementHoldsUnderFaults drives random jobs and faults; check asserts the invariants after each
// step, and at the end every job must have come to an end that is right for it.
func TestPlacementHoldsUnderFaults(t *testing.T) {
	setRapid(t, "rapid.checks", "100")
	setRapid(t, "rapid.steps", "60")
	rapid.Check(t, func(rt *rapid.T) {
		quotas := []manager.Quota{{Team: "desk", Resources: size(100, 200)}, {Team: "ledger", Resources: size(40, 80)}}
		f := cathode.fleet(16, 2, manager.Profile{Quotas: quotas, Spread: manager.Spread{MaxPerRack: 20}})
		s := newSimulation(rt, f, adaptive)
		s.checkEvery = 1
		s.box.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		s.worker.SlowClock = func(v manager.VMID) manager.Percent { return manager.Percent(v[len(v)-1] % 10) }
		s.worker.Fails = func(j manager.Job, v manager.VMID) bool {
			return strings.HasPrefix(string(j.Job), "poison") || v == "vm-0003"
		}
		// Declared sizes are wrong by up to four times both ways.
		s.worker.Uses = func(j manager.Job, _ manager.Duration) manager.Resources {
			r := j.Declared
			r.MemoryMegaBytes = r.MemoryMegaBytes * manager.MegaBytes(1+len(j.Job)%8) / 4
			return r
		}
		faults := &faults{simulation: s}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": faults.submitSome, "cancel": faults.cancelSome, "cut": faults.cut, "heal": faults.heal,
			"crash": faults.crash, "leader": faults.changeLeader, "late": faults.deliverLate,
			"drain": faults.drain, "run": faults.runOn, "run2": faults.runOn, "run3": faults.runOn,
			"": func(*rapid.T) { s.check() },
		})
		faults.healAll()
		require.True(rt, s.run(20*manager.Minute, allEnded), "jobs are left: %v", s.states())
		for _, j := range s.fleet().Jobs {
			faults.checkEnd(j)
		}
	})
}

// setRapid changes a setting of the property tests for one test.
func setRapid(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { require.NoError(t, flag.Set(name, old)) })
}

// faults are the actions of the property test.
type faults struct {
	*simulation
	jobs   int
	cutVMs []manager.VMID
	late   []func()
}

func (x *faults) vm(rt *rapid.T) manager.VMID {
	vms := x.fleet().VMs
	return vms[rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")].VM
}

func (x *faults) submitSome(rt *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(rt, "jobs") {
		x.jobs++
		kind := rapid.SampledFrom([]string{"good", "good", "good", "sum", "once", "once", "poison", "huge"}).Draw(rt, "kind")
		class := rapid.SampledFrom([]string{urgent, "steady", batch, batch}).Draw(rt, "class")
		j := newJob(fmt.Sprintf("%s-%d", kind, x.jobs), class, size(1+x.jobs%8, 1+x.jobs%6), manager.Duration(1+x.jobs%20)*manager.Second)
		j.Team = rapid.SampledFrom([]manager.TeamID{"desk", "ledger", "other"}).Draw(rt, "team")
		j.Idempotent = kind != "once"
		if kind == "huge" {
			j.Declared = size(17, 1)
		}
		x.submit(j)
	}
}

func (x *faults) cancelSome(rt *rapid.T) {
	var c manager.CancelJobs
	for _, j := range x.fleet().Jobs {
		if rapid.IntRange(0, 3).Draw(rt, "cancel") > 0 {
			continue
		}
		c.Jobs = append(c.Jobs, j.Job)
		x.unstarted[j.Job] = !j.State.Ended() && x.worker.Runs(j.Job) == 0 && j.Lease == nil
	}
	x.apply(manager.Command{CancelJobs: &c})
}

func (x *faults) cut(rt *rapid.T) {
	v := x.vm(rt)
	x.worker.Cut(v)
	x.cutVMs = append(x.cutVMs, v)
}

func (x *faults) heal(*rapid.T) { x.healAll() }

func (x *faults) healAll() {
	for _, v := range x.cutVMs {
		x.worker.Heal(v)
	}
	for _, v := range x.fleet().VMs {
		if v.MoveTo != "" {
			x.propose(manager.Command{AbandonMove: &manager.AbandonMove{VM: v.VM, Epoch: v.Epoch}})
		}
	}
	x.cutVMs = nil
}

func (x *faults) crash(rt *rapid.T) { x.worker.Crash(x.vm(rt)) }

// changeLeader deposes a leader between its proposals and its orders, which arrive late or never.
func (x *faults) changeLeader(*rapid.T) {
	old := x.loop
	own, after, err := old.decide(context.Background(), x.clock.At, x.store)
	require.NoError(x.t, err)
	x.late = append(x.late, func() { _ = old.deliver(context.Background(), own, after) })
	x.lead()
}

func (x *faults) deliverLate(*rapid.T) {
	for _, deliver := range x.late {
		deliver()
	}
	x.late = nil
}

func (x *faults) drain(rt *rapid.T) {
	v := x.vm(rt)
	for _, o := range x.fleet().VMs {
		if o.VM == v {
			to := manager.PoolID("pool-000")
			if o.Pool == to {
				to = "pool-001"
			}
			x.propose(manager.Command{StartMove: &manager.StartMove{VM: v, Epoch: o.Epoch, To: to}})
		}
	}
}

func (x *faults) runOn(rt *rapid.T) {
	x.run(manager.Duration(rapid.IntRange(1, 40).Draw(rt, "steps"))*x.loop.Period(), nil)
}

// checkEnd asserts that a job's end fits what it was.
func (x *faults) checkEnd(j manager.Job) {
	kind, _, _ := strings.Cut(string(j.Job), "-")
	allowed := map[string][]manager.JobState{
		"good":   {manager.JobDone, manager.JobCancelled},
		"sum":    {manager.JobDone, manager.JobCancelled},
		"once":   {manager.JobDone, manager.JobCancelled, manager.JobFailed, manager.JobUnknown},
		"poison": {manager.JobRefused, manager.JobCancelled},
		"huge":   {manager.JobRefused, manager.JobCancelled},
	}
	require.Contains(x.t, allowed[kind], j.State, "job %s: %s", j.Job, j.Reason)
}
