package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/controller"
	"github.com/mulberryhaven/mulberryhaven/internal/faker"
	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// parts makes the decision parts of a new leader.
type parts struct {
	maintainer func() manager.Maintainer
	rebalancer func() manager.Rebalancer
}

// world runs the maintenance loop on a fake platform in virtual time and checks what must always hold.
type world struct {
	t        require.TestingT
	clock    *manager.ManualClock
	state    *applier.State
	loop     *controller.MaintenanceLoop
	parts    parts
	platform *unreliable
	tenant   *tenant
	load     manager.LoadFleet
	// dropProposals loses the leader's proposals before they are committed.
	dropProposals bool
	// restarts replaces the leader after so many proposals; 0 keeps it.
	restarts  int
	proposals int
	// unchecked leaves out the checks of each command, which a long run can't afford.
	unchecked bool
	// last is the fleet after the latest command.
	last manager.Fleet
	// moves counts the VMs that changed pool.
	moves int
}

// tenant drains a VM in a fixed time; a stuck VM never drains.
type tenant struct {
	clock  manager.Clock
	drain  manager.Duration
	leftAt map[manager.VMID]manager.Time
	stuck  map[manager.VMID]bool
	serves map[manager.VMID]manager.PoolID
}

func (t *tenant) Leave(v manager.VMID) { t.leftAt[v] = t.clock.Now() }

func (t *tenant) Left(v manager.VMID) bool {
	return !t.stuck[v] && t.clock.Now().Sub(t.leftAt[v]) >= t.drain
}

func (t *tenant) Return(v manager.VMID, p manager.PoolID) { t.serves[v] = p }

const (
	testDrain  = 5 * manager.Second
	testReboot = 40 * manager.Second
	testStep   = 1 * manager.Second
)

func newWorld(t require.TestingT, load manager.LoadFleet, p parts) *world {
	w := &world{t: t, clock: &manager.ManualClock{At: 1_000_000}, state: applier.New(), parts: p, load: load}
	w.tenant = &tenant{
		clock: w.clock, drain: testDrain, leftAt: map[manager.VMID]manager.Time{},
		stuck: map[manager.VMID]bool{}, serves: map[manager.VMID]manager.PoolID{},
	}
	fake := &faker.Platform{Clock: w.clock, RebootTime: testReboot, Tenant: w.tenant}
	for _, v := range load.VMs {
		fake.Add(v)
	}
	w.platform = &unreliable{Platform: fake, random: rand.New(rand.NewPCG(1, 1))}
	require.Nil(t, w.apply(manager.Command{LoadFleet: &load}).Failure)
	w.lead()
	return w
}

// lead makes a new leader, which knows only the replicated state.
func (w *world) lead() {
	data, err := w.state.Snapshot()
	require.NoError(w.t, err)
	w.state = applier.New()
	require.NoError(w.t, w.state.Restore(data))
	w.loop = &controller.MaintenanceLoop{
		Platform: w.platform, Maintainer: w.parts.maintainer(), Rebalancer: w.parts.rebalancer(), Demand: &controller.DemandTable{}, MaxOrders: 1,
	}
}

// step runs the loop once and moves the time on; calls of the platform may fail.
func (w *world) step() {
	_ = w.loop.Step(context.Background(), w.clock.Now(), w)
	w.clock.Advance(testStep)
}

func (w *world) run(d manager.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now() < end; {
		w.step()
	}
}

// runUntil runs until done, and fails after limit.
func (w *world) runUntil(limit manager.Duration, what string, done func() bool) manager.Duration {
	start := w.clock.Now()
	for !done() {
		if w.clock.Now().Sub(start) > limit {
			require.Fail(w.t, what+" did not end in time", "%+v", w.state.Fleet().Waves)
		}
		w.step()
	}
	return w.clock.Now().Sub(start)
}

func (w *world) apply(c manager.Command) manager.Result {
	c.At = w.clock.Now()
	w.countMoves(c)
	if w.unchecked {
		return w.state.Apply(c)
	}
	result := w.state.Apply(c)
	after := w.state.Fleet()
	checkChange(w.t, w.last, after)
	w.last = after
	return result
}

// countMoves counts the moves that a command commits; the loop proposes only those of drained VMs.
func (w *world) countMoves(c manager.Command) {
	if c.CommitMove != nil {
		w.moves++
	}
	if c.Batch == nil {
		return
	}
	for _, member := range c.Batch.Commands {
		w.countMoves(member)
	}
}

func (w *world) plan(id manager.WaveID, pools ...manager.PoolID) manager.Wave {
	plan, err := w.loop.Maintainer.Plan(w.clock.Now(), w.state.Fleet(), manager.WaveSpec{Wave: id, Pools: pools})
	require.NoError(w.t, err)
	result := w.apply(manager.Command{PlanWave: &manager.PlanWave{Wave: plan}})
	require.Nil(w.t, result.Failure)
	return *result.Wave
}

func (w *world) approve(id manager.WaveID, pools ...manager.PoolID) manager.Wave {
	plan := w.plan(id, pools...)
	result := w.apply(manager.Command{ApproveWave: &manager.ApproveWave{Wave: id, PlanVersion: plan.PlanVersion}})
	require.Nil(w.t, result.Failure)
	return *result.Wave
}

func (w *world) set(id manager.WaveID, s manager.SetWaveState) manager.Result {
	s.Wave = id
	return w.apply(manager.Command{SetWaveState: &s})
}

func (w *world) wave(id manager.WaveID) manager.Wave {
	waves := w.state.Fleet().Waves
	i := slices.IndexFunc(waves, func(x manager.Wave) bool { return x.Wave == id })
	require.GreaterOrEqual(w.t, i, 0)
	return waves[i]
}

func (w *world) vm(id manager.VMID) manager.VM {
	vms := w.state.Fleet().VMs
	i := slices.IndexFunc(vms, func(v manager.VM) bool { return v.VM == id })
	require.GreaterOrEqual(w.t, i, 0)
	return vms[i]
}

func (w *world) isDone(id manager.WaveID) func() bool {
	return func() bool { return w.wave(id).State == manager.WaveDone }
}

func (w *world) report(demand []manager.Demand) {
	w.loop.Demand.Take(w.clock.Now(), proposer.DemandReport{Gateway: "gateway-1", Demand: demand})
}

// The world is the loop's store.

func (w *world) Propose(_ context.Context, c manager.Command) (manager.Result, error) {
	w.proposals++
	if w.dropProposals {
		return manager.Result{}, manager.ErrOutcomeUnknown{Command: c.Command}
	}
	result := w.apply(c)
	if w.restarts > 0 && w.proposals%w.restarts == 0 {
		w.lead()
		return manager.Result{}, manager.ErrOutcomeUnknown{Command: c.Command}
	}
	return result, nil
}

func (w *world) Read(_ context.Context, f func(manager.Applier)) error {
	f(w.state)
	return nil
}

func (w *world) Wait(context.Context, manager.Revision) {}
func (w *world) Leader() (manager.Address, bool)        { return "", true }
func (w *world) Close() error                           { return nil }

// checkChange checks one applied command: epochs only grow, a pool changes only with a new epoch, and
// a VM is taken only within every budget.
func checkChange(t require.TestingT, before, after manager.Fleet) {
	pools := map[manager.PoolID]bool{}
	for i, was := range before.VMs {
		v := after.VMs[i]
		if v.VM != was.VM || v.Epoch < was.Epoch || (v.Pool != was.Pool && v.Epoch == was.Epoch) {
			require.Fail(t, "epoch or pool of a VM", "%+v after %+v", v, was)
		}
		if was.Phase == manager.PhaseInService && v.Phase == manager.PhaseDraining {
			pools[v.Pool] = true
		}
	}
	for p := range pools {
		checkBudget(t, after, p)
	}
}

// checkBudget counts anew, by itself, what is out of service in a pool that has just lost a VM to planned work.
func checkBudget(t require.TestingT, f manager.Fleet, id manager.PoolID) {
	pool := f.Pools[slices.IndexFunc(f.Pools, func(p manager.Pool) bool { return p.Pool == id })]
	budget := f.Profiles[slices.IndexFunc(f.Profiles, func(p manager.Profile) bool { return p.Profile == pool.Profile })].Budget
	size, serviceSize := 0, 0
	down, zones, racks := map[manager.PoolID]int{}, map[manager.AvailabilityZone]int{}, map[manager.RackID]int{}
	serviceDown := 0
	for _, v := range f.VMs {
		of := f.Pools[slices.IndexFunc(f.Pools, func(p manager.Pool) bool { return p.Pool == v.Pool })]
		if of.Service != pool.Service || v.Phase == manager.PhaseJoining {
			continue
		}
		serviceSize++
		if v.Pool == id {
			size++
		}
		if v.State == manager.VMRunning && v.Phase == manager.PhaseInService {
			continue
		}
		down[v.Pool]++
		serviceDown++
		zones[v.AvailabilityZone]++
		racks[v.Rack]++
	}
	require.LessOrEqual(t, down[id], budget.Limit(size), "pool %s", id)
	require.LessOrEqual(t, serviceDown, budget.Limit(serviceSize), "service %s", pool.Service)
	for zone, n := range zones {
		require.True(t, budget.MaxPerZone == 0 || n <= budget.MaxPerZone || !taken(f, func(v manager.VM) bool { return v.AvailabilityZone == zone }), "zone %s of service %s: %d", zone, pool.Service, n)
	}
	for rack, n := range racks {
		require.True(t, budget.MaxPerRack == 0 || n <= budget.MaxPerRack || !taken(f, func(v manager.VM) bool { return v.Rack == rack }), "rack %s of service %s: %d", rack, pool.Service, n)
	}
}

// taken tells whether one of the VMs was taken by the command just applied; losses alone may overspend a budget.
func taken(f manager.Fleet, in func(manager.VM) bool) bool {
	return slices.ContainsFunc(f.VMs, func(v manager.VM) bool {
		return in(v) && v.Phase == manager.PhaseDraining && v.PhaseSince == f.Now
	})
}

// unreliable loses, repeats and delays calls of the platform.
type unreliable struct {
	*faker.Platform
	random *rand.Rand
	// losePercent and repeatPercent are the shares of calls that are lost and that come again late.
	losePercent   int
	repeatPercent int
	late          []func()
}

func (u *unreliable) call(f func() error) error {
	if u.random.IntN(100) < u.losePercent {
		return fmt.Errorf("call: %w", context.DeadlineExceeded)
	}
	if u.random.IntN(100) < u.repeatPercent {
		u.late = append(u.late, func() { _ = f() })
	}
	if len(u.late) > 0 && u.random.IntN(100) < u.repeatPercent {
		i := u.random.IntN(len(u.late))
		u.late[i]()
		u.late = slices.Delete(u.late, i, i+1)
	}
	return f()
}

func (u *unreliable) Drain(ctx context.Context, v manager.VMID, e manager.Epoch) error {
	return u.call(func() error { return u.Platform.Drain(ctx, v, e) })
}

func (u *unreliable) Reboot(ctx context.Context, v manager.VMID, e manager.Epoch) error {
	return u.call(func() error { return u.Platform.Reboot(ctx, v, e) })
}

func (u *unreliable) Restore(ctx context.Context, v manager.VMID, e manager.Epoch, p manager.PoolID) error {
	return u.call(func() error { return u.Platform.Restore(ctx, v, e, p) })
}

func (u *unreliable) Observe(ctx context.Context) ([]manager.VMObservation, error) {
	if u.random.IntN(100) < u.losePercent {
		return nil, fmt.Errorf("observe: %w", context.DeadlineExceeded)
	}
	return u.Platform.Observe(ctx)
}

// testFleet returns a fleet with pools over three zones with racks of four.
func testFleet(p manager.Profile, pools, perPool int) manager.LoadFleet {
	f := manager.LoadFleet{Profiles: []manager.Profile{p}}
	zones := []manager.AvailabilityZone{"a", "b", "c"}
	inZone := map[manager.AvailabilityZone]int{}
	for i := range pools {
		id := manager.PoolID(fmt.Sprintf("pool-%d", i))
		f.Pools = append(f.Pools, manager.Pool{Pool: id, Service: manager.ServiceID(id), Profile: p.Profile, Spare: i == pools-1})
		for j := range perPool {
			zone := zones[j%len(zones)]
			f.VMs = append(f.VMs, manager.VM{
				VM: manager.VMID(fmt.Sprintf("vm-%d-%02d", i, j)), Pool: id, AvailabilityZone: zone,
				Rack: manager.RackID(fmt.Sprintf("%s-%d", zone, inZone[zone]/4)),
			})
			inZone[zone]++
		}
	}
	return f
}

func testProfile(b manager.Budget) manager.Profile {
	return manager.Profile{
		Profile: "test", Budget: b,
		Wave: manager.WaveRules{
			MaxAtOnce: 4, SettleMs: 30 * manager.Second, DrainLimitMs: 2 * manager.Minute,
			RebootLimitMs: 5 * manager.Minute, Order: manager.WaveOrderRack,
		},
		Weights: manager.Weights{BufferCost: 1, RollOutTime: 1, Moves: 1},
	}
}
