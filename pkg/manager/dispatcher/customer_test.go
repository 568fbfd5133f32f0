package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

const (
	large = manager.CustomerID("large")
	small = manager.CustomerID("small")
	// configurationTime is how long an earlier cap may still count after a change, as calls in flight may have used it.
	configurationTime = 2500 * manager.Millisecond
)

// configureCustomers changes the customers of the configuration in force.
func (f *fleet) configureCustomers(list ...manager.CustomerSettings) {
	next := *f.state.Configuration
	next.Version, next.RequiresKeys, next.Customers = next.Version+1, true, list
	next.Index()
	f.send(dispatcher.Event{Configure: &next})
}

func (f *fleet) submitFor(c manager.CustomerID, id manager.GraphID, steps ...manager.GraphStep) dispatcher.CallID {
	return f.send(dispatcher.Event{Submit: &manager.Graph{Graph: id, Queue: queue, Customer: c, Payload: "p", Steps: steps}})
}

func processors(n manager.MilliCores) manager.Resources {
	return manager.Resources{ProcessorMilliCores: n}
}

// running returns what the tasks of each customer use on the workers that are up.
func (f *fleet) running() map[manager.CustomerID]manager.MilliCores {
	use := map[manager.CustomerID]manager.MilliCores{}
	for _, w := range f.workers {
		for id := range w.runs {
			if j := f.state.Jobs[id.Graph]; j != nil {
				use[j.Customer] += j.Steps[id.Step].PerTask.ProcessorMilliCores
			}
		}
	}
	return use
}

func TestTasksStartWithinCap(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(4000)}, manager.CustomerSettings{Customer: small, Weight: 100})
	for i := range 4 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 8000)
	}
	f.run(200)
	f.submitFor(large, "a", task(1500, 8))
	f.submitFor(small, "b", task(1500, 8))
	f.run(500)
	require.EqualValues(t, 3000, f.running()[large])
	require.EqualValues(t, 12000, f.running()[small], "a customer without a cap is limited")
	f.run(8 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

// Tasks that have a rack are placed by code of their own.
func TestTasksNearTheirDataStartWithinCap(t *testing.T) {
	f := newFleet(t)
	f.d = dispatcher.New(f.state, 1, dispatcher.Options{RemoteFactor: 3}, f.now)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(4000)})
	for i := range 4 {
		w := f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 8000)
		w.report.Rack = manager.Label(fmt.Sprintf("r%d", i/2))
		w.report.Labels = []manager.Label{"a", w.report.Rack}
	}
	f.run(200)
	near := task(1500, 8)
	near.DataRack = "r0"
	f.submitFor(large, "a", near)
	together := task(1500, 8)
	together.PreferSameRack = true
	f.submitFor(large, "b", together)
	for range 20 {
		f.run(100)
		require.LessOrEqual(t, f.running()[large], manager.MilliCores(4000))
	}
	f.run(20 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
}

// A job whose tasks are larger than the cap of its customer would otherwise never start.
func TestTaskLargerThanCapStartsAlone(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(1000)})
	f.worker("w", pool, 8000)
	f.run(200)
	f.submitFor(large, "a", task(3000, 2))
	f.run(300)
	require.EqualValues(t, 3000, f.running()[large])
	f.run(4 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
}

// A gang that starts in part beyond the cap would hold capacity and wait for the rest.
func TestGangBeyondCapWaitsAsAWhole(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(4000)})
	f.worker("w", pool, 16000)
	f.worker("v", pool, 16000)
	f.run(200)
	f.submitFor(large, "a", task(2500, 1))
	f.run(100)
	gang := task(1000, 4)
	gang.Gang = true
	f.submitFor(large, "g", gang)
	f.submit("other", task(1000, 4))
	f.run(500)
	require.EqualValues(t, 2500, f.running()[large])
	require.Zero(t, f.state.Jobs["g"].OpenRuns())
	require.Equal(t, 4, f.state.Jobs["other"].OpenRuns(), "a gang that waits for its cap blocks the pool")
	f.run(4 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("g"))
}

// Accepted jobs of a customer that leaves were promised; they go on within its last cap.
func TestJobsOfDepartedCustomerGoOnWithinLastCap(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(2000)})
	f.worker("w", pool, 16000)
	f.run(200)
	f.submitFor(large, "a", task(1000, 6))
	f.run(200)
	f.configureCustomers()
	f.run(200)
	f.startDispatcher(2)
	f.run(500)
	require.LessOrEqual(t, f.running()[large], manager.MilliCores(2000))
	f.run(8 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("a"))
	f.configureCustomers()
	f.run(200)
	require.Empty(t, f.state.Departed.Customers)
}

func TestSubmitWithIDOfAnotherCustomerConflicts(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large}, manager.CustomerSettings{Customer: small})
	f.submitFor(large, "a", task(1000, 1))
	f.runCycle()
	f.runCycle()
	call := f.submitFor(small, "a", task(1000, 1))
	again := f.submitFor(large, "a", task(1000, 1))
	f.runCycle()
	require.True(t, manager.IsErrConflict(f.answers[call].Err))
	require.NoError(t, f.answers[again].Err)
}

// Of two customers that submit one ID between two cycles both were told that their job was accepted, and one job was dropped.
func TestSubmitsOfOneIDInOneCycleConflict(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large}, manager.CustomerSettings{Customer: small})
	f.runCycle()
	first := f.submitFor(large, "a", task(1000, 1))
	other := f.submitFor(small, "a", task(1000, 1))
	again := f.submitFor(large, "a", task(1000, 1))
	f.runCycle()
	require.NoError(t, f.answers[first].Err)
	require.True(t, manager.IsErrConflict(f.answers[other].Err))
	require.Contains(t, f.answers, again)
	require.NoError(t, f.answers[again].Err)
	require.Equal(t, large, f.state.Jobs["a"].Customer)
}

// An order is lost, and the cap of the customer is reduced before the order is repeated.
func TestLostOrderIsNotRepeatedBeyondReducedCap(t *testing.T) {
	gang := task(1000, 4)
	gang.Gang = true
	for name, step := range map[string]manager.GraphStep{"tasks": task(1000, 4), "gang": gang} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			caps := func(cpu manager.MilliCores) manager.CustomerSettings {
				return manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(cpu)}
			}
			f.configureCustomers(caps(4000))
			w := f.worker("w1", pool, 8000)
			f.run(200)
			f.submitFor(large, "a", step)
			f.loseAnswers(w, 300)
			require.Equal(t, 4, f.state.Jobs["a"].OpenRuns())
			require.Empty(t, w.started)
			f.configureCustomers(caps(1000))
			f.loseAnswers(w, configurationTime+500)
			most := manager.MilliCores(0)
			for range 1500 {
				f.run(10)
				most = max(most, f.running()[large])
			}
			require.LessOrEqual(t, most, manager.MilliCores(1000+100+1000))
			if step.Gang {
				require.Zero(t, most, "a part of a gang began")
				f.configureCustomers(caps(4000))
				f.run(6 * manager.Second)
			}
			require.Equal(t, manager.GraphCompleted, f.jobState("a"))
		})
	}
}

// capModel adds customers with caps that change, and leave, to the model under faults.
type capModel struct {
	*model
	caps   map[manager.CustomerID]manager.MilliCores
	recent []recentCap
}

type recentCap struct {
	customer manager.CustomerID
	cores    manager.MilliCores
	until    manager.Time
}

// Caps hold at each start through lost answers, workers that are cut off and run on, restarts, changes of the leader,
// cancelled jobs, gangs and caps that shrink under running work.
func TestCapsHoldUnderFaults(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			m := &capModel{model: &model{fleet: newFleet(t), rng: rand.New(rand.NewPCG(seed+1, 46))}, caps: map[manager.CustomerID]manager.MilliCores{}}
			m.play()
		})
	}
}

func (m *capModel) play() {
	m.cancelled, m.token = map[manager.GraphID]bool{}, 1
	m.calls = map[manager.GraphID][]dispatcher.CallID{}
	for i := range 6 {
		w := m.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased, w.stopTime = true, 300
		w.slowPercent = manager.Duration(m.rng.IntN(3))
		w.onStart = m.checkStart
	}
	m.changeCaps()
	for i := range 400 {
		m.fault()
		if m.rng.IntN(6) == 0 {
			m.submitDrawn(i)
		}
		if m.rng.IntN(60) == 0 {
			m.changeCaps()
		}
		m.tick()
		m.noteCaps()
	}
	m.endFaults()
	// The tasks of a customer with a small cap run one after the other.
	for range 6000 {
		m.tick()
		m.noteCaps()
	}
	for _, id := range m.jobs {
		if j := m.state.Jobs[id]; j != nil {
			require.True(m.t, j.State.Ended(), "job %s of %s has not ended: %+v of %+v in use, %+v", id, j.Customer, m.state.InUse(j.Customer), m.caps, j.Steps)
		}
	}
}

func (m *capModel) submitDrawn(i int) {
	c := []manager.CustomerID{large, small}[m.rng.IntN(2)]
	s := task(manager.MilliCores(300+m.rng.IntN(2500)), 1+m.rng.IntN(4))
	if m.rng.IntN(4) == 0 {
		// A gang wider than the least cap, by more than one task, may have to wait for a larger cap.
		s.Gang, s.Count, s.PerTask.ProcessorMilliCores = true, 2, min(s.PerTask.ProcessorMilliCores, 1000)
	}
	id := manager.GraphID(fmt.Sprintf("c%d", i))
	m.jobs = append(m.jobs, id)
	m.calls[id] = append(m.calls[id], m.submitFor(c, id, s))
}

// changeCaps draws new caps; a customer may also leave, with its last cap.
func (m *capModel) changeCaps() {
	var list []manager.CustomerSettings
	for _, c := range []manager.CustomerID{large, small} {
		if m.rng.IntN(4) > 0 {
			list = append(list, manager.CustomerSettings{Customer: c, Weight: 100, Cap: processors(manager.MilliCores(1000 + m.rng.IntN(9000)))})
		}
	}
	m.configureCustomers(list...)
}

// noteCaps notes the caps that were in force until now.
func (m *capModel) noteCaps() {
	for _, c := range []manager.CustomerID{large, small} {
		s, ok := m.state.Customer(c)
		if limit := s.Cap.ProcessorMilliCores; ok && limit != m.caps[c] {
			m.recent = append(m.recent, recentCap{customer: c, cores: m.caps[c], until: m.now.Add(configurationTime)})
			m.caps[c] = limit
		}
	}
}

// checkStart checks the bound that callers were told, the cap by a tenth and one task more, before a worker starts a run.
func (m *capModel) checkStart(s manager.StartOrder) bool {
	j := m.state.Jobs[s.Task.Graph]
	if j.Customer == "" {
		return true
	}
	m.noteCaps()
	limit := m.caps[j.Customer]
	for _, r := range m.recent {
		if r.customer == j.Customer && m.now <= r.until {
			limit = max(limit, r.cores)
		}
	}
	need := j.Steps[s.Task.Step].PerTask.ProcessorMilliCores
	for _, w := range m.workers {
		if _, ok := w.runs[s.Task]; ok {
			return true
		}
	}
	after := m.running()[j.Customer] + need
	require.LessOrEqual(m.t, after, limit+limit/10+need, "task %s of %s at %d", s.Task, j.Customer, m.now)
	return true
}

// Guards against a refusal by a configuration that is not in force yet: a later call with the same key was accepted.
func TestRefusalByANewConfigurationWaitsForItsCommit(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100})
	f.worker("w1", pool, 8000)
	f.run(200)
	f.configureCustomers(manager.CustomerSettings{Customer: small, Weight: 100})
	call := f.submitFor(large, "a", task(1000, 1))
	c, answers := f.d.RunCycle(f.now, f.events)
	f.events = nil
	require.NotNil(t, c.Configure)
	for _, a := range answers {
		require.NotEqual(t, call, a.Call, "answered before the commit: %v", a.Err)
	}
	f.state.Apply(c)
	f.recordAnswers(f.d.Committed(f.now))
	require.Error(t, f.answers[call].Err)
	require.NotContains(t, f.state.Jobs, manager.GraphID("a"))
}
