package dispatcher_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

var modelSeeds = flag.Int("model.seeds", 60, "number of seeds of the model test")

// TestModelUnderFaults drives dispatchers and workers through overlapping faults: workers that are cut off but keep
// running, restart under the same ID, lose answers or drain; dispatchers that are replaced, with or without their last
// commit; jobs that are cancelled. No task may run twice at a time on workers that are up, none may start after its end
// is recorded, and every job that is not cancelled must complete.
func TestModelUnderFaults(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			m := &model{fleet: newFleet(t), rng: rand.New(rand.NewPCG(seed+1, 11))}
			m.play()
		})
	}
}

type model struct {
	*fleet
	rng       *rand.Rand
	jobs      []manager.GraphID
	cancelled map[manager.GraphID]bool
	token     manager.FencingToken
	calls     map[manager.GraphID][]dispatcher.CallID
	// leaves holds the workers that are leaving. Workers leave only if it is set.
	leaves map[manager.WorkerID]*leave
}

func (m *model) play() {
	m.cancelled, m.token = map[manager.GraphID]bool{}, 1
	m.calls = map[manager.GraphID][]dispatcher.CallID{}
	for i := range 5 {
		w := m.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased = true
		w.slowPercent = manager.Duration(m.rng.IntN(3))
	}
	for range 400 {
		m.fault()
		if m.leaves != nil && m.rng.IntN(20) == 0 {
			m.beginLeave(m.workers[m.rng.IntN(len(m.workers))])
		}
		m.advanceLeaves()
		m.tick()
	}
	m.endFaults()
	for range 900 {
		m.tick()
	}
	for _, id := range m.jobs {
		want := manager.GraphCompleted
		if m.state.Jobs[id] == nil {
			require.False(m.t, m.accepted(id), "job %s was accepted but does not exist", id)
			continue
		}
		if m.cancelled[id] {
			require.True(m.t, m.jobState(id).Ended(), "cancelled job %s has not ended", id)
			continue
		}
		require.Equal(m.t, want, m.jobState(id), id)
	}
}

// accepted reports whether a submit of the job was answered with success.
func (m *model) accepted(id manager.GraphID) bool {
	for _, call := range m.calls[id] {
		if a, ok := m.answers[call]; ok && a.Err == nil {
			return true
		}
	}
	return false
}

// tick advances 50 milliseconds, in which the workers report and the dispatcher runs its cycles.
func (m *model) tick() {
	for _, w := range m.workers {
		w.expireLease()
		w.tick()
	}
	for m.runCycle(); len(m.events) > 0; {
		m.runCycle()
	}
	m.now = m.now.Add(50)
	m.check()
}

// check asserts the invariants over the workers' runs.
func (m *model) check() {
	require.Empty(m.t, m.d.Outdated(), "the cached usage of a worker is stale at %d", m.now)
	at := map[manager.TaskID]*fakeWorker{}
	for _, w := range m.workers {
		for id := range w.runs {
			require.Nil(m.t, at[id], "task %s runs on two workers at %d", id, m.now)
			at[id] = w
		}
	}
}

func (m *model) fault() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	switch m.rng.IntN(40) {
	case 0, 1, 2, 3:
		id := manager.GraphID(fmt.Sprintf("j%d", len(m.jobs)))
		second := task(manager.MilliCores(500+m.rng.IntN(1500)), 1+m.rng.IntN(3))
		second.DependsOn = []int{0}
		m.jobs = append(m.jobs, id)
		call := m.submit(id, task(manager.MilliCores(500+m.rng.IntN(1500)), 1+m.rng.IntN(4)), second)
		m.calls[id] = append(m.calls[id], call)
	case 4:
		w.silent = true
	case 5, 6:
		// A worker that has left comes back as a new instance only.
		w.silent = w.backAt != 0
	case 7:
		w.restart()
	case 8:
		w.loseAnswer = true
	case 9:
		m.replaceDispatcher()
	case 10:
		if len(m.jobs) > 0 {
			id := m.jobs[m.rng.IntN(len(m.jobs))]
			m.cancelled[id] = true
			m.send(dispatcher.Event{Cancel: &id})
		}
	case 11:
		w.report.Draining, w.report.RemainingMs = !w.report.Draining, 3000
	}
}

// replaceDispatcher starts a new dispatcher, sometimes while the changes of the old one are not committed.
func (m *model) replaceDispatcher() {
	if m.rng.IntN(2) == 0 {
		c, _ := m.d.RunCycle(m.now, m.events)
		if m.rng.IntN(2) == 0 {
			// The changes were committed, but their answers were never sent.
			m.state.Apply(c)
		}
	}
	lost := m.events
	m.events = nil
	m.token++
	m.startDispatcher(m.token)
	for _, e := range lost {
		if e.Submit != nil || e.Cancel != nil {
			// Callers repeat calls that got no answer.
			call := m.send(e)
			if e.Submit != nil {
				m.calls[e.Submit.Graph] = append(m.calls[e.Submit.Graph], call)
			}
		}
	}
}

func (m *model) endFaults() {
	for _, w := range m.workers {
		w.silent, w.loseAnswer, w.report.Draining = false, false, false
	}
	clear(m.leaves)
}
