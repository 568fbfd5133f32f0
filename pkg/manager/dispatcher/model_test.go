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

var modelSeeds = flag.Int("model.seeds", 60, "number of seeds of the model check")

// TestModelUnderFaults drives dispatchers and workers through faults that overlap: workers that are cut off
// and run on, crash and come back under the same id, lose answers or drain; dispatchers that change, with
// or without their last commit; jobs that are cancelled. No task may run twice at a time on workers that
// are up, none may start once its end is recorded, and every job that is not cancelled completes.
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
	token     manager.OrderToken
	tickets   map[manager.GraphID][]dispatcher.CallID
}

func (m *model) play() {
	m.cancelled, m.token = map[manager.GraphID]bool{}, 1
	m.tickets = map[manager.GraphID][]dispatcher.CallID{}
	for i := range 5 {
		w := m.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased = true
		w.slow = manager.Duration(m.rng.IntN(3))
	}
	for range 400 {
		m.fault()
		m.tick()
	}
	m.heal()
	for range 900 {
		m.tick()
	}
	for _, id := range m.jobs {
		want := manager.GraphCompleted
		if m.book.Jobs[id] == nil {
			require.False(m.t, m.accepted(id), "job %s was accepted and is gone", id)
			continue
		}
		if m.cancelled[id] {
			require.True(m.t, m.state(id).Ended(), "cancelled job %s goes on", id)
			continue
		}
		require.Equal(m.t, want, m.state(id), id)
	}
}

// accepted tells whether a submit of the job was answered with success.
func (m *model) accepted(id manager.GraphID) bool {
	for _, ticket := range m.tickets[id] {
		if a, ok := m.answers[ticket]; ok && a.Err == nil {
			return true
		}
	}
	return false
}

// tick is fifty milliseconds in which workers report and the dispatcher steps.
func (m *model) tick() {
	for _, w := range m.workers {
		w.lapse()
		w.tick()
	}
	for m.step(); len(m.events) > 0; {
		m.step()
	}
	m.now = m.now.Add(50)
	m.check()
}

// check holds the invariants over what the workers run.
func (m *model) check() {
	require.Empty(m.t, m.d.Outdated(), "what is cached of a worker is outdated at %d", m.now)
	at := map[manager.TaskID]*standInWorker{}
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
		second.Needs = []int{0}
		m.jobs = append(m.jobs, id)
		ticket := m.submit(id, task(manager.MilliCores(500+m.rng.IntN(1500)), 1+m.rng.IntN(4)), second)
		m.tickets[id] = append(m.tickets[id], ticket)
	case 4:
		w.silent = true
	case 5, 6:
		w.silent = false
	case 7:
		w.crash()
	case 8:
		w.loseAnswer = true
	case 9:
		m.takeOver()
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

// takeOver makes a new dispatcher, at times while a step of the old one is not committed.
func (m *model) takeOver() {
	if m.rng.IntN(2) == 0 {
		c, _ := m.d.RunCycle(m.now, m.events)
		if m.rng.IntN(2) == 0 {
			// The commit came through, but its answers were never sent.
			m.book.Apply(c)
		}
	}
	lost := m.events
	m.events = nil
	m.token++
	m.lead(m.token)
	for _, e := range lost {
		if e.Submit != nil || e.Cancel != nil {
			// Callers send again what got no answer.
			ticket := m.send(e)
			if e.Submit != nil {
				m.tickets[e.Submit.Graph] = append(m.tickets[e.Submit.Graph], ticket)
			}
		}
	}
}

func (m *model) heal() {
	for _, w := range m.workers {
		w.silent, w.loseAnswer, w.report.Draining = false, false, false
	}
}
