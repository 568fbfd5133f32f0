package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// maxStarts is the number of starts that a task may have that crashes each worker that starts it.
const maxStarts = 5

// crashFleet returns a fleet in which the tasks with index 0 of the given jobs crash their workers.
func crashFleet(t *testing.T, workers int, deadly ...manager.GraphID) *fleet {
	t.Helper()
	f := newFleet(t)
	f.deadly = func(id manager.TaskID) bool {
		job, _ := id.Graph.Split()
		return id.Step == 0 && id.Task == 0 && slices.Contains(deadly, job)
	}
	for i := range workers {
		w := f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased, w.renamed = true, true
	}
	f.run(400)
	return f
}

// starts counts the starts of a task on all workers.
func (f *fleet) starts(id manager.TaskID) int {
	n := 0
	for _, w := range f.workers {
		for _, s := range w.started {
			if s.Task == id {
				n++
			}
		}
	}
	return n
}

// requireGivenUp asserts that a job has failed before its deadly task started too often, and that no other job has.
func (f *fleet) requireGivenUp(deadly ...manager.GraphID) {
	for id, j := range f.state.Jobs {
		job, _ := id.Split()
		if !slices.Contains(deadly, job) {
			require.NotEqual(f.t, manager.GraphFailed, j.State, "job %s is sound", id)
			require.True(f.t, j.HasLongRunning() || j.State == manager.GraphCompleted, "job %s is %s", id, j.State)
			continue
		}
		require.LessOrEqual(f.t, f.starts(manager.TaskID{Graph: id}), maxStarts, id)
		require.True(f.t, j.State.Ended() && j.State != manager.GraphCompleted, "job %s is %s", id, j.State)
	}
	for _, id := range deadly {
		require.Equal(f.t, manager.GraphFailed, f.jobState(id), id)
	}
}

func (f *fleet) submitSound(n int) {
	for i := range n {
		f.submit(manager.GraphID(fmt.Sprintf("good%d", i)), task(500, 3))
	}
}

// A task that crashes its worker was started again without end, and took its neighbours with it each time.
func TestTaskThatCrashesWorkersIsNotStartedWithoutEnd(t *testing.T) {
	f := crashFleet(t, 6, "bad")
	f.submit("bad", task(500, 3))
	f.submitSound(4)
	f.run(90 * manager.Second)
	f.requireGivenUp("bad")
}

func TestLongRunningTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := crashFleet(t, 4, "bad")
	f.submit("bad", longRunning(500, 3, 1))
	f.submit("lasting", longRunning(500, 3, 1))
	f.submitSound(4)
	f.run(60 * manager.Second)
	f.requireGivenUp("bad")
	require.Zero(t, f.notRunning("lasting"))
	for _, w := range f.workers {
		for id := range w.runs {
			require.NotEqual(t, manager.GraphID("bad"), id.Graph, "a task of a job that was given up is not stopped")
		}
	}
}

func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := crashFleet(t, 4, "bad")
	gang := task(1000, 6)
	gang.Gang = true
	f.submit("bad", gang)
	f.submit("sound", gang)
	f.submitSound(4)
	f.run(90 * manager.Second)
	f.requireGivenUp("bad")
}

func TestOccurrenceThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := crashFleet(t, 4, "bad")
	for _, id := range []manager.GraphID{"bad", "sound"} {
		f.send(dispatcher.Event{Submit: &manager.Graph{
			Graph: id, Queue: queue, Steps: []manager.GraphStep{task(500, 2)}, Repeat: manager.Repeat{Count: 3, FirstAt: f.now.Add(1000), IntervalMs: 2000},
		}})
	}
	for range 600 {
		f.d.SetWall(f.now, f.now)
		f.run(100)
	}
	f.requireGivenUp("bad")
}

// With few workers suspects can't be kept apart by their workers, only by the order of their starts.
func TestSoundSuspectsOnFewWorkersComplete(t *testing.T) {
	for workers := 1; workers <= 3; workers++ {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			f := crashFleet(t, workers, "bad")
			f.submit("bad", task(500, 1))
			f.submitSound(9)
			f.run(120 * manager.Second)
			f.requireGivenUp("bad")
		})
	}
}

func TestCulpritsOnTheSameWorkerAreBothGivenUp(t *testing.T) {
	f := crashFleet(t, 4, "bad", "worse")
	f.submit("bad", task(500, 1))
	f.submit("worse", task(500, 1))
	f.submitSound(6)
	f.run(120 * manager.Second)
	f.requireGivenUp("bad", "worse")
}

// The crash shows only when the VM is back: under the same worker ID or another one, before or after the lease of the old
// instance has expired, and perhaps to another leader than the one that placed the task.
func TestCrashIsCountedWheneverAndWhereverTheWorkerIsBack(t *testing.T) {
	for _, renamed := range []bool{false, true} {
		for _, down := range []manager.Duration{400, 3000, 8000} {
			for _, leaders := range []bool{false, true} {
				t.Run(fmt.Sprintf("renamed=%t/down=%d/leaders=%t", renamed, down, leaders), func(t *testing.T) {
					f := crashFleet(t, 5, "bad")
					for _, w := range f.workers {
						w.renamed, w.downTime = renamed, down
					}
					f.submit("bad", task(500, 1))
					f.submitSound(5)
					token := manager.FencingToken(1)
					for range 1200 {
						crashes := f.crashes[manager.TaskID{Graph: "bad"}]
						f.run(100)
						if leaders && f.crashes[manager.TaskID{Graph: "bad"}] > crashes {
							f.run(min(down, 2000) / 2)
							token++
							f.restore()
							f.startDispatcher(token)
						}
					}
					f.requireGivenUp("bad")
				})
			}
		}
	}
}

// restore replaces the state with its own snapshot.
func (f *fleet) restore() {
	data, err := f.state.Snapshot()
	require.NoError(f.t, err)
	f.state = recorder.New()
	require.NoError(f.t, f.state.Restore(data))
}

// suspected returns the highest number of crashes that is counted against a task of a job.
func (f *fleet) suspected(id manager.GraphID) int {
	n := 0
	for _, tasks := range f.state.Jobs[id].Tasks {
		for _, t := range tasks {
			n = max(n, t.Crashes, t.Suspected)
		}
	}
	return n
}

// A worker that is told to go, or that is cut off and comes back, has not crashed.
func TestPlannedEndOfAWorkerCountsAgainstNoTask(t *testing.T) {
	setups := map[string]func(f *fleet, w *fakeWorker){
		"draining": func(f *fleet, w *fakeWorker) {
			w.report.Draining, w.report.RemainingMs = true, 5000
			f.run(500)
			w.report.Draining = false
			w.restart()
		},
		"left": func(f *fleet, w *fakeWorker) {
			w.report.Draining, w.report.RemainingMs = true, 5000
			f.run(500)
			f.send(dispatcher.Event{Leave: &w.report.Instance})
			f.run(100)
			w.report.Draining = false
			w.restart()
		},
		"moved": func(f *fleet, w *fakeWorker) {
			f.state.Apply(recorder.Changes{At: f.now, Move: []recorder.Move{{VM: w.report.VM, Pool: other, From: pool}}})
			f.run(100)
			w.report.Pool = other
			w.restart()
		},
		"maintenance": func(f *fleet, w *fakeWorker) {
			f.state.Apply(recorder.Changes{At: f.now, Wave: []manager.MaintenanceRequest{{Wave: 1, VMs: []manager.VMID{w.report.VM}, Cap: 1, DurationMs: 30_000}}})
			f.state.Apply(recorder.Changes{At: f.now, Maintenance: []recorder.MaintenanceChange{{Wave: 1, VM: w.report.VM, State: recorder.MaintenanceOrdered}}})
			w.restart()
		},
		"cut off": func(f *fleet, w *fakeWorker) {
			w.silent = true
			f.run(leaseTimeout + 500)
			w.expireLease()
			w.silent = false
			f.run(1 * manager.Second)
			w.restart()
		},
	}
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			f := crashFleet(t, 2)
			f.submit("a", longRunning(500, 1, 1))
			f.run(800)
			w := f.workers[0]
			if len(w.runs) == 0 {
				w = f.workers[1]
			}
			require.Len(t, w.runs, 1)
			setup(f, w)
			f.run(500)
			require.Zero(t, f.suspected("a"))
		})
	}
}

// A VM that crashes again and again under whatever runs there must not cost sound jobs.
func TestFaultyWorkerCostsNoSoundJob(t *testing.T) {
	f := crashFleet(t, 4)
	f.workers[0].downTime = 500
	f.submit("lasting", longRunning(500, 4, 1))
	for i := range 30 {
		f.submit(manager.GraphID(fmt.Sprintf("short%d", i)), task(1000, 2))
		f.run(2 * manager.Second)
		f.workers[0].crash()
	}
	f.run(30 * manager.Second)
	f.requireGivenUp()
	require.Zero(t, f.notRunning("lasting"))
}

// A long-running task outlives the crashes of its workers, however many there are over time.
func TestCrashesLongAfterTheStartAreNotCounted(t *testing.T) {
	f := crashFleet(t, 2)
	f.submit("lasting", longRunning(500, 1, 1))
	for range 12 {
		f.run(recorder.CrashWindow + 2*manager.Second)
		for _, w := range f.workers {
			if len(w.runs) > 0 {
				w.crash()
			}
		}
		f.run(5 * manager.Second)
	}
	f.run(10 * manager.Second)
	require.Zero(t, f.suspected("lasting"))
	require.Zero(t, f.notRunning("lasting"))
}

// Culprits of any number among sound jobs, with workers that are back under either ID and at any time, and with changes
// of the leader: no culprit starts too often, and no sound job is given up.
func TestOnlyCulpritsAreGivenUp(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed+1, 35))
			bad := []manager.GraphID{"bad0", "bad1", "bad2"}[:1+rng.IntN(3)]
			f := crashFleet(t, 2+rng.IntN(6), bad...)
			for _, w := range f.workers {
				w.renamed, w.downTime = rng.IntN(2) == 0, manager.Duration(300+rng.IntN(8000))
			}
			jobs := []manager.Graph{{Graph: "lasting", Steps: []manager.GraphStep{longRunning(500, 1, 1)}}}
			for _, id := range bad {
				jobs = append(jobs, manager.Graph{Graph: id, Steps: []manager.GraphStep{task(500, 1+rng.IntN(6))}})
			}
			for i := range 20 {
				step := task(manager.MilliCores(300+rng.IntN(1000)), 1+rng.IntN(6))
				jobs = append(jobs, manager.Graph{Graph: manager.GraphID(fmt.Sprintf("good%d", i)), Steps: []manager.GraphStep{step}})
			}
			rng.Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
			token := manager.FencingToken(1)
			for _, j := range jobs {
				for f.state.Jobs[j.Graph] == nil {
					// A job is refused while the queue is too long.
					f.submit(j.Graph, j.Steps...)
					f.run(manager.Duration(50 + rng.IntN(1000)))
				}
				if rng.IntN(8) == 0 {
					token++
					f.restore()
					f.startDispatcher(token)
				}
			}
			for range 150 {
				f.run(1 * manager.Second)
				if len(f.state.Active()) == 1 {
					break
				}
			}
			f.requireGivenUp(bad...)
		})
	}
}

// requireLateCulpritGivenUp plays a task that crashes its worker some time after its start, while other tasks start.
func requireLateCulpritGivenUp(t *testing.T, after manager.Duration, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	f := crashFleet(t, 5, "bad")
	f.deadlyAfter = after
	for _, w := range f.workers {
		w.taskTime = 2400
	}
	f.submit("bad", task(500, 1))
	for i := range 200 {
		if rng.IntN(2) == 0 {
			f.submit(manager.GraphID(fmt.Sprintf("good%d", i)), task(300, 1+rng.IntN(2)))
		}
		f.run(300)
	}
	f.run(20 * manager.Second)
	f.requireGivenUp("bad")
}

// The tasks that were just starting were blamed instead, as the culprit had been reported as running.
func TestTaskThatCrashesWorkersSoonAfterItsStartIsGivenUp(t *testing.T) {
	for _, after := range []manager.Duration{200, 500, 1000} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("after=%d/seed=%d", after, seed), func(t *testing.T) { requireLateCulpritGivenUp(t, after, seed) })
		}
	}
}

// A task that runs for longer before it crashes its worker was never told from the tasks that started meanwhile.
func TestTaskThatCrashesWorkersLateIsGivenUp(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { requireLateCulpritGivenUp(t, 2*manager.Second, seed) })
	}
}

// Workers that are down for long leave only expired leases of the task's runs.
func TestTaskWhoseWorkersAreDownForLongIsNotStartedWithoutEnd(t *testing.T) {
	for _, down := range []manager.Duration{10_000, 14_000, 16_000, 20_000, 30_000} {
		t.Run(fmt.Sprintf("down=%d", down), func(t *testing.T) {
			f := crashFleet(t, 12, "bad")
			for _, w := range f.workers {
				w.downTime = down
			}
			f.submit("bad", task(500, 1))
			f.run(180 * manager.Second)
			f.requireGivenUp("bad")
		})
	}
}

// A gang that may have crashed too many workers waits for their reports, and the capacity beside it is free meanwhile.
func TestGangThatWaitsForReportsBlocksNoJobs(t *testing.T) {
	for _, down := range []manager.Duration{14_000, 40_000} {
		t.Run(fmt.Sprintf("down=%d", down), func(t *testing.T) {
			f := crashFleet(t, 12, "bad")
			for _, w := range f.workers {
				w.downTime = down
			}
			gang := task(500, 3)
			gang.Gang, gang.MaxPerWorker = true, 1
			f.submit("bad", gang)
			f.run(300)
			for i := range 60 {
				f.submit(manager.GraphID(fmt.Sprintf("good%d", i)), task(500, 1))
				f.run(1 * manager.Second)
			}
			for id, j := range f.state.Jobs {
				if id != "bad" && j.Accepted < f.now.Add(-5000) {
					require.LessOrEqual(t, j.EndedAt.Sub(j.Accepted), 5*manager.Second, id)
					require.True(t, j.State.Ended(), id)
				}
			}
		})
	}
}
