package applier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

const start = manager.Time(1_000)

func capacity(cores, gigaBytes int) manager.Resources {
	return manager.Resources{ProcessorMilliCores: manager.MilliCores(cores * 1_000), MemoryMegaBytes: manager.MegaBytes(gigaBytes << 10)}
}

// newState returns a state with four VMs of 16 cores and 32 GB in one pool, two in each rack, and seven
// jobs of 8 cores.
func newState(t *testing.T) *applier.State {
	t.Helper()
	s := applier.New()
	f := manager.LoadFleet{
		Profiles: []manager.Profile{{
			Profile: "cathode", Budget: manager.Budget{MaxUnavailable: 2}, Spread: manager.Spread{MaxPerRack: 2, MaxPerZone: 3},
			Wave:       manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: manager.Minute, Order: manager.WaveOrderName},
			JobClasses: []manager.JobClass{{Class: "batch"}, {Class: "other"}},
			Quotas:     []manager.Quota{{Team: "desk", Resources: capacity(24, 64)}},
		}},
		Pools: []manager.Pool{{Pool: "pricing", Profile: "cathode"}, {Pool: "spare", Profile: "cathode"}},
	}
	for i := range 4 {
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%d", i)), Pool: "pricing", AvailabilityZone: "a",
			Rack: manager.RackID(fmt.Sprintf("r%d", i/2)), Capacity: capacity(16, 32),
		})
	}
	apply(t, s, manager.Command{LoadFleet: &f})
	for _, id := range []manager.JobID{"one", "two", "three", "four"} {
		submit(t, s, manager.Job{Job: id, Team: "desk", Class: "batch"})
	}
	for _, id := range []manager.JobID{"a", "b", "c"} {
		submit(t, s, manager.Job{Job: id, Team: "free", Class: "batch"})
	}
	return s
}

func apply(t *testing.T, s *applier.State, c manager.Command) manager.Result {
	t.Helper()
	if c.At == 0 {
		c.At = start
	}
	r := s.Apply(c)
	require.Nil(t, r.Failure)
	return r
}

func submit(t *testing.T, s *applier.State, j manager.Job) {
	t.Helper()
	j.Profile, j.Idempotent, j.DeclaredMs = "cathode", true, manager.Second
	if j.Declared == (manager.Resources{}) {
		j.Declared = capacity(8, 8)
	}
	apply(t, s, manager.Command{SubmitJob: &manager.SubmitJob{Job: j}})
}

func startTask(j manager.JobID, v manager.VMID) manager.StartTask {
	return manager.StartTask{Job: j, VM: v, Epoch: 1, Until: start.Add(10 * manager.Second), Reserved: capacity(8, 8)}
}

func command(c manager.StartTask) manager.Command {
	return manager.Command{At: start, StartTask: &c}
}

// TestStartIsCheckedWhenApplied applies starts that each violate one rule and that a correct placer would
// not send.
func TestStartIsCheckedWhenApplied(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *applier.State)
		change  func(c *manager.StartTask)
		reason  string
	}{
		"leased already":    {func(s *applier.State) { s.Apply(command(startTask("one", "vm-1"))) }, nil, "is running"},
		"old epoch":         {nil, func(c *manager.StartTask) { c.Epoch = 0 }, "epoch 0 is not current"},
		"lease passed":      {nil, func(c *manager.StartTask) { c.Until = start }, "has passed"},
		"lease too long":    {nil, func(c *manager.StartTask) { c.Until = start.Add(manager.MaxLease + 1) }, "at most"},
		"overcommit":        {nil, func(c *manager.StartTask) { c.Reserved = capacity(1, 8) }, "1/4 of the declared size"},
		"negative":          {nil, func(c *manager.StartTask) { c.Reserved.Accelerators = -1 }, "1/4 of the declared size"},
		"room":              {nil, func(c *manager.StartTask) { c.Reserved = capacity(8, 33) }, "has no room"},
		"quota":             {func(s *applier.State) { startTasks(s, "two@vm-1", "three@vm-2") }, func(c *manager.StartTask) { c.Reserved = capacity(9, 8) }, "quota"},
		"spread of racks":   {func(s *applier.State) { startTasks(s, "two@vm-0", "three@vm-1") }, nil, `rack "r0"`},
		"spread of zones":   {func(s *applier.State) { startTasks(s, "a@vm-1", "b@vm-2", "c@vm-3") }, nil, `zone "a"`},
		"quarantine":        {quarantined("vm-0"), nil, "is quarantined"},
		"draining":          {drain, func(c *manager.StartTask) { c.Epoch = 2 }, "takes no tasks"},
		"failed VM":         {failed, nil, "takes no tasks"},
		"cancelled":         {cancelled, nil, "is cancelled"},
		"probe of a leased": {func(s *applier.State) { startTasks(s, "two@vm-0"); quarantined("vm-0")(s) }, func(c *manager.StartTask) { c.Probe = true }, "one idempotent job at a time"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(t)
			c := startTask("one", "vm-0")
			if tt.prepare != nil {
				tt.prepare(s)
			}
			if tt.change != nil {
				tt.change(&c)
			}
			r := s.Apply(command(c))
			require.NotNil(t, r.Failure)
			require.ErrorContains(t, r.Failure.Err(), tt.reason)
		})
	}
	s := newState(t)
	apply(t, s, command(startTask("one", "vm-0")))
	quarantined("vm-1")(s)
	probe := startTask("two", "vm-1")
	probe.Probe = true
	apply(t, s, command(probe))
}

func startTasks(s *applier.State, tasks ...string) {
	for _, task := range tasks {
		var j, v string
		for i := range task {
			if task[i] == '@' {
				j, v = task[:i], task[i+1:]
			}
		}
		s.Apply(command(startTask(manager.JobID(j), manager.VMID(v))))
	}
}

func quarantined(v manager.VMID) func(*applier.State) {
	return func(s *applier.State) {
		s.Apply(manager.Command{At: start, QuarantineVM: &manager.QuarantineVM{VM: v, Quarantined: true}})
	}
}

func drain(s *applier.State) {
	s.Apply(manager.Command{At: start, StartMove: &manager.StartMove{VM: "vm-0", Epoch: 1, To: "spare"}})
}

func failed(s *applier.State) {
	s.Apply(manager.Command{At: start, ObserveVM: &manager.ObserveVM{VM: "vm-0", State: manager.VMFailed}})
}

func cancelled(s *applier.State) {
	s.Apply(manager.Command{At: start, CancelJob: &manager.CancelJob{Job: "one"}})
}

func TestQuarantineStaysWithinBudget(t *testing.T) {
	s := newState(t)
	failed(s)
	quarantined("vm-1")(s)
	r := s.Apply(manager.Command{At: start, QuarantineVM: &manager.QuarantineVM{VM: "vm-2", Quarantined: true}})
	require.NotNil(t, r.Failure, "one failed and one quarantined spend the budget of two")
	apply(t, s, manager.Command{QuarantineVM: &manager.QuarantineVM{VM: "vm-1"}})
	apply(t, s, manager.Command{QuarantineVM: &manager.QuarantineVM{VM: "vm-2", Quarantined: true}})
}

// TestLostLeaseEndsOnlyAfterMargin checks that a lease is not considered lost before even a slow worker
// must have stopped.
func TestLostLeaseEndsOnlyAfterMargin(t *testing.T) {
	s := newState(t)
	j := apply(t, s, command(startTask("one", "vm-0"))).Job
	lost := manager.FinishTask{Job: "one", Lease: j.Lease.Lease, Result: manager.TaskLost}
	end := j.Lease.Until.Add(manager.LeaseMargin)
	require.NotNil(t, s.Apply(manager.Command{At: end - 1, FinishTask: &lost}).Failure)
	apply(t, s, manager.Command{At: end, FinishTask: &lost})
	require.NotNil(t, s.Apply(manager.Command{At: end, FinishTask: &lost}).Failure, "a late report of an old lease changes nothing")
}

func TestTaskBatchContinuesAfterRefusal(t *testing.T) {
	s := newState(t)
	batch := manager.TaskBatch{
		Start:  []manager.StartTask{startTask("one", "vm-0"), startTask("none", "vm-0"), startTask("two", "vm-1")},
		Refuse: []manager.RefuseJob{{Job: "three", Reason: "too large"}},
	}
	r := apply(t, s, manager.Command{PlaceTasks: &batch})
	require.Len(t, r.RefusedJobs, 1)
	require.Equal(t, manager.JobID("none"), r.RefusedJobs[0].Job)
	renew := manager.TaskBatch{Renew: &manager.RenewLeases{All: true, AllExcept: []manager.LeaseID{2}, Until: start.Add(20 * manager.Second)}}
	apply(t, s, manager.Command{PlaceTasks: &renew})
	jobs := s.Fleet().Jobs
	require.Equal(t, start.Add(20*manager.Second), jobs[4].Lease.Until, "one is renewed")
	require.Equal(t, start.Add(10*manager.Second), jobs[6].Lease.Until, "two is left out")
	require.NotNil(t, s.Apply(manager.Command{PlaceTasks: &manager.TaskBatch{Refuse: make([]manager.RefuseJob, manager.MaxTaskBatch+1)}}).Failure)
}

// TestJobsAreBounded checks that the jobs that ended last are kept, and the same ones after a snapshot.
func TestJobsAreBounded(t *testing.T) {
	s := newState(t)
	for i := range applier.MaxEndedJobs + 20 {
		id := manager.JobID(fmt.Sprintf("job-%05d", i))
		submit(t, s, manager.Job{Job: id})
		apply(t, s, manager.Command{At: start + manager.Time(i), CancelJob: &manager.CancelJob{Job: id}})
	}
	restored := applier.New()
	data, err := s.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(data))
	for _, o := range []*applier.State{s, restored} {
		submit(t, o, manager.Job{Job: "last"})
		require.LessOrEqual(t, len(o.Fleet().Jobs), applier.MaxEndedJobs+9)
	}
	require.Equal(t, s.Fleet().Jobs, restored.Fleet().Jobs)
	require.NotEqual(t, manager.JobID("job-00000"), s.Fleet().Jobs[4].Job)
}
