package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// TestCapacityChangesUnderFaults draws capacities that shrink and grow while answers are lost, workers are cut off or
// restart, runs take time to stop, jobs are cancelled and dispatchers are replaced. No start may exceed the capacity of
// its worker, no task may run twice at a time, and everything runs once the capacity is back.
func TestCapacityChangesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &shrinkModel{fleet: newFleet(t), rt: t, cancelled: map[manager.GraphID]bool{}, deafUntil: map[*fakeWorker]manager.Time{}, token: 1}
		s.play()
	})
}

type shrinkModel struct {
	*fleet
	rt        *rapid.T
	checks    []*capacityCheck
	jobs      []manager.GraphID
	cancelled map[manager.GraphID]bool
	// deafUntil holds until when the answers to each worker are lost.
	deafUntil map[*fakeWorker]manager.Time
	token     manager.FencingToken
}

var wholeWorker = manager.Resources{ProcessorMilliCores: 4000, MemoryMegaBytes: 4000, Accelerators: 4}

func (s *shrinkModel) play() {
	for i := range 4 {
		w := s.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 0)
		w.report.Capacity, w.leased = wholeWorker, true
		w.slowPercent = manager.Duration(s.draw(0, 2))
		w.stopTime = manager.Duration(100 * s.draw(0, 9))
		w.taskTime = manager.Duration(100 * s.draw(2, 25))
		s.checks = append(s.checks, checkCapacity(w))
	}
	for range s.draw(20, 120) {
		s.act()
		for range s.draw(1, 6) {
			s.tick()
		}
	}
	for i, w := range s.workers {
		w.silent, s.deafUntil[w] = false, 0
		s.setCapacity(i, wholeWorker)
	}
	for range 1200 {
		s.tick()
	}
	s.checkJobs()
}

func (s *shrinkModel) draw(least, most int) int { return rapid.IntRange(least, most).Draw(s.rt, "n") }

// givenUpCrashes is the least number of workers that have to crash under a task before its job may be given up.
const givenUpCrashes = 2

// crashesUnder returns the largest number of workers that have crashed under a task of a job.
func (s *shrinkModel) crashesUnder(id manager.GraphID) int {
	most := 0
	for task, n := range s.crashes {
		if task.Graph == id {
			most = max(most, n)
		}
	}
	return most
}

// checkJobs checks that every accepted job is complete, or runs if it is long-running. Workers restart each 10 s or so here,
// which can't be told from tasks that crash them.
func (s *shrinkModel) checkJobs() {
	for _, id := range s.jobs {
		switch j := s.state.Jobs[id]; {
		case j == nil:
		case s.cancelled[id]:
		case j.State == manager.GraphFailed:
			require.GreaterOrEqual(s.t, s.crashesUnder(id), givenUpCrashes, id)
		case j.HasLongRunning():
			require.Zero(s.t, s.notRunning(id), id)
		default:
			require.Equal(s.t, manager.GraphCompleted, j.State, id)
		}
	}
	for _, w := range s.workers {
		for id := range s.state.Runs(w.report.Instance) {
			require.False(s.t, s.state.Jobs[id.Graph].State.Ended(), "a run of ended job %s is open", id.Graph)
		}
	}
}

func (s *shrinkModel) setCapacity(i int, r manager.Resources) {
	s.workers[i].report.Capacity = r
	s.checks[i].recordReport(s.workers[i].report)
}

// tick advances 50 milliseconds, in which the workers report and the dispatcher runs its cycles.
func (s *shrinkModel) tick() {
	for _, w := range s.workers {
		w.expireLease()
		w.loseAnswer = s.now < s.deafUntil[w]
		w.tick()
	}
	for s.runCycle(); len(s.events) > 0; {
		s.runCycle()
	}
	s.now = s.now.Add(50)
	s.check()
}

// outage advances without a dispatcher; reports and calls are lost.
func (s *shrinkModel) outage(ticks int) {
	for range ticks {
		for _, w := range s.workers {
			w.expireLease()
			w.tick()
			w.call = 0
		}
		s.events = nil
		s.now = s.now.Add(50)
		s.check()
	}
}

func (s *shrinkModel) check() {
	require.Empty(s.t, s.d.Outdated(), "the cached usage of a worker is stale at %d", s.now)
	for _, c := range s.checks {
		require.Empty(s.t, c.exceeded)
	}
	at := map[manager.TaskID]*fakeWorker{}
	for _, w := range s.workers {
		for id := range w.runs {
			require.Nil(s.t, at[id], "task %s runs on two workers at %d", id, s.now)
			at[id] = w
		}
	}
}

func (s *shrinkModel) act() {
	i := s.draw(0, len(s.workers)-1)
	w := s.workers[i]
	switch s.draw(0, 15) {
	case 0, 1, 2, 3:
		s.submitJob()
	case 4, 5, 6, 7:
		s.setCapacity(i, manager.Resources{
			ProcessorMilliCores: manager.MilliCores(500 * s.draw(0, 8)), MemoryMegaBytes: manager.MegaBytes(500 * s.draw(0, 8)),
			Accelerators: manager.Accelerators(s.draw(0, 4)),
		})
	case 8, 9:
		s.deafUntil[w] = s.now.Add(manager.Duration(200 * s.draw(1, 30)))
	case 10:
		w.silent = !w.silent
	case 11:
		w.restart()
	case 12, 13:
		s.replaceDispatcher()
	case 14:
		if len(s.jobs) > 0 {
			id := s.jobs[s.draw(0, len(s.jobs)-1)]
			s.cancelled[id] = true
			s.send(dispatcher.Event{Cancel: &id})
		}
	case 15:
		s.setCapacity(i, wholeWorker)
	}
}

// submitJob submits a job of a random kind. Its tasks fit on each worker, and all gangs fit on the fleet.
func (s *shrinkModel) submitJob() {
	step := manager.GraphStep{Count: s.draw(1, 4), EstimateMs: 1000, PerTask: manager.Resources{
		ProcessorMilliCores: manager.MilliCores(500 * s.draw(1, 4)), MemoryMegaBytes: manager.MegaBytes(250 * s.draw(1, 4)), Accelerators: manager.Accelerators(s.draw(0, 1)),
	}}
	switch s.draw(0, 5) {
	case 0:
		step.Gang = true
	case 1:
		step.BestEffort = true
	case 2:
		if s.longRunningJobs() < 2 {
			step = longRunning(500, 2, 1)
		}
	}
	id := manager.GraphID(fmt.Sprintf("j%03d", len(s.jobs)))
	s.jobs = append(s.jobs, id)
	s.submit(id, step)
}

func (s *shrinkModel) longRunningJobs() int {
	n := 0
	for _, j := range s.state.Active() {
		if j.HasLongRunning() {
			n++
		}
	}
	return n
}

// replaceDispatcher starts a new dispatcher after an outage. The changes of the old one's last cycle are committed without
// an answer, or lost.
func (s *shrinkModel) replaceDispatcher() {
	c, _ := s.d.RunCycle(s.now, s.events)
	s.events = nil
	if s.draw(0, 2) > 0 {
		s.state.Apply(c)
	}
	s.outage(s.draw(0, 100))
	s.token++
	s.startDispatcher(s.token)
}
