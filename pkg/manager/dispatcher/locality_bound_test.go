package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/localizer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// racks returns a fleet whose racks have some workers of one slot each, for tasks of 1 s.
func racks(t *testing.T, factor float64, workers ...int) *rackFleet {
	t.Helper()
	r := newRackFleet(t, rackLoad{factor: factor}, nil, 1)
	for rack, n := range workers {
		for i := range n {
			w := r.worker(manager.WorkerID(fmt.Sprintf("w%d-%d", rack, i)), pool, 1000)
			w.report.Rack = rackLabel(rack)
			w.report.Labels = []manager.Label{w.report.Rack}
			w.onStart = r.noteStart(w)
		}
	}
	r.duration = func(w *fakeWorker, id manager.TaskID) manager.Duration {
		if j := r.state.Jobs[id.Graph]; j != nil && r.isRemote(w, j.Steps[id.Step], id) {
			return manager.DurationOf(float64(w.taskTime) * factor)
		}
		return w.taskTime
	}
	r.run(600)
	return r
}

// near returns a step with data on a rack.
func near(rack, count int) manager.GraphStep {
	s := task(1000, count)
	s.DataRack = rackLabel(rack)
	return s
}

// startedOn returns the racks on which the tasks of a job started, in the order of the workers.
func (r *rackFleet) startedOn(id manager.GraphID) []manager.Label {
	var list []manager.Label
	for _, w := range r.workers {
		for _, s := range w.started {
			if s.Task.Graph == id {
				list = append(list, w.report.Rack)
			}
		}
	}
	return list
}

// Guards against a task that goes remote although a near worker is about to come free.
func TestTaskWaitsForARunThatEndsSoon(t *testing.T) {
	r := racks(t, 3, 1, 2)
	var waits []dispatcher.EndedWait
	r.onLog = func(line dispatcher.LogLine) {
		if line.Waited != nil {
			require.Equal(t, manager.LogRackWaitEnded, line.Message)
			waits = append(waits, *line.Waited)
		}
	}
	r.submit("first", near(0, 1))
	r.run(500)
	r.submit("second", near(0, 1))
	r.run(300)
	require.Empty(t, r.startedOn("second"))
	r.run(3 * manager.Second)
	require.Equal(t, []manager.Label{rackLabel(0)}, r.startedOn("second"))
	require.Len(t, waits, 1)
	require.True(t, waits[0].PaidOff)
	require.Equal(t, manager.LocalityNear, waits[0].Reason)
}

// Guards against waits for a rack of which no worker is alive, and for workers of another pool.
func TestTaskDoesNotWaitForARackWithoutWorkers(t *testing.T) {
	r := racks(t, 3, 1, 2)
	w := r.worker("other", other, 1000)
	w.report.Rack, w.report.Labels = rackLabel(7), []manager.Label{rackLabel(7)}
	r.run(600)
	r.submit("other", near(7, 1))
	r.run(200)
	require.Len(t, r.startedOn("other"), 1)
	r.workers[0].silent = true
	r.run(1500)
	r.submit("lost", near(0, 1))
	r.run(400)
	require.Equal(t, []manager.Label{rackLabel(1)}, r.startedOn("lost"))
}

// Guards against tasks that wait without end for workers that are expected to come free and don't.
func TestWaitHoldsNoIdleJobForLong(t *testing.T) {
	for _, estimate := range []manager.Duration{1000, 20_000} {
		for seed := range uint64(20) {
			r := racks(t, 3, 2, 6)
			rng := rand.New(rand.NewPCG(seed, 3))
			for _, w := range r.workers[:2] {
				w.taskTime = manager.Minute
			}
			long := near(0, 2)
			long.EstimateMs = estimate
			r.submit("long", long)
			r.run(manager.Duration(rng.IntN(2000)))
			var ids []manager.GraphID
			for i := range 6 {
				s := near(0, 1)
				s.EstimateMs = estimate
				s.PreferSameRack = rng.IntN(2) == 0
				id := manager.GraphID(fmt.Sprintf("job%d", i))
				ids = append(ids, id)
				r.submit(id, s)
				r.run(manager.Duration(rng.IntN(100)))
			}
			r.run(4 * manager.Second)
			for _, id := range ids {
				j := r.state.Jobs[id]
				require.True(t, j.Started, "seed %d: %s", seed, id)
				require.LessOrEqual(t, j.WaitedMs, 3*manager.Second, "seed %d: %s", seed, id)
			}
		}
	}
}

// endedInTime plays jobs whose rack is full for longer than expected, and returns which of them met the objective.
func endedInTime(t *testing.T, policy manager.LocalityPolicy, seed uint64) map[manager.GraphID]bool {
	t.Helper()
	r := racks(t, 3, 3, 20)
	r.options.Locality = policy
	r.startDispatcher(3)
	inTime := map[manager.GraphID]bool{}
	r.onLog = func(line dispatcher.LogLine) {
		if line.Ended != nil {
			id := line.Fields[1].(manager.GraphID)
			inTime[id] = line.Ended.TookMs <= 3600+1600*manager.Duration(len(r.state.Jobs[id].Steps))
		}
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	for _, w := range r.workers[:3] {
		w.taskTime = 20 * manager.Second
	}
	r.submit("long", near(0, 3))
	r.run(300)
	for i := range 4 {
		var steps []manager.GraphStep
		for s := range 1 + rng.IntN(3) {
			step := near(0, 1)
			if rng.IntN(2) == 0 {
				step.DataRack = rackLabel(1)
			}
			if s > 0 {
				step.DependsOn = []int{s - 1}
			}
			steps = append(steps, step)
		}
		r.submit(manager.GraphID(fmt.Sprintf("job%d", i)), steps...)
		r.run(manager.Duration(rng.IntN(800)))
	}
	r.run(15 * manager.Second)
	return inTime
}

// Guards against a wait that makes a job late that is on time when its tasks start remote.
func TestWaitMakesNoJobLate(t *testing.T) {
	checked := 0
	for seed := range uint64(30) {
		remote, adaptive := endedInTime(t, localizer.Never{}, seed), endedInTime(t, localizer.Adaptive{}, seed)
		for id, ok := range remote {
			if ok && id != "long" {
				checked++
				require.True(t, adaptive[id], "seed %d: %s", seed, id)
			}
		}
	}
	require.Greater(t, checked, 60)
}

// Guards against remote runs that inflate the estimates of a queue, and with them its objectives.
func TestEstimateStaysThatOfLocalRuns(t *testing.T) {
	r := racks(t, 3, 1, 8)
	for i := range 10 {
		r.submit(manager.GraphID(fmt.Sprintf("job%d", i)), near(0, 4))
		r.run(4 * manager.Second)
	}
	remote := 0
	for _, w := range r.workers[1:] {
		remote += len(w.started)
	}
	require.Greater(t, remote, 10)
	require.InDelta(t, 1000, float64(r.state.Times[queue].Estimate(near(0, 1))), 150)
}

// Guards against remote runs that are taken for stalled, as they last longer than a local one without progress may.
func TestRemoteRunIsNotTakenForStalled(t *testing.T) {
	r := racks(t, 3, 0, 2)
	for _, w := range r.workers {
		w.taskTime = 1200
	}
	r.submit("job", near(0, 1))
	r.run(5 * manager.Second)
	require.Equal(t, manager.GraphCompleted, r.jobState("job"))
	require.Len(t, r.startedOn("job"), 1)
}

// Guards against a new dispatcher that fails over runs whose racks it has not seen start.
func TestNewDispatcherGoesOnWithRacks(t *testing.T) {
	r := racks(t, 3, 2, 4)
	s := task(1000, 4)
	s.PreferSameRack = true
	r.submit("group", s)
	r.submit("data", near(0, 4))
	r.run(900)
	r.startDispatcher(5)
	r.run(8 * manager.Second)
	require.Equal(t, manager.GraphCompleted, r.jobState("group"))
	require.Equal(t, manager.GraphCompleted, r.jobState("data"))
}

// Guards against the tasks of a step that are spread although a rack has capacity for all of them, or soon has.
func TestStepThatPrefersOneRackStaysThere(t *testing.T) {
	r := racks(t, 3, 3, 4, 4)
	r.submit("a", near(1, 3))
	r.submit("b", near(2, 2))
	r.run(400)
	s := task(1000, 4)
	s.PreferSameRack = true
	r.submit("group", s)
	r.run(8 * manager.Second)
	racks := map[manager.Label]bool{}
	for _, rack := range r.startedOn("group") {
		racks[rack] = true
	}
	require.Len(t, racks, 1)
	require.Equal(t, manager.GraphCompleted, r.jobState("group"))
}

// Guards against a gang that waits for a rack and blocks the jobs behind it meanwhile.
func TestGangWaitsForARackWithoutBlockingOthers(t *testing.T) {
	r := racks(t, 3, 2, 2)
	r.submit("a", near(0, 1))
	r.submit("b", near(1, 1))
	r.run(300)
	g := gang(1000, 2)
	g.PreferSameRack = true
	r.submit("gang", g)
	r.run(100)
	require.Empty(t, r.startedOn("gang"))
	r.submit("small", near(1, 1))
	r.run(200)
	require.Len(t, r.startedOn("small"), 1)
	r.run(5 * manager.Second)
	started := r.startedOn("gang")
	require.Len(t, started, 2)
	require.Equal(t, started[0], started[1])
}

// changesOf plays drawn jobs and returns the changes of all cycles. steps draws the steps of a job.
func changesOf(t *testing.T, seed uint64, o dispatcher.Options, steps func(*rand.Rand) []manager.GraphStep) []string {
	t.Helper()
	r := newRackFleet(t, rackLoad{factor: 3}, nil, seed)
	r.options = o
	r.startDispatcher(3)
	rng := rand.New(rand.NewPCG(seed, 6))
	for i := range 12 {
		w := r.worker(manager.WorkerID(fmt.Sprintf("w%02d", i)), pool, 2000+1000*manager.MilliCores(rng.IntN(3)))
		w.report.Rack = rackLabel(i / 4)
		w.report.Labels = []manager.Label{w.report.Rack}
		w.fails = rng.IntN(8) == 0
	}
	r.duration = nil
	var list []string
	r.onChanges = func(c recorder.Changes) {
		data, err := json.Marshal(c)
		require.NoError(t, err)
		list = append(list, string(data))
	}
	for i := range 60 {
		r.submit(manager.GraphID(fmt.Sprintf("job%d", i)), steps(rng)...)
		r.run(manager.Duration(rng.IntN(400)))
	}
	r.run(10 * manager.Second)
	return list
}

func plainSteps(rng *rand.Rand) []manager.GraphStep {
	s := task(500+500*manager.MilliCores(rng.IntN(3)), 1+rng.IntN(6))
	if rng.IntN(4) == 0 {
		s.Requires = rackLabel(rng.IntN(3))
	}
	switch rng.IntN(5) {
	case 0:
		s.Gang = true
	case 1:
		s.MaxPerWorker = 1 + rng.IntN(2)
	}
	after := task(500, 1+rng.IntN(3))
	after.DependsOn = []int{0}
	return []manager.GraphStep{s, after}
}

func rackSteps(rng *rand.Rand) []manager.GraphStep {
	steps := plainSteps(rng)
	for i := range steps {
		if rng.IntN(2) == 0 {
			steps[i].DataRack = rackLabel(rng.IntN(4))
		}
		steps[i].PreferSameRack = rng.IntN(3) == 0
	}
	return steps
}

// Guards against waits that change how jobs without a rack are placed.
func TestJobsWithoutARackArePlacedAsBefore(t *testing.T) {
	for seed := range uint64(20) {
		off := changesOf(t, seed, dispatcher.Options{}, plainSteps)
		require.Equal(t, off, changesOf(t, seed, dispatcher.Options{RemoteFactor: 3}, plainSteps), "seed %d", seed)
	}
}

// Guards against a factor of 0 or 1 that changes how jobs with a rack are placed.
func TestWaitsAreOffWithoutAFactor(t *testing.T) {
	for seed := range uint64(10) {
		off := changesOf(t, seed, dispatcher.Options{}, rackSteps)
		require.Equal(t, off, changesOf(t, seed, dispatcher.Options{RemoteFactor: 1, Locality: localizer.Always{}}, rackSteps), "seed %d", seed)
	}
}

// Guards against decisions that depend on the order of a map.
func TestWaitsAreDeterministic(t *testing.T) {
	for seed := range uint64(10) {
		first := changesOf(t, seed, dispatcher.Options{RemoteFactor: 3}, rackSteps)
		require.Equal(t, first, changesOf(t, seed, dispatcher.Options{RemoteFactor: 3}, rackSteps), "seed %d", seed)
	}
}
