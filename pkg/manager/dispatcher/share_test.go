package dispatcher_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/sharer"
)

// floodResult is what a flood by one customer does to the others.
type floodResult struct {
	inTime, jobs int
	refused      int
	// returns counts the callers that are told to return in each second.
	returns map[manager.Time]int
}

// floodRate is the number of jobs per second in a flood.
const floodRate = 20

// playFlood plays a pool of ten workers on which the customer large sends a job of the given steps each 50 ms, several times
// what the pool holds, and the customer small one each 500 ms, within its weight.
func playFlood(t *testing.T, shares manager.ShareMeter, flood manager.GraphStep) (*fleet, floodResult) {
	t.Helper()
	f := newFleet(t)
	f.d = dispatcher.New(f.state, 1, dispatcher.Options{Shares: shares}, f.now)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 2}, manager.CustomerSettings{Customer: small, Weight: 4})
	for i := range 10 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
	}
	// A new dispatcher refuses nothing for its first seconds.
	f.run(6 * manager.Second)
	r := floodResult{returns: map[manager.Time]int{}}
	calls := map[dispatcher.CallID]manager.Time{}
	var owed []manager.GraphID
	for i := range 400 {
		calls[f.submitFor(large, manager.GraphID(fmt.Sprintf("flood-%d", i)), flood)] = f.now
		if i%10 == 0 {
			id := manager.GraphID(fmt.Sprintf("small-%d", i))
			owed = append(owed, id)
			f.submitFor(small, id, task(1000, 4))
		}
		f.run(manager.Second / floodRate)
	}
	f.run(20 * manager.Second)
	for call, at := range calls {
		if e, ok := errors.AsType[manager.ErrOverloaded](f.answers[call].Err); ok {
			r.refused++
			r.returns[at.Add(e.RetryAfterMs)/1000]++
		}
	}
	for _, id := range owed {
		r.jobs++
		// The objective is 1.6 times the second that the tasks take, and 3.6 s.
		if j := f.state.Jobs[id]; j != nil && j.State == manager.GraphCompleted && j.EndedAt.Sub(j.Accepted) <= 5200 {
			r.inTime++
		}
	}
	return f, r
}

// One customer sends ten times its weight. Without shares the jobs of the others wait behind its jobs, or are refused.
func TestFloodDelaysNoOtherCustomer(t *testing.T) {
	for name, flood := range map[string]manager.GraphStep{"small jobs": task(1000, 4), "large jobs": task(4000, 4)} {
		t.Run(name, func(t *testing.T) {
			f, r := playFlood(t, nil, flood)
			_, without := playFlood(t, sharer.Unlimited{}, flood)
			t.Logf("in time with shares: %d of %d, without: %d; refused: %d and %d", r.inTime, r.jobs, without.inTime, r.refused, without.refused)
			require.Equal(t, r.jobs, r.inTime)
			require.Less(t, without.inTime, r.inTime)
			require.Positive(t, r.refused, "surplus that can't be served in time is refused at once")
			for _, n := range r.returns {
				require.LessOrEqual(t, n, 2*floodRate, "refused callers return together: %v", r.returns)
			}
			for id, j := range f.state.Jobs {
				require.True(t, j.State.Ended(), "%s was accepted and has not ended", id)
			}
		})
	}
}

// Capacity that nobody else needs is not kept idle.
func TestSurplusUsesIdleCapacity(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 1})
	for i := range 10 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
	}
	f.run(500)
	for i := range 8 {
		f.submitFor(large, manager.GraphID(fmt.Sprintf("j%d", i)), task(1000, 4))
	}
	f.run(300)
	require.EqualValues(t, 32_000, f.running()[large])
	require.True(t, f.state.Jobs["j7"].Surplus)
}

// VMs that arrive for surplus would be taken from pools that are entitled to them, and be switched on and paid for.
func TestSurplusBorrowsNoVMs(t *testing.T) {
	f := newLendingFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 1})
	f.sendListing(offVMs(6))
	f.run(300)
	ordered := len(f.platformOrders)
	for i := range 40 {
		f.submitFor(large, manager.GraphID(fmt.Sprintf("j%d", i)), task(1000, 4))
	}
	f.run(300)
	require.LessOrEqual(t, len(f.platformOrders)-ordered, 1, "at most the job within the share needs a VM")
}

// A refused job keeps its place: its retry uses up no share, and repeated submits gain none.
func TestRetriesUseNoShare(t *testing.T) {
	f := newFleet(t)
	meter := &countingMeter{ShareMeter: sharer.NewBuckets()}
	f.d = dispatcher.New(f.state, 1, dispatcher.Options{Shares: meter}, f.now)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 1})
	f.worker("w", pool, 4000)
	f.run(6 * manager.Second)
	for i := range 30 {
		f.submitFor(large, manager.GraphID(fmt.Sprintf("j%d", i)), task(4000, 4))
	}
	f.run(100)
	for range 5 {
		for i := range 30 {
			f.submitFor(large, manager.GraphID(fmt.Sprintf("j%d", i)), task(4000, 4))
		}
		f.run(2 * manager.Second)
	}
	require.Equal(t, 30, meter.taken)
}

type countingMeter struct {
	manager.ShareMeter
	taken int
}

func (m *countingMeter) Take(now manager.Time, c manager.CustomerID, weight float64) bool {
	m.taken++
	return m.ShareMeter.Take(now, c, weight)
}

// A customer whose cap holds far less than it sends would otherwise be told that its jobs are accepted, and wait for minutes.
func TestJobsBeyondCapAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(2000)}, manager.CustomerSettings{Customer: small, Weight: 100})
	for i := range 10 {
		f.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
	}
	f.run(6 * manager.Second)
	var calls []dispatcher.CallID
	for i := range 40 {
		calls = append(calls, f.submitFor(large, manager.GraphID(fmt.Sprintf("j%d", i)), task(1000, 4)))
		f.run(100)
	}
	accepted := 0
	for i, call := range calls {
		if f.answers[call].Err != nil {
			require.True(t, manager.IsErrOverloaded(f.answers[call].Err))
			continue
		}
		accepted++
		f.run(20 * manager.Second)
		j := f.state.Jobs[manager.GraphID(fmt.Sprintf("j%d", i))]
		// The cap takes at least 2 s for a job, so that its objective is 6.8 s; a job is of use up to three times that.
		require.LessOrEqual(t, j.EndedAt.Sub(j.Accepted), manager.Duration(3*6800), "job %d", i)
	}
	require.Positive(t, accepted)
	require.Less(t, accepted, 40)
	call := f.submitFor(small, "other", task(1000, 4))
	f.run(100)
	require.NoError(t, f.answers[call].Err)
}

// A fleet without customers must decide as one whose dispatcher knows no shares, whatever its load.
func TestFleetWithoutCustomersDecidesAsWithoutShares(t *testing.T) {
	play := func(seed uint64, shares manager.ShareMeter) []byte {
		m := &model{fleet: newFleet(t), rng: rand.New(rand.NewPCG(seed, 47)), cancelled: map[manager.GraphID]bool{}, token: 1, calls: map[manager.GraphID][]dispatcher.CallID{}}
		m.options.Shares = shares
		m.startDispatcher(1)
		for i := range 4 {
			m.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000).leased = true
		}
		for range 300 {
			m.fault()
			m.tick()
		}
		data, err := m.state.Snapshot()
		require.NoError(t, err)
		return data
	}
	for seed := range uint64(20) {
		require.Equal(t, string(play(seed, sharer.Unlimited{})), string(play(seed, nil)), "seed %d", seed)
	}
}
