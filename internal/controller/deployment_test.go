package controller_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	measured      = 1 * manager.Hour
	waveAt        = 10 * manager.Minute
	rollOutLimit  = 8 * manager.Hour
	slotsPerVM    = 8
	serviceTime   = 100 * manager.Millisecond
	maxWait       = 10 // seconds, the deployments' default deadline
	surgeFactor   = 5.0
	betweenFactor = 0.05
)

// outcome is what one run of a deployment cost.
type outcome struct {
	// bufferCost is the idle capacity held in reserve, in VM-seconds.
	bufferCost float64
	rollOut    manager.Duration
	moves      int
	// refused is the work refused for lack of capacity, in thousandths of the work asked for.
	refused float64
}

// queueModel is a service's queue as a fluid: work in slot-seconds.
type queueModel struct {
	service manager.ServiceID
	mean    float64
	backlog float64
	asked   float64
	refused float64
}

// serve moves the queue on by a second with so many slots and returns the demand that gateways report.
func (q *queueModel) serve(factor float64, slots int) manager.Demand {
	offered := q.mean * factor
	q.asked += offered
	work := q.backlog + offered
	done := min(work, float64(slots))
	q.backlog = work - done
	late := max(0, q.backlog-float64(slots*maxWait))
	q.backlog -= late
	q.refused += late
	return manager.Demand{
		Service: q.service, BusySlots: int(done + 0.5), SlotsPerVM: slotsPerVM,
		WaitingRequests: int(q.backlog / serviceTime.Std().Seconds()), RefusedRequests: int(late),
	}
}

// turns is the order in which the queues surge, each for some seconds.
type turns struct {
	random *rand.Rand
	queues int
	now    int
	left   int
}

func (t *turns) next() int {
	const shortest, longest = 3, 6
	if t.left == 0 {
		t.now = (t.now + 1) % t.queues
		t.left = shortest + t.random.IntN(longest-shortest+1)
	}
	t.left--
	return t.now
}

func loadDeployment(t require.TestingT, name string) manager.LoadFleet {
	s, err := configurer.Read(filepath.Join("..", "..", "configs", name, "controller-and-gateway.json"))
	require.NoError(t, err)
	return s.Controller.Fleet
}

// measure runs a deployment with its surges, a wave over every pool and some failures; the events depend on the seed only.
func measure(t require.TestingT, load manager.LoadFleet, seed uint64, p parts) outcome {
	w := newWorld(t, load, p)
	w.unchecked = true
	demand := rand.New(rand.NewPCG(seed, 1))
	failures := failuresOf(rand.New(rand.NewPCG(seed, 2)), load)
	queues := make([]*queueModel, 0, len(load.Pools))
	for _, pool := range load.Pools {
		const least, spread = 17.0, 4.0
		queues = append(queues, &queueModel{service: pool.Service, mean: least + spread*demand.Float64()})
	}
	surges := &turns{random: demand, queues: len(queues)}
	var out outcome
	start := w.clock.Now()
	for second := 0; ; second++ {
		elapsed := w.clock.Now().Sub(start)
		if elapsed >= measured && (out.rollOut > 0 || elapsed > waveAt+rollOutLimit) {
			break
		}
		if elapsed == waveAt {
			w.approve("all", poolIDs(load)...)
		}
		failures.run(w, second)
		report := serveAll(w, queues, surges.next())
		w.report(report)
		w.step()
		if elapsed < measured {
			out.bufferCost += held(w)
		}
		if elapsed > waveAt && out.rollOut == 0 && w.isDone("all")() {
			out.rollOut = elapsed - waveAt
		}
	}
	if out.rollOut == 0 {
		out.rollOut = rollOutLimit
	}
	out.moves = w.moves
	var asked, refused float64
	for _, q := range queues {
		asked += q.asked
		refused += q.refused
	}
	out.refused = 1000 * refused / asked
	return out
}

func poolIDs(load manager.LoadFleet) []manager.PoolID {
	var list []manager.PoolID
	for _, p := range load.Pools {
		list = append(list, p.Pool)
	}
	return list
}

// serveAll serves a second of every queue; a VM that settles serves, one that drains does not.
func serveAll(w *world, queues []*queueModel, surging int) []manager.Demand {
	serving := map[manager.PoolID]int{}
	for _, v := range w.state.Fleet().VMs {
		if v.State == manager.VMRunning && v.Phase != manager.PhaseDraining && v.Phase != manager.PhaseRebooting {
			serving[v.Pool]++
		}
	}
	list := make([]manager.Demand, 0, len(queues))
	for i, q := range queues {
		factor := betweenFactor
		if i == surging {
			factor = surgeFactor
		}
		list = append(list, q.serve(factor, serving[manager.PoolID(q.service)]*slotsPerVM))
	}
	return list
}

// held returns the VMs that are held without use now: those on the move, and in the pools that are no
// spare all others that are not busy. In the spare it is no more than the reserve that is meant to be
// held, as the rest of it is free for other work. Each VM counts once at most.
func held(w *world) float64 {
	f := w.state.Fleet()
	total := 0
	settledIn := map[manager.PoolID]int{}
	for _, v := range f.VMs {
		if v.MoveTo != "" || v.Phase == manager.PhaseJoining {
			total++
			continue
		}
		settledIn[v.Pool]++
	}
	for i, r := range w.loop.Reserves(w.clock.Now(), f) {
		pool := f.Pools[i]
		idle := max(0, settledIn[pool.Pool]-r.Busy)
		if pool.Spare {
			idle = min(idle, r.ReserveWanted)
		}
		total += idle
	}
	return float64(total)
}

// failurePlan is when VMs fail and come back, in seconds.
type failurePlan struct {
	fail   map[int][]manager.VMID
	repair map[int][]manager.VMID
}

// failuresOf draws single losses, each followed by a second one soon after its repair, and the loss of a rack.
func failuresOf(random *rand.Rand, load manager.LoadFleet) failurePlan {
	const singles, repairSeconds, settleSeconds = 2, 180, 60
	f := failurePlan{fail: map[int][]manager.VMID{}, repair: map[int][]manager.VMID{}}
	add := func(at int, v manager.VMID) {
		f.fail[at] = append(f.fail[at], v)
		f.repair[at+repairSeconds] = append(f.repair[at+repairSeconds], v)
	}
	seconds := int(measured / manager.Second)
	for range singles {
		at := random.IntN(seconds)
		first := random.IntN(len(load.VMs))
		add(at, load.VMs[first].VM)
		add(at+repairSeconds+random.IntN(settleSeconds), load.VMs[(first+1)%len(load.VMs)].VM)
	}
	rack, at := load.VMs[random.IntN(len(load.VMs))].Rack, random.IntN(seconds)
	for _, v := range load.VMs {
		if v.Rack == rack {
			add(at, v.VM)
		}
	}
	return f
}

func (f failurePlan) run(w *world, second int) {
	for _, v := range f.fail[second] {
		w.platform.Fail(v)
	}
	for _, v := range f.repair[second] {
		w.platform.Repair(v)
	}
}

var deployments = []string{"cathode", "qirsh"}

// Seeds of the test that CI runs and of the benchmark, which has the time for more.
const (
	testSeeds  = 3
	benchSeeds = 5
)

// medians runs the seeds from 1 on and returns the median of each measure.
func medians(t require.TestingT, name string, seeds uint64, p parts) outcome {
	load := loadDeployment(t, name)
	var buffer, rollOut, moves, refused []float64
	for seed := range seeds {
		out := measure(t, load, seed+1, p)
		buffer = append(buffer, out.bufferCost)
		rollOut = append(rollOut, float64(out.rollOut))
		moves = append(moves, float64(out.moves))
		refused = append(refused, out.refused)
	}
	return outcome{
		bufferCost: median(buffer), rollOut: manager.Duration(median(rollOut)), moves: int(median(moves)), refused: median(refused),
	}
}

func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// TestDeploymentsBeatNaive holds the stated bounds: no measure worse than the naive parts' on the
// median of the seeds, and the one that the deployment weighs most at least 20% better.
func TestDeploymentsBeatNaive(t *testing.T) {
	const better = 0.8
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			naive, real := medians(t, name, testSeeds, naiveParts), medians(t, name, testSeeds, realParts)
			t.Logf("naive %+v", naive)
			t.Logf("real  %+v", real)
			require.LessOrEqual(t, real.bufferCost, naive.bufferCost)
			require.LessOrEqual(t, real.rollOut, naive.rollOut)
			require.LessOrEqual(t, real.moves, naive.moves)
			require.LessOrEqual(t, real.refused, naive.refused)
			if name == "cathode" {
				require.LessOrEqual(t, real.bufferCost, better*naive.bufferCost)
			} else {
				require.LessOrEqual(t, float64(real.rollOut), better*float64(naive.rollOut))
			}
		})
	}
}

func BenchmarkDeployments(b *testing.B) {
	for _, name := range deployments {
		for part, p := range map[string]parts{"naive": naiveParts, "real": realParts} {
			b.Run(fmt.Sprintf("%s/%s", name, part), func(b *testing.B) {
				var out outcome
				for b.Loop() {
					out = medians(b, name, benchSeeds, p)
				}
				b.ReportMetric(out.bufferCost, "idle-VM-s")
				b.ReportMetric(out.rollOut.Std().Seconds(), "roll-out-s")
				b.ReportMetric(float64(out.moves), "moves")
				b.ReportMetric(out.refused, "refused-per-1000")
			})
		}
	}
}
