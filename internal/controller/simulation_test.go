package controller

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/placer"
)

// memoryStore applies commands at once.
type memoryStore struct {
	state    *applier.State
	commands int
}

func (s *memoryStore) Propose(_ context.Context, c manager.Command) (manager.Result, error) {
	s.commands++
	return s.state.Apply(c), nil
}

func (s *memoryStore) Read(_ context.Context, f func(manager.Applier)) error {
	f(s.state)
	return nil
}

func (s *memoryStore) Wait(context.Context, manager.Revision) {}

func (s *memoryStore) Leader() (manager.Address, bool) { return "", true }

func (s *memoryStore) Close() error { return nil }

// mailbox delivers a worker's reports twice and late.
type mailbox struct {
	*faker.Worker
	random *rand.Rand
	late   []manager.UsageReport
}

func (m *mailbox) Usage(ctx context.Context) ([]manager.UsageReport, error) {
	reports, err := m.Worker.Usage(ctx)
	if m.random == nil || len(reports) == 0 {
		return reports, err
	}
	if m.random.IntN(3) == 0 {
		reports = append(reports, m.late...)
	}
	m.late = append(m.late, reports[m.random.IntN(len(reports))])
	if len(m.late) > 32 {
		m.late = m.late[16:]
	}
	return reports, err
}

// simulation runs the placement loop in virtual time against the replicated state and fake workers.
type simulation struct {
	t      require.TestingT
	clock  *manager.ManualClock
	store  *memoryStore
	worker *faker.Worker
	box    *mailbox
	loop   *PlacementLoop
	// real makes the placer of a new leader.
	real func() manager.Placer
	// unstarted names the jobs that were cancelled before they ever started.
	unstarted map[manager.JobID]bool
	// checkEvery is the number of steps from one check to the next.
	checkEvery int
	steps      int
	// ahead is by how much the leader's clock is ahead of the workers'.
	ahead manager.Duration
}

// deployment is the shape of a fleet.
type deployment struct {
	name     string
	zones    int
	capacity manager.Resources
}

var (
	cathode = deployment{name: "cathode", zones: 3, capacity: manager.Resources{ProcessorMilliCores: 16_000, MemoryMegaBytes: 32 << 10}}
	qirsh   = deployment{name: "qirsh", zones: 4, capacity: manager.Resources{ProcessorMilliCores: 64_000, MemoryMegaBytes: 256 << 10}}
)

const (
	urgent    = "urgent"
	batch     = "batch"
	rackSize  = 4
	lag       = 2 * manager.Second
	checkTime = 2500 * manager.Millisecond
)

func adaptive() manager.Placer { return &placer.Adaptive{} }

func firstFit() manager.Placer { return &placer.FirstFit{} }

// fleet returns n VMs in pools, spread over the zones rack by rack.
func (d deployment) fleet(n, pools int, p manager.Profile) manager.LoadFleet {
	p.Profile = manager.ProfileID(d.name)
	p.Budget = manager.Budget{MaxUnavailablePercent: 25}
	p.Wave = manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: 20 * manager.Second, Order: manager.WaveOrderName}
	p.JobClasses = []manager.JobClass{{Class: urgent}, {Class: "steady", Priority: 5}, {Class: batch, Priority: 10, Checkpointable: true}}
	f := manager.LoadFleet{Profiles: []manager.Profile{p}}
	for i := range pools {
		f.Pools = append(f.Pools, manager.Pool{Pool: manager.PoolID(fmt.Sprintf("pool-%03d", i)), Profile: p.Profile})
	}
	for i := range n {
		rack := i / rackSize
		f.VMs = append(f.VMs, manager.VM{
			VM: manager.VMID(fmt.Sprintf("vm-%04d", i)), Pool: f.Pools[i%pools].Pool, Capacity: d.capacity,
			AvailabilityZone: manager.AvailabilityZone(fmt.Sprintf("zone-%d", rack%d.zones)),
			Rack:             manager.RackID(fmt.Sprintf("rack-%03d", rack)),
		})
	}
	return f
}

func newSimulation(t require.TestingT, f manager.LoadFleet, lead func() manager.Placer) *simulation {
	s := &simulation{
		t: t, clock: &manager.ManualClock{At: 1_000}, store: &memoryStore{state: applier.New()},
		real: lead, unstarted: map[manager.JobID]bool{}, checkEvery: 8,
	}
	capacity := map[manager.VMID]manager.Resources{}
	for _, v := range f.VMs {
		capacity[v.VM] = v.Capacity
	}
	s.worker = &faker.Worker{
		Clock: s.clock, Lag: lag, CheckpointTime: checkTime,
		RunTime:  func(j manager.Job) manager.Duration { return j.DeclaredMs },
		Capacity: func(v manager.VMID) manager.Resources { return capacity[v] },
	}
	s.box = &mailbox{Worker: s.worker}
	s.lead()
	s.apply(manager.Command{LoadFleet: &f})
	s.store.commands = 0
	return s
}

// lead starts a new leader, which knows nothing but the state.
func (s *simulation) lead() { s.loop = &PlacementLoop{Worker: s.box, Placer: s.real()} }

func (s *simulation) propose(c manager.Command) manager.Result {
	c.At = s.clock.At
	r, err := s.store.Propose(context.Background(), c)
	require.NoError(s.t, err)
	return r
}

func (s *simulation) apply(c manager.Command) manager.Result {
	r := s.propose(c)
	require.Nil(s.t, r.Failure)
	return r
}

func (s *simulation) submit(j manager.Job) {
	s.apply(manager.Command{SubmitJob: &manager.SubmitJob{Job: j}})
}

func (s *simulation) fleet() manager.Fleet { return s.store.state.Fleet() }

// step runs the loop once; orders that do not reach a cut worker are tried again by the loop itself.
func (s *simulation) step() {
	s.clock.Advance(s.loop.Period())
	_ = s.loop.Step(context.Background(), s.clock.At.Add(s.ahead), s.store)
}

// run steps until done or the time is over, and tells whether it was done.
func (s *simulation) run(d manager.Duration, done func(f manager.Fleet) bool) bool {
	for end := s.clock.At.Add(d); s.clock.At < end; {
		s.step()
		if s.steps++; s.steps%s.checkEvery == 0 {
			s.check()
		}
		if done != nil && done(s.fleet()) {
			return true
		}
	}
	return done == nil
}

func allEnded(f manager.Fleet) bool {
	for _, j := range f.Jobs {
		if !j.State.Ended() || j.Lease != nil {
			return false
		}
	}
	return true
}

func (s *simulation) job(id manager.JobID) manager.Job {
	for _, j := range s.fleet().Jobs {
		if j.Job == id {
			return j
		}
	}
	require.Fail(s.t, "no job "+string(id))
	return manager.Job{}
}

// states counts the jobs in each state.
func (s *simulation) states() map[manager.JobState]int {
	n := map[manager.JobState]int{}
	for _, j := range s.fleet().Jobs {
		n[j.State]++
	}
	return n
}

// check asserts what must always hold.
func (s *simulation) check() {
	f := s.fleet()
	reserved := map[manager.VMID]manager.Resources{}
	teams := map[manager.TeamID]manager.Resources{}
	racks := map[string]int{}
	vms := map[manager.VMID]manager.VM{}
	for _, v := range f.VMs {
		vms[v.VM] = v
	}
	for _, j := range f.Jobs {
		if !j.Idempotent {
			require.LessOrEqual(s.t, s.worker.Runs(j.Job), 1, "non-idempotent job %s started twice", j.Job)
		}
		if s.unstarted[j.Job] {
			require.Zero(s.t, s.worker.Runs(j.Job), "job %s started after it was cancelled", j.Job)
		}
		if j.Lease == nil {
			continue
		}
		l, v := j.Lease, vms[j.Lease.VM]
		reserved[l.VM] = reserved[l.VM].Add(l.Reserved)
		teams[j.Team] = teams[j.Team].Add(l.Reserved)
		racks[j.Class+string(v.Rack)]++
		require.True(s.t, l.Reserved.Fits(manager.MinReservation(j.Declared)), "job %s holds less than the overcommit bound", j.Job)
		require.False(s.t, v.Phase == manager.PhaseDraining && l.StartAt > v.PhaseSince, "VM %s drains and got job %s", l.VM, j.Job)
	}
	for _, v := range f.VMs {
		require.True(s.t, v.Capacity.Fits(reserved[v.VM]), "VM %s is overspent: %v", v.VM, reserved[v.VM])
	}
	p := f.Profiles[0]
	for _, q := range p.Quotas {
		require.True(s.t, q.Resources.Fits(teams[q.Team]), "quota of %s is overspent", q.Team)
	}
	for rack, n := range racks {
		require.True(s.t, p.Spread.MaxPerRack == 0 || n <= p.Spread.MaxPerRack, "%s has %d tasks", rack, n)
	}
	for id, n := range s.worker.LiveTasks() {
		require.LessOrEqual(s.t, n, 1, "job %s runs under %d leases at once", id, n)
	}
}
