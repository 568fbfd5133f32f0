package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// urgentBound is the target for the start of urgent work with a full fleet.
const urgentBound = 6500 * manager.Millisecond

// outcome is what a scenario led to.
type outcome struct {
	// urgent is the longest wait of an urgent job for its first start.
	urgent manager.Duration
	// done counts the jobs that succeeded, took is when the last one ended.
	done     int
	took     manager.Duration
	lost     manager.Duration
	kills    int
	commands int
}

// collect follows the urgent jobs' starts until every job has ended or the time is over.
func (s *simulation) collect(limit manager.Duration) outcome {
	var o outcome
	started := map[manager.JobID]bool{}
	from := s.clock.At
	s.run(limit, func(f manager.Fleet) bool {
		for _, j := range f.Jobs {
			if j.Class != urgent || started[j.Job] {
				continue
			}
			started[j.Job] = j.Attempts > 0
			o.urgent = max(o.urgent, f.Now.Sub(j.SubmittedAt))
		}
		return allEnded(f)
	})
	o.took = s.clock.At.Sub(from)
	o.done = s.states()[manager.JobDone]
	o.lost, o.kills, o.commands = s.worker.Lost(), s.worker.Kills(), s.store.commands
	return o
}

// full fills a fleet of n workers with batch jobs and then asks for urgent ones, a tenth as many as workers.
func full(t require.TestingT, d deployment, n int, lead func() manager.Placer, checkpoint manager.Duration) *simulation {
	s := newSimulation(t, d.fleet(n, 5, manager.Profile{}), lead)
	s.worker.CheckpointTime = checkpoint
	quarter := d.capacity
	quarter.ProcessorMilliCores /= 4
	quarter.MemoryMegaBytes /= 4
	for i := range 4*n + n/2 {
		j := newJob(fmt.Sprintf("batch-%05d", i), batch, quarter, 10*manager.Minute)
		j.Profile = manager.ProfileID(d.name)
		s.submit(j)
	}
	s.run(5*manager.Second, nil)
	for i := range max(1, n/10) {
		j := newJob(fmt.Sprintf("urgent-%05d", i), urgent, quarter, 5*manager.Second)
		j.Profile = manager.ProfileID(d.name)
		s.submit(j)
	}
	return s
}

// fullTime is how long a full fleet is followed after urgent jobs came.
const fullTime = 20 * manager.Second

// mixed gives 50 workers batch jobs of ten families whose declared sizes are up to four times too
// large or half too small if wrong is set, with a burst of urgent ones.
func mixed(t require.TestingT, d deployment, seed uint64, lead func() manager.Placer, wrong bool) outcome {
	s := newSimulation(t, d.fleet(50, 5, manager.Profile{}), lead)
	if wrong {
		s.worker.Uses = trueUse
	}
	random := rand.New(rand.NewPCG(seed, uint64(d.zones)))
	unit := d.capacity.MemoryMegaBytes / 16
	for i := range 800 {
		family := random.IntN(10)
		j := newJob(fmt.Sprintf("family-%c-%04d", 'a'+family, i), batch, manager.Resources{
			ProcessorMilliCores: d.capacity.ProcessorMilliCores / 16 * manager.MilliCores(1+family%4),
			MemoryMegaBytes:     unit * manager.MegaBytes(1+family%4),
		}, manager.Duration(20+random.IntN(40))*manager.Second)
		j.Profile = manager.ProfileID(d.name)
		s.submit(j)
	}
	s.run(30*manager.Second, nil)
	for i := range 20 {
		j := newJob(fmt.Sprintf("quote-%02d", i), urgent, manager.Resources{
			ProcessorMilliCores: d.capacity.ProcessorMilliCores / 4, MemoryMegaBytes: 4 * unit,
		}, 5*manager.Second)
		j.Profile = manager.ProfileID(d.name)
		s.submit(j)
	}
	return s.collect(4 * manager.Minute)
}

// trueUse is a quarter of the declared size for most families and half more than it for two, growing
// over the first ten seconds of a run.
func trueUse(j manager.Job, done manager.Duration) manager.Resources {
	r := j.Declared
	if j.Class == urgent {
		return r
	}
	percent := manager.MegaBytes(25)
	if c := j.Job[len("family-")]; c == 'c' || c == 'h' {
		percent = 150
	}
	grown := manager.MegaBytes(min(done, 10*manager.Second)) * 100 / manager.MegaBytes(10*manager.Second)
	r.MemoryMegaBytes = max(1, r.MemoryMegaBytes*percent/100*grown/100)
	r.ProcessorMilliCores = r.ProcessorMilliCores * manager.MilliCores(percent) / 100
	return r
}

// TestUrgentStartsInTime holds the target at the two-year size, with a full fleet, with checkpoints that
// take far longer than the bound and with a change of leader midway.
func TestUrgentStartsInTime(t *testing.T) {
	tests := map[string]struct {
		checkpoint manager.Duration
		during     func(s *simulation)
	}{
		"usual":         {checkTime, nil},
		"slow":          {manager.Minute, nil},
		"leader change": {checkTime, func(s *simulation) { s.run(manager.Second, nil); s.lead() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := full(t, cathode, 1_500, adaptive, tt.checkpoint)
			if tt.during != nil {
				tt.during(s)
			}
			o := s.collect(fullTime)
			t.Logf("longest wait %d ms, %d commands, %d ms of work lost", o.urgent, o.commands, o.lost)
			require.LessOrEqual(t, o.urgent, urgentBound)
			if tt.checkpoint <= checkTime {
				require.Zero(t, o.lost, "checkpoints lose no work")
			}
		})
	}
}

// TestDoesWhatFirstFitDoes drives both placers on the same events.
func TestDoesWhatFirstFitDoes(t *testing.T) {
	for _, d := range []deployment{cathode, qirsh} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			naive, actual := mixed(t, d, 1, firstFit, false), mixed(t, d, 1, adaptive, false)
			t.Logf("right sizes: naive %+v, real %+v", naive, actual)
			require.GreaterOrEqual(t, actual.done, naive.done)
			require.LessOrEqual(t, actual.urgent, urgentBound)
			naive, actual = mixed(t, d, 1, firstFit, true), mixed(t, d, 1, adaptive, true)
			t.Logf("wrong sizes: naive %+v, real %+v", naive, actual)
			require.GreaterOrEqual(t, actual.done, naive.done)
			require.Less(t, actual.took, naive.took, "learned sizes finish sooner")
			require.Zero(t, actual.kills, "no worker runs out of memory")
			require.LessOrEqual(t, actual.urgent, urgentBound)
		})
	}
}
