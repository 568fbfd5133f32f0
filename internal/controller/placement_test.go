package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func size(cores, gigaBytes int) manager.Resources {
	return manager.Resources{
		ProcessorMilliCores: manager.MilliCores(cores) * 1_000,
		MemoryMegaBytes:     manager.MegaBytes(gigaBytes) << 10,
	}
}

func newJob(id, class string, r manager.Resources, run manager.Duration) manager.Job {
	return manager.Job{
		Job: manager.JobID(id), Team: "desk", Profile: "cathode", Class: class, Declared: r, DeclaredMs: run, Idempotent: true,
	}
}

// TestTellsPoisonJobsFromBadWorkers has both at once, with good jobs all over.
func TestTellsPoisonJobsFromBadWorkers(t *testing.T) {
	for _, d := range []deployment{cathode, qirsh} {
		t.Run(d.name, func(t *testing.T) {
			s := newSimulation(t, d.fleet(60, 3, manager.Profile{}), adaptive)
			bad := map[manager.VMID]bool{"vm-0002": true, "vm-0013": true, "vm-0020": true, "vm-0021": true, "vm-0040": true, "vm-0058": true}
			s.worker.Fails = func(j manager.Job, v manager.VMID) bool {
				return bad[v] || strings.HasPrefix(string(j.Job), "poison")
			}
			for i := range 600 {
				kind := "good"
				if i%10 == 3 {
					kind = "poison"
				}
				j := newJob(fmt.Sprintf("%s-%03d", kind, i), batch, size(4, 8), manager.Duration(5+i%20)*manager.Second)
				j.Profile = manager.ProfileID(d.name)
				s.submit(j)
			}
			require.True(t, s.run(15*manager.Minute, allEnded), "jobs are left: %v", s.states())
			for _, j := range s.fleet().Jobs {
				want := manager.JobDone
				if strings.HasPrefix(string(j.Job), "poison") {
					want = manager.JobRefused
				}
				require.Equal(t, want, j.State, "job %s: %s, failed on %v", j.Job, j.Reason, j.FailedOn)
			}
			for _, v := range s.fleet().VMs {
				require.False(t, v.Quarantined && !bad[v.VM], "sound VM %s is quarantined: %s", v.VM, v.Reason)
			}
			require.Less(t, s.worker.Failed(), 60*4+len(bad)*40, "bad workers and poison jobs are tried a bounded number of times")
		})
	}
}

// TestQuarantineEndsAfterProbe repairs a bad worker, which then comes back by a probe.
func TestQuarantineEndsAfterProbe(t *testing.T) {
	s := newSimulation(t, cathode.fleet(10, 1, manager.Profile{}), adaptive)
	broken := true
	s.worker.Fails = func(_ manager.Job, v manager.VMID) bool { return broken && v == "vm-0003" }
	quarantined := func(f manager.Fleet) bool { return f.VMs[3].Quarantined }
	n := 0
	feed := func(f manager.Fleet) {
		if len(f.Jobs) < 2_000 && s.steps%4 == 0 {
			n++
			s.submit(newJob(fmt.Sprintf("count-%04d", n), batch, size(8, 16), 10*manager.Second))
		}
	}
	require.True(t, s.run(5*manager.Minute, func(f manager.Fleet) bool { feed(f); return quarantined(f) }))
	broken = false
	require.True(t, s.run(5*manager.Minute, func(f manager.Fleet) bool { feed(f); return !quarantined(f) }))
}

// TestCancellationWave cancels thousands at once: nothing cancelled starts, what runs is stopped, and
// the capacity goes to the jobs that are left.
func TestCancellationWave(t *testing.T) {
	s := newSimulation(t, cathode.fleet(100, 1, manager.Profile{}), adaptive)
	for i := range 4_000 {
		s.submit(newJob(fmt.Sprintf("old-%04d", i), "steady", size(4, 8), manager.Hour))
	}
	s.run(5*manager.Second, nil)
	for i := range 400 {
		s.submit(newJob(fmt.Sprintf("new-%04d", i), "steady", size(4, 8), manager.Hour))
	}
	for i := range 2 {
		var c manager.CancelJobs
		for k := range 2_000 {
			id := manager.JobID(fmt.Sprintf("old-%04d", 2_000*i+k))
			c.Jobs = append(c.Jobs, id)
			s.unstarted[id] = s.worker.Runs(id) == 0
		}
		require.Empty(t, s.apply(manager.Command{CancelJobs: &c}).Refused)
	}
	before, from := s.store.commands, s.clock.At
	running := func(f manager.Fleet) bool {
		n := 0
		for _, j := range f.Jobs {
			if strings.HasPrefix(string(j.Job), "new") && j.State == manager.JobRunning {
				n++
			}
		}
		return n == 400
	}
	require.True(t, s.run(lag+manager.Second, running), "capacity is free within the lag of the reports")
	s.check()
	t.Logf("400 jobs run %d ms after 4,000 were cancelled, %d commands", s.clock.At.Sub(from), s.store.commands-before)
	require.LessOrEqual(t, s.store.commands-before, 12, "one command a step, not one a job")
}

// TestLostWorkerWithSlowClock cuts a worker whose clock runs 9% slow right after a renewal: its tasks
// may not run elsewhere before it has stopped them by itself, even if the next leader's clock is ahead.
func TestLostWorkerWithSlowClock(t *testing.T) {
	for name, lead := range map[string]func(s *simulation){
		"same leader": func(*simulation) {},
		"new leader":  func(s *simulation) { s.lead() },
		"clock ahead": func(s *simulation) { s.lead(); s.ahead = 20 * manager.Second },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, cathode.fleet(8, 1, manager.Profile{}), adaptive)
			s.checkEvery = 1
			s.worker.SlowClock = func(manager.VMID) manager.Percent { return 9 }
			once := newJob("once", "steady", size(2, 2), 40*manager.Second)
			once.Idempotent = false
			s.submit(once)
			s.submit(newJob("again", "steady", size(2, 2), 40*manager.Second))
			s.run(3*manager.Second, nil)
			until := s.job("again").Lease.Until
			require.True(t, s.run(5*manager.Second, func(manager.Fleet) bool { return s.job("again").Lease.Until > until }))
			for _, j := range s.fleet().Jobs {
				s.worker.Cut(j.Lease.VM)
			}
			lead(s)
			require.True(t, s.run(3*manager.Minute, allEnded))
			require.Equal(t, manager.JobUnknown, s.job("once").State)
			require.Equal(t, manager.JobDone, s.job("again").State)
			require.Equal(t, 2, s.job("again").Attempts)
		})
	}
}

// TestLateReportEndsDoubt heals a worker whose non-idempotent task had been taken for lost.
func TestLateReportEndsDoubt(t *testing.T) {
	s := newSimulation(t, cathode.fleet(2, 1, manager.Profile{}), adaptive)
	once := newJob("once", "steady", size(2, 2), 10*manager.Second)
	once.Idempotent = false
	s.submit(once)
	s.run(4*manager.Second, nil)
	v := s.job("once").Lease.VM
	s.worker.Cut(v)
	s.run(15*manager.Second, nil)
	require.Equal(t, manager.JobUnknown, s.job("once").State)
	s.worker.Heal(v)
	s.run(2*manager.Second, nil)
	require.Equal(t, manager.JobDone, s.job("once").State)
	require.Equal(t, 1, s.worker.Runs("once"))
}

// TestDrainEmptiesVM has every kind of task on a VM that drains for a move.
func TestDrainEmptiesVM(t *testing.T) {
	f := cathode.fleet(8, 2, manager.Profile{})
	s := newSimulation(t, f, adaptive)
	s.checkEvery = 1
	for i, class := range []string{batch, "steady", "steady"} {
		j := newJob(fmt.Sprintf("job-%d", i), class, size(4, 8), []manager.Duration{manager.Minute, 10 * manager.Second, manager.Minute}[i])
		j.Pool = "pool-000"
		s.submit(j)
	}
	s.run(3*manager.Second, nil)
	v := s.fleet().VMs[0]
	require.Len(t, s.fleet().LeasesOn(v.VM), 3)
	s.apply(manager.Command{StartMove: &manager.StartMove{VM: v.VM, Epoch: v.Epoch, To: "pool-001"}})
	s.apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: v.VM, State: manager.VMDrained}})
	move := manager.Command{CommitMove: &manager.CommitMove{VM: v.VM, Epoch: v.Epoch + 1}}
	require.NotNil(t, s.propose(move).Failure, "a VM with live leases does not move")
	empty := func(f manager.Fleet) bool { return len(f.LeasesOn(v.VM)) == 0 }
	require.True(t, s.run(20*manager.Second, empty), "the drain limit holds")
	s.apply(move)
	require.True(t, s.run(3*manager.Minute, allEnded))
	require.Equal(t, 1, s.job("job-1").Attempts, "a short task is let end")
	require.Equal(t, 1, s.job("job-0").Progress.Checkpoints, "a checkpointable task loses no work")
	require.Equal(t, manager.JobDone, s.job("job-2").State)
}

// TestTeamsShareAndNothingStarves floods the fleet with one team's jobs and urgent work.
func TestTeamsShareAndNothingStarves(t *testing.T) {
	f := cathode.fleet(8, 1, manager.Profile{Quotas: []manager.Quota{{Team: "small", Resources: size(128, 256)}}})
	s := newSimulation(t, f, adaptive)
	for i := range 200 {
		s.submit(newJob(fmt.Sprintf("flood-%03d", i), batch, size(8, 16), 20*manager.Second))
	}
	for i := range 8 {
		j := newJob(fmt.Sprintf("small-%d", i), batch, size(8, 16), 20*manager.Second)
		j.Team = "small"
		s.submit(j)
	}
	s.submit(newJob("large", batch, size(16, 32), 20*manager.Second))
	s.run(3*manager.Second, nil)
	small := 0
	for _, j := range s.fleet().Jobs {
		if j.Team == "small" && j.State == manager.JobRunning {
			small++
		}
	}
	require.Equal(t, 8, small, "a team with little gets its share although another asked first")
	n := 0
	large := func(manager.Fleet) bool {
		if n++; n%2 == 0 {
			s.submit(newJob(fmt.Sprintf("hot-%04d", n), urgent, size(4, 4), 10*manager.Second))
		}
		return n%40 == 0 && s.job("large").State == manager.JobDone
	}
	require.True(t, s.run(12*manager.Minute, large), "a large old job gets a hole at last")
}

// TestExplainsWhatJobsAwait checks the rule that operators see.
func TestExplainsWhatJobsAwait(t *testing.T) {
	f := cathode.fleet(2, 2, manager.Profile{
		Quotas: []manager.Quota{{Team: "poor", Resources: size(4, 4)}}, Spread: manager.Spread{MaxPerRack: 2},
	})
	s := newSimulation(t, f, adaptive)
	add := func(id, class string, team manager.TeamID, pool manager.PoolID, r manager.Resources) {
		j := newJob(id, class, r, manager.Hour)
		j.Team, j.Pool = team, pool
		s.submit(j)
	}
	add("poor-1", "steady", "poor", "", size(3, 3))
	add("poor-2", "steady", "poor", "", size(3, 3))
	add("fill", batch, "desk", "pool-000", size(12, 28))
	s.run(3*manager.Second, nil)
	add("full", batch, "desk", "pool-000", size(12, 28))
	add("third", "steady", "desk", "pool-001", size(1, 1))
	s.run(3*manager.Second, nil)
	add("fourth", "steady", "desk", "pool-001", size(1, 1))
	add("giant", batch, "desk", "", size(17, 1))
	add("greedy", batch, "poor", "", size(5, 1))
	s.run(3*manager.Second, nil)
	rules := map[manager.JobID]manager.JobRule{
		"poor-2": manager.JobRuleQuota, "full": manager.JobRuleNoRoom, "fourth": manager.JobRuleSpread, "fill": manager.JobRuleNone,
	}
	for id, rule := range rules {
		e := s.loop.Explain(s.clock.At, s.fleet(), id)
		require.Equal(t, rule, e.Rule, "job %s awaits %s", id, e.Awaits)
	}
	require.Contains(t, s.job("giant").Reason, "no VM is that large")
	require.Contains(t, s.job("greedy").Reason, "quota of team poor")
	answer := httptest.NewRecorder()
	service := &Service{Store: s.store, Clock: s.clock, Explainer: s.loop}
	ask := httptest.NewRequest(http.MethodGet, "/control/job?Job=poor-2", nil)
	require.NoError(t, service.job(echo.New().NewContext(ask, answer)))
	var status manager.JobStatus
	require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &status))
	require.Equal(t, manager.JobID("poor-2"), status.Job.Job)
	require.Equal(t, manager.JobRuleQuota, status.Rule)
	require.Contains(t, status.Awaits, "team poor")
	v := s.fleet().VMs[1]
	s.apply(manager.Command{QuarantineVM: &manager.QuarantineVM{VM: v.VM}})
	s.apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: v.VM, State: manager.VMFailed}})
	require.Equal(t, manager.JobRuleUnavailable, s.loop.Explain(s.clock.At, s.fleet(), "fourth").Rule)
}
